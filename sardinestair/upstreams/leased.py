"""Runs tasks at an upstream that starts and stops them under a lease.

All of it runs in one event loop: a coroutine that renews the lease and fetches
the ends of runs, and for each task one that sends its start and waits for its
end. If a start gets no answer, the run may or may not have begun; only a later
report of the upstream can show it, and the run is stopped meanwhile.
"""

import asyncio
from collections.abc import Callable

from sardinestair.clock import Clock
from sardinestair.links.timing import STOP_LIMIT_S
from sardinestair.messages import TaskRef, TaskState
from sardinestair.observability import EventLog, Metrics
from sardinestair.upstreams.caller import AsyncCaller, CallResult
from sardinestair.upstreams.lease import RunLease
from sardinestair.upstreams.orders import (
    EndKind,
    RequestError,
    RunClient,
    RunId,
    RunReport,
)
from sardinestair.upstreams.orphans import Orphans
from sardinestair.upstreams.report_schedule import (
    REPORT_RETRY_DELAY_S,
    ReportSchedule,
)
from sardinestair.upstreams.run import Run
from sardinestair.upstreams.run_log import LOGGED_UNANSWERED, bind_run
from sardinestair.upstreams.run_result import make_result
from sardinestair.upstreams.stopper import RunStopper, wait_for_event
from sardinestair.upstreams.stops import PendingStops

__all__ = ["STALLED", "LeasedUpstream"]

# Several local round trips on a busy machine, but short enough that a task of
# 120 ms whose start was lost can still run elsewhere in time.
START_TIMEOUT_S = 0.05
# A task of 30 s completes one per cent in 0.3 s; one that is slower is better
# restarted elsewhere.
STALL_TIMEOUT_S = 0.35

STALLED = b"stalled"
"""Reason given for a task that was interrupted for lack of progress."""


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
        orphans: Runs that an earlier sidecar has left behind.
        lease: The common lease of all runs.
        schedule: Time-outs of reports, and how many got no answer.
        stopper: Stops runs.
        is_lost: True from an expiry of the lease until the next report.
        incarnation_ms: The upstream's incarnation as of the last report.
        on_incarnation: Called with a new one.
        acknowledged: Sequence number of the last end received.
        is_refusing: True if no process has listened at the upstream's address
            since the last report.
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
        now_s = clock.monotonic()
        if process_started_s is None:
            process_started_s = now_s
        self.client = client
        self.clock = clock
        self.metrics = metrics
        self.on_lost = on_lost
        self.log = EventLog("upstream")
        self.runs: dict[RunId, Run] = {}
        self.lease = RunLease(clock, lease_s, PendingStops(metrics, self.log))
        self.schedule = ReportSchedule(now_s)
        self.stopper = RunStopper(client, clock, self.lease, self.log)
        self.orphans = Orphans(self.stopper, process_started_s, self.log)
        self.is_lost = False
        self.incarnation_ms = 0
        self.acknowledged = 0
        self.is_refusing = False
        self.on_incarnation: Callable[[int], None] = lambda _incarnation: None
        self.stopping = asyncio.Event()

    @property
    def has_no_orphans(self) -> bool:
        """True once no run of an earlier sidecar can be active."""
        return self.orphans.has_none

    @property
    def is_lease_ending(self) -> bool:
        """True if less than half of the lease is left for further runs."""
        return self.lease.is_ending

    async def call(
        self,
        ref: TaskRef,
        payload: bytes,
        timeout_s: float,
        may_start: Callable[[], bool],
    ) -> CallResult:
        """Runs one task and waits for its end; see `TaskCaller.start`.

        After `timeout_s` the run is stopped.
        """
        start_s = self.clock.monotonic()
        run = Run(self.client.run_id(ref), start_s, self.incarnation_ms)
        until_s = self.lease.next_end_s()
        if until_s is None or self.is_lost or self.is_refusing:
            return self._not_run(start_s, b"no contact with the upstream")
        if self.is_lease_ending:
            return self._not_run(start_s, b"the lease is about to end")
        if run.run_id in self.runs or run.run_id in self.orphans.runs:
            # Another entry started it, for an earlier submission of the job.
            return self._not_run(start_s, b"an earlier start has not ended")
        self.runs[run.run_id] = run
        run.start_until_s = until_s
        try:
            refusal = await self._start(run, payload, until_s, may_start)
            if refusal is not None:
                return self._not_run(start_s, refusal)
            await self.stopper.wait_for_end(run, start_s + timeout_s)
        finally:
            del self.runs[run.run_id]
            self.stopper.forget(run)
        run_s = self.clock.monotonic() - start_s
        return make_result(run, self.incarnation_ms, run_s)

    def stop(
        self,
        ref: TaskRef,
        reason: bytes = b"cancelled",
        within_s: float = STOP_LIMIT_S,
    ) -> None:
        """Requests that an attempt be stopped; see `TaskCaller.stop`."""
        run = self.runs.get(self.client.run_id(ref))
        if run is not None:
            self.stopper.request(run, reason, within_s)

    def close(self) -> None:
        """Makes `run` return."""
        self.stopping.set()

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
            self.lease.extend(until_s)
        if reply.is_error():
            return self._handle_unanswered_start(run, reply.error, until_s)
        refusal = reply.ok.refusal
        if refusal is not None:
            bind_run(self.log, run.run_id).info(
                "start_refused", reason=refusal.value
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
        self.schedule.record_unanswered_start(self.clock.monotonic())
        self._note_refusal(error)
        bind_run(self.log, run.run_id).warning(
            "start_unanswered",
            may_be_done=error.may_have_executed,
            reason=error.reason,
        )
        if not error.may_have_executed:
            return error.reason.encode()
        if not run.is_confirmed:
            self.stopper.request(run, b"start unanswered")
            # The upstream rejects the start after `until_s` on its clock.
            run.conclusive_from_s = self.clock.monotonic() + self.lease.left_s(
                until_s
            )
        return None

    def _not_run(self, start_s: float, reason: bytes) -> CallResult:
        run_s = self.clock.monotonic() - start_s
        return CallResult(TaskState.NOT_RUN, reason, False, run_s)

    # Renewal of the lease.

    async def run(self) -> None:
        """Renews the lease and collects the ends of runs until `close`."""
        while not self.stopping.is_set():
            await self.renew()
        if self.runs or self.orphans.runs:
            # Without renewals the upstream ends all runs when the lease
            # expires.
            await asyncio.sleep(self.lease.longest_local_s)
            self._finish_all(EndKind.LAPSED)

    async def renew(self) -> None:
        """Renews the lease once and handles the upstream's report."""
        sent_s = self.clock.monotonic()
        may_renew = self.schedule.may_renew
        until_s = self.lease.next_end_s() if may_renew else None
        wait_s, round_trip_s = self.schedule.timeouts(
            sent_s, not self.runs, self._longest_wait_s(sent_s)
        )
        reply = await self.client.report(
            until_s, self.acknowledged, wait_s, wait_s + round_trip_s
        )
        if until_s is not None and (
            reply.is_ok() or reply.error.may_have_executed
        ):
            self.lease.extend(until_s)
        if reply.is_error():
            self._handle_missing_report(reply.error)
            await wait_for_event(self.stopping, REPORT_RETRY_DELAY_S)
            return
        self._handle_report(reply.ok, sent_s)

    def _longest_wait_s(self, now_s: float) -> float:
        """Returns after which time an idle report is of use, in seconds."""
        if self.lease.remote_clock_s is None:
            return 0.0
        return self.orphans.report_due_s(now_s)

    def _handle_missing_report(self, error: RequestError) -> None:
        self.schedule.record_missing(self.clock.monotonic())
        self._note_refusal(error)
        self.metrics.count("reports_missing_total", {})
        lease_left_s = self._lease_left_s()
        if self.schedule.unanswered in LOGGED_UNANSWERED:
            self.log.warning(
                "report_missing",
                reason=error.reason,
                unanswered=self.schedule.unanswered,
                lease_left_s=lease_left_s,
                refused=self.is_refusing,
            )
        if lease_left_s is None or lease_left_s > 0:
            return
        lapsed = self._finish_all(
            EndKind.CRASHED if self.is_refusing else EndKind.LAPSED
        )
        if not self.is_lost:
            self.is_lost = True
            self.orphans.expect()
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

    def _lease_left_s(self) -> float | None:
        """Returns the time until all runs have ended, on the upstream's clock.

        It is None before the first report.
        """
        end_s = self.lease.latest_end_s(
            run.start_until_s for run in self.runs.values()
        )
        return None if end_s is None else end_s - self.lease.remote_now_s()

    def _finish_all(self, how: EndKind) -> int:
        runs = [*self.runs.values(), *self.orphans.runs.values()]
        for run in runs:
            self._finish_lost(run, how)
        return len(runs)

    def _finish_lost(self, run: Run, how: EndKind) -> None:
        """Ends a run whose end the upstream has not listed."""
        if run.end is not None:
            return
        run.lost_age_s = max(0.0, self.schedule.silent_since_s - run.started_s)
        bind_run(self.log, run.run_id).info(
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
        self.lease.observe_clock(report.clock_s, now_s)
        if self.is_lost:
            self.is_lost = False
            self.log.info("upstream_regained")
        if report.incarnation_ms != self.incarnation_ms:
            self._adopt_incarnation(report.incarnation_ms)
        known = self.orphans.runs | self.runs
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
        self.schedule.record_report(now_s)
        for state in report.active:
            if state.run not in known:
                self._stop_orphan(state.run, now_s)
        self.orphans.update(now_s)

    def _adopt_incarnation(self, incarnation_ms: int) -> None:
        self.log.info(
            "upstream_life",
            born_ms=incarnation_ms,
            earlier_born_ms=self.incarnation_ms,
        )
        self.incarnation_ms = incarnation_ms
        self.acknowledged = 0
        self.lease.restart()
        self.on_incarnation(incarnation_ms)

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
                bind_run(self.log, run.run_id).warning(
                    "run_stalled",
                    percent=run.percent,
                    still_s=now_s - run.last_progress_s,
                )
                self.stopper.request(run, STALLED)

    def _stop_orphan(self, run_id: RunId, now_s: float) -> None:
        run = self.orphans.add(run_id, now_s, self.incarnation_ms)
        self._run_in_background(self.orphans.end(run))
