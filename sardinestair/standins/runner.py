"""In-memory model of an upstream that starts, stops and leases runs.

It runs on the given clock and follows the protocol for leases, ends and
repeated requests. It can lose requests or replies, execute requests late, and
stall, fail or slow down runs. Most tests call it directly; the tests of the
platform adapter serve it over HTTP.
"""

import enum
from collections.abc import Callable

import msgspec
from expression import Error, Ok, Result

from sardinestair.clock import Clock
from sardinestair.ids import format_job_id
from sardinestair.messages import TaskRef
from sardinestair.upstreams.orders import (
    EndKind,
    Refusal,
    RequestError,
    RunEnd,
    RunId,
    RunReport,
    RunState,
    StartReply,
)

__all__ = ["Mode", "RunnerModel"]

MAX_LEASE_S = 1.0
PERCENT = 100.0


class Mode(enum.Enum):
    """Behavior of the runs."""

    HEALTHY = "healthy"
    FAILING = "failing"
    STALLED = "stalled"


class ModelRun(msgspec.Struct):
    """An active run.

    Attributes:
        run_id: Identifies the run.
        work_s: Run time at a typical upstream, in seconds.
        completed_s: Completed part of the run time, in seconds.
    """

    run_id: RunId
    work_s: float
    completed_s: float = 0.0


class RunnerModel:
    """Model of one upstream; `advance` updates it to the clock's time.

    Args:
        clock: The upstream's clock.
        parse_work: Returns the run time for a payload, in seconds.
        speed: Factor by which run times are multiplied; larger is slower.

    Attributes:
        incarnation_ms: Identifies the incarnation of the upstream.
        active: Active runs, by job and index of the task.
        highest_attempts: Highest ended or stopped attempt, by job and index;
            a start of this attempt or an earlier one is rejected.
        ends: Unacknowledged ends.
        sequence: Sequence number of the last end.
        lease_end_s: When the lease of all runs ends.
        starts: All runs that were started, in order.
        mode: Behavior of the runs.
        replies_to_lose: Number of coming requests that are executed but whose
            replies are lost.
        requests_to_lose: Number of coming requests that are neither executed
            nor answered, but appended to `lost_requests`.
        lost_requests: Lost requests, which can be executed later.
        is_suspended: True while it answers no request and its runs make no
            progress.
        is_down: True while its process is gone and connections are refused.

    Examples:
        >>> from sardinestair.clock import ManualClock
        >>> clock = ManualClock()
        >>> runner = RunnerModel(clock)
        >>> run = RunId("j", 0, 1)
        >>> runner.start(run, b"0.2", until_s=1.0, timeout_s=1.0).is_ok()
        True
        >>> clock.advance(0.3)
        >>> runner.report(None, 0, 0.0, 1.0).ok.ends[0].how
        <EndKind.DONE: 'done'>
    """

    def __init__(
        self,
        clock: Clock,
        parse_work: Callable[[bytes], float] = float,
        speed: float = 1.0,
    ):
        self.clock = clock
        self.parse_work = parse_work
        self.speed = speed
        self.incarnation_ms = 1
        self.active: dict[tuple[str, int], ModelRun] = {}
        self.highest_attempts: dict[tuple[str, int], int] = {}
        self.ends: list[RunEnd] = []
        self.sequence = 0
        self.lease_end_s = 0.0
        self.last_advance_s = clock.monotonic()
        self.starts: list[RunId] = []
        self.mode = Mode.HEALTHY
        self.replies_to_lose = 0
        self.requests_to_lose = 0
        self.lost_requests: list[Callable[[], object]] = []
        self.is_suspended = False
        self.is_down = False

    # Requests; see `RunClient`.

    def run_id(self, ref: TaskRef) -> RunId:
        """Returns the identifier for an attempt."""
        return RunId(format_job_id(ref.job), ref.index, ref.attempt)

    def start(
        self, run: RunId, payload: bytes, until_s: float, timeout_s: float
    ) -> Result[StartReply, RequestError]:
        """Starts a run."""
        return self._handle(lambda: self._start(run, payload, until_s))

    def stop(self, run: RunId, timeout_s: float) -> Result[None, RequestError]:
        """Stops a run."""
        return self._handle(lambda: self._stop(run))

    def report(
        self,
        until_s: float | None,
        acknowledged: int,
        wait_s: float,
        timeout_s: float,
    ) -> Result[RunReport, RequestError]:
        """Renews the lease and returns the status without waiting."""
        return self._handle(lambda: self._report(until_s, acknowledged))

    # Injected events and the passing of time.

    def crash(self) -> None:
        """Ends the upstream's process with all its runs, until `restart`."""
        self.is_down = True
        self.active.clear()

    def restart(self) -> None:
        """Restarts the upstream as a new incarnation without any state."""
        self.is_down = False
        self.incarnation_ms += 1
        self.active.clear()
        self.highest_attempts.clear()
        self.ends.clear()
        self.sequence = 0
        self.lease_end_s = 0.0

    def execute_lost_requests(self) -> None:
        """Executes the requests that were lost."""
        requests, self.lost_requests = self.lost_requests, []
        for request in requests:
            request()

    def advance(self) -> None:
        """Advances the runs to the clock's time and ends those due."""
        now_s = self.clock.monotonic()
        elapsed_s, self.last_advance_s = now_s - self.last_advance_s, now_s
        if self.is_suspended:
            return
        for run in list(self.active.values()):
            if self.mode is not Mode.STALLED:
                run.completed_s += elapsed_s / self.speed
            if self.mode is Mode.FAILING:
                self._end(run, EndKind.FAILED)
            elif run.completed_s >= run.work_s - 1e-9:
                self._end(run, EndKind.DONE)
            elif now_s > self.lease_end_s:
                self._end(run, EndKind.LAPSED)

    def _handle(self, request: Callable):
        self.advance()
        if self.is_down:
            return Error(RequestError("refused", False, is_refused=True))
        if self.is_suspended or self.requests_to_lose:
            self.requests_to_lose = max(0, self.requests_to_lose - 1)
            if not self.is_suspended:
                self.lost_requests.append(request)
            return Error(RequestError("no reply", True))
        reply = request()
        if self.replies_to_lose:
            self.replies_to_lose -= 1
            return Error(RequestError("reply lost", True))
        return Ok(reply)

    def _start(self, run: RunId, payload: bytes, until_s: float) -> StartReply:
        key = (run.job, run.index)
        self._renew(until_s)
        active_run = self.active.get(key)
        if active_run is not None and active_run.run_id == run:
            return StartReply()
        if (
            run.attempt <= self.highest_attempts.get(key, 0)
            or active_run is not None
        ):
            return StartReply(Refusal.OLD_RUN)
        if self.clock.monotonic() > until_s:
            return StartReply(Refusal.TOO_LATE)
        self.active[key] = ModelRun(run, self.parse_work(payload))
        self.starts.append(run)
        return StartReply()

    def _stop(self, run: RunId) -> None:
        key = (run.job, run.index)
        self.highest_attempts[key] = max(
            self.highest_attempts.get(key, 0), run.attempt
        )
        active_run = self.active.get(key)
        if active_run is not None and active_run.run_id.attempt <= run.attempt:
            self._end(active_run, EndKind.STOPPED)

    def _report(self, until_s: float | None, acknowledged: int) -> RunReport:
        self._renew(until_s)
        self.ends = [e for e in self.ends if e.sequence > acknowledged]
        active = [
            RunState(run.run_id, int(PERCENT * run.completed_s / run.work_s))
            for run in self.active.values()
        ]
        return RunReport(
            self.clock.monotonic(), self.incarnation_ms, active, list(self.ends)
        )

    def _renew(self, until_s: float | None) -> None:
        if until_s is not None:
            max_lease_end_s = self.clock.monotonic() + MAX_LEASE_S
            self.lease_end_s = max(
                self.lease_end_s, min(until_s, max_lease_end_s)
            )

    def _end(self, run: ModelRun, how: EndKind) -> None:
        key = (run.run_id.job, run.run_id.index)
        del self.active[key]
        self.highest_attempts[key] = max(
            self.highest_attempts.get(key, 0), run.run_id.attempt
        )
        self.sequence += 1
        self.ends.append(RunEnd(self.sequence, run.run_id, how))
