"""The sidecar's running tasks, from their start to their outcome."""

from collections.abc import Callable

from sardinestair.clock import Clock
from sardinestair.ids import Incarnation
from sardinestair.limits.credits import CreditLedger
from sardinestair.limits.resources import Resources
from sardinestair.links.session import SidecarSession, StartDecision
from sardinestair.messages import (
    CrashReport,
    Outcome,
    Start,
    TaskRef,
    TaskState,
)
from sardinestair.observability import EventLog, Metrics
from sardinestair.sidecar.availability import UpstreamAvailability
from sardinestair.sidecar.session_table import SessionTable
from sardinestair.sidecar.speed import UpstreamSpeed
from sardinestair.upstreams.caller import CallResult, TaskCaller
from sardinestair.upstreams.upstream import UpstreamState

__all__ = ["TaskRuns"]


class TaskRuns:
    """Starts tasks on free slots, and reports their outcomes.

    Args:
        availability: Whether the upstream takes tasks.
        sessions: The sessions with the entries.
        ledger: Accounts of the credits of entries, and of the occupied ones.
        clock: The clock.
        metrics: The process's metrics.
        log: The sidecar's log.

    Attributes:
        running: Resources that each running task needs, None if not declared,
            by entry and attempt.
        speed: Estimates how slow the upstream is.
        on_ended: Called when a task has ended.
    """

    def __init__(
        self,
        availability: UpstreamAvailability,
        sessions: SessionTable,
        ledger: CreditLedger,
        clock: Clock,
        metrics: Metrics,
        log: EventLog,
    ):
        self.availability = availability
        self.sessions = sessions
        self.ledger = ledger
        self.clock = clock
        self.metrics = metrics
        self.log = log
        self.running: dict[tuple[Incarnation, TaskRef], Resources | None] = {}
        self.speed = UpstreamSpeed()
        self.on_ended: Callable[[], None] = lambda: None

    def handle_start(self, message: Start, session: SidecarSession) -> None:
        """Starts a task, or reports that it did not run."""
        upstream = self.availability.upstream
        units = self.availability.units_needed(message.need)
        has_credit = self.ledger.spend(
            session.entry, message.units or units or upstream.slots
        )
        if self.availability.is_evacuated:
            # An entry that has not been informed yet, or a delayed start.
            self._refuse(message.task, session, b"zone evacuated")
            return
        # Credits may have been granted before the capacity shrank.
        limit = upstream.slots + self.ledger.read_ahead
        has_capacity = (
            units is not None and self.ledger.occupied_units + units <= limit
        )
        is_serving = self.availability.is_serving
        if not (has_credit and is_serving and has_capacity):
            self._refuse(message.task, session, b"no free slot")
            return
        if self.sessions.is_expired(session):
            # The start was delayed on its way until the session had expired.
            self._refuse(message.task, session, b"session over")
            return
        verdict = session.start(message.task)
        if verdict is StartDecision.RUN:
            self._start(message, session)
        elif verdict is StartDecision.REFUSE:
            self._refuse(
                message.task, session, b"an earlier attempt is running"
            )

    def stop(self, refs: list[TaskRef], reason: bytes) -> None:
        """Requests that tasks be stopped, if the upstream supports it."""
        caller = self.availability.caller
        if caller is not None:
            for ref in refs:
                caller.stop(ref, reason)

    def count_units(self) -> None:
        """Counts the occupied credits anew, by the capacity in force."""
        self.ledger.occupied_units = sum(
            map(self._units_occupied, self.running.values())
        )

    def _refuse(
        self, ref: TaskRef, session: SidecarSession, reason: bytes
    ) -> None:
        self.metrics.count("starts_refused_total", {"reason": reason.decode()})
        session.outbox.append(
            Outcome(ref, TaskState.NOT_RUN, reason, False, 0.0)
        )

    def _start(self, message: Start, session: SidecarSession) -> None:
        """Starts a task that the session has accepted."""
        caller, ref = self.availability.caller, message.task
        assert caller is not None
        self.running[session.entry, ref] = message.need
        self.ledger.occupied_units += self._units_occupied(message.need)
        self.metrics.count("starts_total", {})
        self.speed.start(
            (session.entry, ref),
            message.kind,
            message.expected_s,
            self.clock.monotonic(),
        )
        held = session.tasks[ref.job, ref.index]

        def may_start() -> bool:
            return (
                held.wanted
                and not self.availability.is_evacuated
                and not self.sessions.is_expired(session)
            )

        def on_result(result: CallResult) -> None:
            self._finish(session, ref, result, caller)

        caller.start(
            ref, message.payload, message.remaining_s, may_start, on_result
        )

    def _finish(
        self,
        session: SidecarSession,
        ref: TaskRef,
        result: CallResult,
        caller: TaskCaller,
    ) -> None:
        # The end of an upstream that was leaving is no fault of its tasks.
        has_crashed = (
            result.has_crashed
            and self.availability.upstream.state is not UpstreamState.LEAVING
        )
        outcome = Outcome(
            ref,
            result.state,
            result.body,
            result.is_json,
            result.run_s,
            has_crashed,
            result.is_confirmed,
            result.start_s,
        )
        self.speed.observe_end(
            (session.entry, ref),
            result.state,
            result.run_s,
            self.clock.monotonic(),
        )
        need = self.running.pop((session.entry, ref))
        self.ledger.occupied_units -= self._units_occupied(need)
        self.on_ended()
        self.metrics.count("outcomes_total", {"state": outcome.state.value})
        if outcome.state is TaskState.NOT_RUN:
            session.forget(outcome.task)
            session.outbox.append(outcome)
        else:
            session.finish(outcome)
            if has_crashed:
                self._report_crash(session, outcome)
        if result.is_unreachable:
            self.availability.handle_lost(caller)

    def _report_crash(self, owner: SidecarSession, outcome: Outcome) -> None:
        """Reports a crash to the entries that did not start the task."""
        for session in self.sessions.by_entry.values():
            if session is not owner and not session.fence.is_epoch_invalid:
                session.outbox.append(
                    CrashReport(
                        outcome.task, outcome.run_s, outcome.is_confirmed
                    )
                )

    def _units_occupied(self, need: Resources | None) -> int:
        """Returns the credits that a running task occupies.

        All of them if it exceeds a capacity that has shrunk since its start.
        """
        units = self.availability.units_needed(need)
        if units is None:
            return max(self.availability.upstream.slots, 1)
        return units
