"""Runs tasks at an upstream that starts and stops them under a lease.

All of it runs in one event loop: a coroutine that renews the lease and fetches
the ends of runs, and for each task one that sends its start and waits for its
end. If a start gets no answer, the run may or may not have begun; only a later
report of the upstream can tell, and the run is stopped meanwhile.
"""

import asyncio
import math
from collections.abc import Callable

from sardinestair.clock import Clock
from sardinestair.links.timing import MAX_CLOCK_DRIFT, MAX_STOP_S, STOP_LIMIT_S
from sardinestair.messages import TaskRef, TaskState
from sardinestair.observability import EventLog, Metrics
from sardinestair.upstreams.caller import AsyncCaller, CallResult
from sardinestair.upstreams.orders import (
    EndKind,
    RequestError,
    RunClient,
    RunId,
    RunReport,
    RunState,
)
from sardinestair.upstreams.run import Run
from sardinestair.upstreams.stops import PendingStops

__all__ = ["STALLED", "LeasedUpstream"]

# Several local round trips on a busy machine, but short enough that a task of
# 120 ms whose start was lost can still run elsewhere in time.
START_TIMEOUT_S = 0.05
# An upstream may answer a stop once the run has ended; the rest is for the
# round trip and a new connection.
STOP_TIMEOUT_S = MAX_STOP_S + 0.05
# An unanswered renewal must be repeated once within a lease of 0.45 s:
# 2 x (wait + round trip) < lease.
REPORT_WAIT_S = 0.1
REPORT_ROUND_TRIP_S = 0.1
# While nothing runs, reports are only needed for starts that come meanwhile:
# wait + 2 x round trip + retry delay < lease.
IDLE_REPORT_WAIT_S = 0.2
# Waits are sent in whole milliseconds.
CLEARANCE_MARGIN_S = 0.001
# After a lost request, reports are polled faster, so that another lost report
# delays the ends of tasks of 120 ms only briefly; this costs about 30 more
# calls a second.
DEGRADED_REPORT_WAIT_S = 0.025
DEGRADED_REPORT_ROUND_TRIP_S = 0.05
DEGRADED_PERIOD_S = 2.0
REPORT_RETRY_DELAY_S = 0.02
STOP_RETRY_DELAY_S = 0.02
MAX_UNANSWERED_RENEWALS = 2
# A task of 30 s completes one per cent in 0.3 s; one that is slower is better
# restarted elsewhere.
STALL_TIMEOUT_S = 0.35
# How long to wait for the end of a stopped run before stopping it again. A
# stop takes at most 50 ms, and the next report lists the end.
END_GRACE_S = 0.5
# Numbers of consecutive unanswered requests at which a line is logged.
LOGGED_UNANSWERED = frozenset({1, 2, 10, 100, 1000})

STALLED = b"stalled"
"""Reason given for a task that was interrupted for lack of progress."""

ORPHANED = b"started by an earlier sidecar"

_TASK_STATES = {
    EndKind.DONE: TaskState.DONE,
    EndKind.FAILED: TaskState.FAILED,
}


class LeasedUpstream(AsyncCaller):
    """Runs tasks at one upstream and keeps their common lease.

    Args:
        client: Client of the upstream.
        clock: The local clock.
        lease_s: Duration of the lease of all runs, in seconds.
        metrics: The process's metrics.
        on_lost: Called when the lease has expired without an answer, and when
            a connection has been refused.
        process_started_s: When this process started, on the local clock; now
            if not given. Any earlier sidecar of the upstream had ended by
            then.

    Attributes:
        runs: The runs that may be active, by identifier.
        orphans: Runs that an earlier sidecar has left behind, by identifier.
        pending_stops: Runs that are being stopped.
        before_renewal: Called before the lease is renewed; requests the stops
            that are due.
        on_clear: Called when `has_no_orphans` has become true.
        has_no_orphans: True once no run of an earlier sidecar can be active.
        is_lost: True from an expiry of the lease until the next report.
        incarnation_ms: The upstream's incarnation as of the last report.
        acknowledged: Sequence number of the last end received.
        remote_clock_s: The upstream's clock as of the last report.
        remote_clock_read_s: When that report arrived, on the local clock.
        lease_until_s: Latest time to which the lease may have been renewed,
            on the upstream's clock.
        unanswered: Number of consecutive reports without an answer.
        silent_since_s: When the first of these failed, or when the last report
            arrived.
        is_refusing: True if no process has listened at the upstream's address
            since the last report.
        last_unanswered_s: When a start or report last got no answer.
    """

    is_leased = True

    def __init__(
        self,
        client: RunClient,
        clock: Clock,
        lease_s: float,
        metrics: Metrics,
        on_lost: Callable[[], None],
        process_started_s: float | None = None,
    ):
        super().__init__()
        self.client = client
        self.clock = clock
        self.lease_s = lease_s
        self.metrics = metrics
        self.on_lost = on_lost
        self.runs: dict[RunId, Run] = {}
        self.orphans: dict[RunId, Run] = {}
        self.stopping = asyncio.Event()
        self.process_started_s = (
            clock.monotonic()
            if process_started_s is None
            else process_started_s
        )
        self.on_clear: Callable[[], None] = lambda: None
        self.has_no_orphans = False
        self.is_lost = False
        self.incarnation_ms = 0
        self.acknowledged = 0
        self.remote_clock_s: float | None = None
        self.remote_clock_read_s = 0.0
        self.lease_until_s = 0.0
        self.unanswered = 0
        self.silent_since_s = clock.monotonic()
        self.is_refusing = False
        self.last_unanswered_s = -DEGRADED_PERIOD_S
        self.log = EventLog("upstream")
        self.pending_stops = PendingStops(metrics, self.log)
        self.before_renewal: Callable[[], None] = lambda: None

    async def call(
        self,
        ref: TaskRef,
        payload: bytes,
        timeout_s: float,
        may_start: Callable[[], bool],
    ) -> CallResult:
        """Runs one task and waits for its end.

        Args:
            ref: The attempt.
            payload: The task's payload.
            timeout_s: After this time the run is stopped, in seconds.
            may_start: See `TaskCaller.start`.

        Returns:
            A `CallResult`; its body is empty if the task is done, otherwise
            the reason in UTF-8.
        """
        start_s = self.clock.monotonic()
        run = Run(self.client.run_id(ref), start_s, self.incarnation_ms)
        until_s = self._next_lease_end()
        if until_s is None or self.is_lost or self.is_refusing:
            return self._make_result(
                start_s, TaskState.NOT_RUN, b"no contact with the upstream"
            )
        if self.is_lease_ending:
            return self._make_result(
                start_s, TaskState.NOT_RUN, b"the lease is about to end"
            )
        if run.run_id in self.runs or run.run_id in self.orphans:
            # Another entry started it, for an earlier submission of the job.
            return self._make_result(
                start_s, TaskState.NOT_RUN, b"an earlier start has not ended"
            )
        self.runs[run.run_id] = run
        run.start_until_s = until_s
        try:
            refusal = await self._start(run, payload, until_s, may_start)
            if refusal is not None:
                return self._make_result(start_s, TaskState.NOT_RUN, refusal)
            await self._await_end(run, start_s + timeout_s)
        finally:
            del self.runs[run.run_id]
            self.pending_stops.remove(run, self.clock.monotonic())
        return self._result_of(run, start_s)

    def stop(
        self,
        ref: TaskRef,
        reason: bytes = b"cancelled",
        within_s: float = STOP_LIMIT_S,
    ) -> None:
        """Requests that an attempt be stopped, if it is active.

        Args:
            ref: The attempt.
            reason: Why it is stopped, in UTF-8.
            within_s: Time after which the lease ends it, in seconds.
        """
        run = self.runs.get(self.client.run_id(ref))
        if run is not None:
            self._request_stop(run, reason, within_s)

    @property
    def is_lease_ending(self) -> bool:
        """True if less than half of the lease is left for further runs.

        This is so while runs that are being stopped limit its renewal.
        """
        if not self.pending_stops.runs:
            return False
        left_s = self.pending_stops.lease_limit_s() - self._remote_now()
        return left_s < self.lease_s / 2

    def close(self) -> None:
        """Makes `run` return."""
        self.stopping.set()

    def _request_stop(
        self, run: Run, reason: bytes, within_s: float = STOP_LIMIT_S
    ) -> None:
        run.request_stop(reason, self.clock.monotonic())
        self.pending_stops.add(run, self._remote_now() + within_s)

    async def _start(
        self,
        run: Run,
        payload: bytes,
        until_s: float,
        may_start: Callable[[], bool],
    ) -> bytes | None:
        """Sends a start; returns the reason if it certainly did not begin."""
        reply = await self.client.start(
            run.run_id,
            payload,
            until_s,
            START_TIMEOUT_S,
            lambda: not run.is_stop_requested and may_start(),
        )
        run.start_until_s = 0.0
        if reply.is_ok() or reply.error.may_have_executed:
            self.lease_until_s = max(self.lease_until_s, until_s)
        if reply.is_error():
            return self._handle_unanswered_start(run, reply.error, until_s)
        refusal = reply.ok.refusal
        if refusal is not None:
            self._run_log(run.run_id).info(
                "start_refused",
                reason=refusal.value,
            )
            return refusal.value.encode()
        run.is_confirmed = True
        run.conclusive_from_s = self.clock.monotonic()
        run.start_took_s = run.conclusive_from_s - run.started_s
        return None

    def _handle_unanswered_start(
        self, run: Run, error: RequestError, until_s: float
    ) -> bytes | None:
        if error.is_withdrawn:
            return b"cancelled or expired"
        self.metrics.count("starts_unanswered_total", {})
        self.last_unanswered_s = self.clock.monotonic()
        self._note_refusal(error)
        self._run_log(run.run_id).warning(
            "start_unanswered",
            may_be_done=error.may_have_executed,
            reason=error.reason,
        )
        if not error.may_have_executed:
            return error.reason.encode()
        if not run.is_confirmed:
            self._request_stop(run, b"start unanswered")
            # The upstream rejects the start after `until_s` on its clock.
            remaining_s = max(0.0, until_s - self._remote_now()) * (
                1 + MAX_CLOCK_DRIFT
            )
            run.conclusive_from_s = self.clock.monotonic() + remaining_s
        return None

    async def _await_end(self, run: Run, deadline_s: float) -> None:
        """Waits for a run to end, and stops it on request or time-out."""
        while run.end is None:
            remaining_s = deadline_s - self.clock.monotonic()
            if remaining_s <= 0:
                self._request_stop(run, b"deadline exceeded")
            if not run.is_stop_requested:
                await _wait(run.wakeup, remaining_s)
                continue
            run.wakeup.clear()
            is_answered = await self._send_stop(run)
            if run.end is None:
                delay_s = END_GRACE_S if is_answered else STOP_RETRY_DELAY_S
                await _wait(run.wakeup, delay_s)

    async def _send_stop(self, run: Run) -> bool:
        reply = await self.client.stop(run.run_id, STOP_TIMEOUT_S)
        if reply.is_error():
            run.stops_unanswered += 1
            if run.stops_unanswered in LOGGED_UNANSWERED:
                self._run_log(run.run_id).warning(
                    "stop_unanswered",
                    unanswered=run.stops_unanswered,
                    reason=reply.error.reason,
                )
            return False
        now_s = self.clock.monotonic()
        if run.conclusive_from_s is None or run.conclusive_from_s > now_s:
            # After an answered stop the upstream rejects a late start.
            run.conclusive_from_s = now_s
        return True

    def _result_of(self, run: Run, start_s: float) -> CallResult:
        assert run.end is not None
        is_same_incarnation = run.incarnation_ms == self.incarnation_ms
        if (
            run.end is EndKind.OTHER
            and not run.is_confirmed
            and is_same_incarnation
        ):
            return self._make_result(start_s, TaskState.NOT_RUN, run.reason)
        if run.end is EndKind.CRASHED:
            return CallResult(
                TaskState.INTERRUPTED,
                run.end.value.encode(),
                False,
                run.lost_age_s,
                has_crashed=True,
                is_confirmed=run.is_confirmed,
            )
        state = _TASK_STATES.get(run.end, TaskState.INTERRUPTED)
        reason = run.reason or run.end.value.encode()
        body = b"" if state is TaskState.DONE else reason
        return self._make_result(start_s, state, body, run.start_took_s)

    def _make_result(
        self,
        start_s: float,
        state: TaskState,
        body: bytes,
        start_took_s: float = 0.0,
    ) -> CallResult:
        run_s = self.clock.monotonic() - start_s
        return CallResult(state, body, False, run_s, start_s=start_took_s)

    # Renewal of the lease.

    async def run(self) -> None:
        """Renews the lease and collects the ends of runs until `close`."""
        while not self.stopping.is_set():
            await self.renew()
        if self.runs or self.orphans:
            # Without renewals the upstream ends all runs when the lease
            # expires.
            await asyncio.sleep(self.lease_s * (1 + MAX_CLOCK_DRIFT))
            self._finish_all(EndKind.LAPSED)

    async def renew(self) -> None:
        """Renews the lease once and handles the upstream's report."""
        sent_s = self.clock.monotonic()
        until_s = None
        if self.unanswered < MAX_UNANSWERED_RENEWALS:
            # Any of these renewals may have been executed. Further ones would
            # postpone the time at which the lease has certainly expired.
            until_s = self._next_lease_end()
        wait_s, round_trip_s = self._report_timeouts(sent_s)
        reply = await self.client.report(
            until_s, self.acknowledged, wait_s, wait_s + round_trip_s
        )
        if reply.is_error():
            if until_s is not None and reply.error.may_have_executed:
                self.lease_until_s = max(self.lease_until_s, until_s)
            self._handle_missing_report(reply.error)
            await _wait(self.stopping, REPORT_RETRY_DELAY_S)
            return
        if until_s is not None:
            self.lease_until_s = max(self.lease_until_s, until_s)
        self._handle_report(reply.ok, sent_s)

    def _report_timeouts(self, now_s: float) -> tuple[float, float]:
        """Returns how long a report waits for an end, and its round trip."""
        if self.unanswered:
            return 0.0, REPORT_ROUND_TRIP_S
        if now_s - self.last_unanswered_s < DEGRADED_PERIOD_S:
            return DEGRADED_REPORT_WAIT_S, DEGRADED_REPORT_ROUND_TRIP_S
        wait_s = REPORT_WAIT_S if self.runs else IDLE_REPORT_WAIT_S
        if self.remote_clock_s is None:
            wait_s = 0.0
        earlier_s = self._earlier_lease_end_s() - now_s
        if earlier_s > 0:
            # The next report may show that no earlier run is left.
            wait_s = min(wait_s, earlier_s + CLEARANCE_MARGIN_S)
        return wait_s, REPORT_ROUND_TRIP_S

    def _earlier_lease_end_s(self) -> float:
        """Returns when all leases of earlier sidecars have expired."""
        return self.process_started_s + self.lease_s * (1 + MAX_CLOCK_DRIFT)

    def _handle_missing_report(self, error: RequestError) -> None:
        self.last_unanswered_s = self.clock.monotonic()
        if not self.unanswered:
            self.silent_since_s = self.last_unanswered_s
        self.unanswered += 1
        self._note_refusal(error)
        self.metrics.count("reports_missing_total", {})
        if self.unanswered in LOGGED_UNANSWERED:
            self.log.warning(
                "report_missing",
                reason=error.reason,
                unanswered=self.unanswered,
                lease_left_s=self._lease_remaining(),
                refused=self.is_refusing,
            )
        if (
            self.remote_clock_s is None
            or self._remote_now() < self._latest_lease_end()
        ):
            return
        lapsed = self._finish_all(
            EndKind.CRASHED if self.is_refusing else EndKind.LAPSED
        )
        if not self.is_lost:
            self.is_lost, self.has_no_orphans = True, False
            self.log.error(
                "upstream_lost",
                runs=lapsed,
                reason=error.reason,
                refused=self.is_refusing,
            )
            self.on_lost()

    def _note_refusal(self, error: RequestError) -> None:
        """Accepts no starts while no process listens at the upstream.

        Its runs are given up only with their lease: a process that is about
        to end may have stopped to listen before.
        """
        if error.is_refused:
            self.is_refusing = True
            self.on_lost()

    def _latest_lease_end(self) -> float:
        """Returns when the lease ends if all starts in progress renew it.

        An upstream is not lost before a lease has passed since its last
        report, although renewals may have been limited.
        """
        assert self.remote_clock_s is not None
        pending = [run.start_until_s for run in self.runs.values()]
        return max(
            self.lease_until_s,
            self.remote_clock_s + self.lease_s,
            *pending,
        )

    def _lease_remaining(self) -> float | None:
        if self.remote_clock_s is None:
            return None
        return self._latest_lease_end() - self._remote_now()

    def _finish_all(self, how: EndKind) -> int:
        runs = [*self.runs.values(), *self.orphans.values()]
        for run in runs:
            self._finish_lost(run, how)
        return len(runs)

    def _finish_lost(self, run: Run, how: EndKind) -> None:
        """Ends a run whose end the upstream has not listed."""
        if run.end is not None:
            return
        run.lost_age_s = max(0.0, self.silent_since_s - run.started_s)
        self._run_log(run.run_id).info(
            "run_lost",
            how=how.value,
            age_s=run.lost_age_s,
            confirmed=run.is_confirmed,
            refused=self.is_refusing,
            born_ms=run.incarnation_ms,
            latest_born_ms=self.incarnation_ms,
        )
        run.finish(how)

    def _handle_report(self, report: RunReport, sent_s: float) -> None:
        now_s = self.clock.monotonic()
        self.remote_clock_s, self.remote_clock_read_s = report.clock_s, now_s
        self.unanswered = 0
        if self.is_lost:
            self.is_lost = False
            self.log.info("upstream_regained")
        if report.incarnation_ms != self.incarnation_ms:
            self._adopt_incarnation(report.incarnation_ms)
        known = self.orphans | self.runs
        self._handle_ends(report, known)
        self._handle_progress(report, known, now_s)
        listed = {state.run for state in report.active}
        for run in known.values():
            conclusive_from_s = run.conclusive_from_s
            if conclusive_from_s is None or run.run_id in listed:
                continue
            if conclusive_from_s < sent_s:
                is_restarted = run.incarnation_ms != report.incarnation_ms
                self._finish_lost(
                    run, EndKind.CRASHED if is_restarted else EndKind.OTHER
                )
        self.is_refusing = False
        self.silent_since_s = now_s
        self._stop_orphans(report.active, known, now_s)

    def _adopt_incarnation(self, incarnation_ms: int) -> None:
        self.log.info(
            "upstream_life",
            born_ms=incarnation_ms,
            earlier_born_ms=self.incarnation_ms,
        )
        self.incarnation_ms = incarnation_ms
        self.acknowledged = 0
        # The clock of the earlier incarnation may have been far ahead.
        self.lease_until_s = 0.0

    def _handle_ends(self, report: RunReport, known: dict[RunId, Run]) -> None:
        for end in report.ends:
            run = known.get(end.run)
            if run is not None:
                run.is_confirmed = True
                run.finish(end.how)
            self.acknowledged = max(self.acknowledged, end.sequence)

    def _handle_progress(
        self, report: RunReport, known: dict[RunId, Run], now_s: float
    ) -> None:
        for state in report.active:
            run = known.get(state.run)
            if run is None:
                continue
            run.is_confirmed = True
            if state.percent != run.percent:
                run.percent, run.last_progress_s = state.percent, now_s
            elif (
                now_s - run.last_progress_s > STALL_TIMEOUT_S
                and not run.is_stop_requested
            ):
                self._run_log(run.run_id).warning(
                    "run_stalled",
                    percent=run.percent,
                    still_s=now_s - run.last_progress_s,
                )
                self._request_stop(run, STALLED)

    def _stop_orphans(
        self, active: list[RunState], known: dict[RunId, Run], now_s: float
    ) -> None:
        """Stops runs that an earlier sidecar has left behind.

        Their entries may have started the tasks elsewhere once the lease that
        the earlier sidecar had requested is over, so it isn't renewed.
        """
        for state in active:
            if state.run not in known:
                self._stop_orphan(state.run, now_s)
        # A late start of an earlier sidecar can be executed until its lease
        # has expired.
        is_expired = now_s >= self._earlier_lease_end_s()
        may_be_active = any(run.end is None for run in self.orphans.values())
        was_clear = self.has_no_orphans
        self.has_no_orphans = not may_be_active and (was_clear or is_expired)
        if self.has_no_orphans and not was_clear:
            self.on_clear()

    def _stop_orphan(self, run_id: RunId, now_s: float) -> None:
        self._run_log(run_id).warning("unknown_run")
        run = Run(run_id, now_s, self.incarnation_ms)
        run.is_confirmed = True
        run.conclusive_from_s = now_s
        self.orphans[run_id] = run
        self._request_stop(run, ORPHANED, within_s=0.0)
        self._run_in_background(self._end_orphan(run))

    async def _end_orphan(self, run: Run) -> None:
        await self._await_end(run, math.inf)
        del self.orphans[run.run_id]
        self.pending_stops.remove(run, self.clock.monotonic())

    def _run_log(self, run_id: RunId) -> EventLog:
        return self.log.bind(
            job=run_id.job, task=run_id.index, run=run_id.attempt
        )

    def _remote_now(self) -> float:
        """Returns a lower bound of the upstream's clock, given its drift."""
        assert self.remote_clock_s is not None
        elapsed_s = self.clock.monotonic() - self.remote_clock_read_s
        return self.remote_clock_s + elapsed_s * (1 - MAX_CLOCK_DRIFT)

    def _next_lease_end(self) -> float | None:
        if self.remote_clock_s is None:
            return None
        self.before_renewal()
        return min(
            self._remote_now() + self.lease_s,
            self.pending_stops.lease_limit_s(),
        )


async def _wait(event: asyncio.Event, timeout_s: float) -> None:
    """Waits for an event, at most for this time in seconds."""
    try:
        async with asyncio.timeout(timeout_s):
            await event.wait()
    except TimeoutError:
        pass
