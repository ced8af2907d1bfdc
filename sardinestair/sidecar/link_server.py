"""Serves the links between a sidecar and its entries.

It receives frames, starts tasks on free slots and sends outcomes. All of its
methods are called in one thread, that of the event loop.
"""

import math
from collections.abc import Callable
from functools import singledispatch

import msgspec
import zmq

from sardinestair.clock import Clock
from sardinestair.ids import Incarnation, format_incarnation
from sardinestair.limits.credits import CreditLedger
from sardinestair.limits.load_view import LoadSum
from sardinestair.limits.resources import Resources, units_needed
from sardinestair.links.fence import FrameStatus
from sardinestair.links.session import SidecarSession, StartDecision
from sardinestair.links.sockets import has_message, receive
from sardinestair.links.timing import LinkTiming
from sardinestair.membership.evacuation import EvacuationRegister
from sardinestair.messages import (
    DECODE_ERRORS,
    Acknowledge,
    Announce,
    Cancel,
    CrashReport,
    CreditReturn,
    Demand,
    EntryFrame,
    EvacuationView,
    Leaving,
    Outcome,
    Recall,
    Resume,
    Start,
    Stop,
    TaskRef,
    TaskState,
    UpstreamStatus,
)
from sardinestair.observability import EventLog, LinkUsage, Metrics
from sardinestair.sidecar.policy import SidecarPolicy
from sardinestair.sidecar.speed import UpstreamSpeed
from sardinestair.upstreams import Announcement, Upstream, UpstreamCaller
from sardinestair.upstreams.caller import CallResult, TaskCaller
from sardinestair.upstreams.departure import is_notably_sooner
from sardinestair.upstreams.upstream import UpstreamState

__all__ = ["LinkServer"]

SESSION_RETENTION_S = 600.0
MAX_FRAMES_PER_ITERATION = 64
# Longest time between two checks of the sessions while none holds a task.
IDLE_TICK_S = 0.2
# Part of the heartbeat interval by which a heartbeat may go early, together
# with that of another session.
EARLY_HEARTBEAT_SHARE = 0.25

CallerFactory = Callable[[Announcement, Callable[[], None]], TaskCaller]


class LinkServer:
    """Serves links, and owns the upstream's state, credits and sessions.

    Args:
        endpoint: ZeroMQ endpoint to listen on.
        zone: The sidecar's availability zone.
        incarnation: The sidecar's incarnation.
        clock: The clock.
        metrics: The process's metrics.
        context: The ZeroMQ context.
        timing: Time limits of links.
        make_caller: Returns the caller for an announced upstream. The caller
            invokes the second argument when the upstream stops answering.
            Tasks are sent as HTTP requests if not given.

    Attributes:
        upstream: State of the sidecar's upstream.
        ledger: Allocates the upstream's slots to entries as credits.
        running: Resources that each running task needs, None if not declared,
            by entry and attempt.
        speed: Estimates how slow the upstream is.
        sessions: State of the link with each entry, by its incarnation.
        policy: The effective settings.
        policy_revision: Their revision, -1 before the first.
        is_draining: True once announcements are rejected for good.
        caller: Runs tasks at the announced upstream; None before the first
            announcement.
        wake: Called when `run_once` has work to do.
        listeners: Called when the description of the sidecar has changed.
        descriptor: Descriptor that signals events of the socket.
        advertised_endpoint: Endpoint at which entries reach the sidecar.
        link_usage: Counters of all links.
        evacuations: The evacuated availability zones.
    """

    def __init__(
        self,
        endpoint: str,
        zone: str,
        incarnation: Incarnation,
        clock: Clock,
        metrics: Metrics,
        context: zmq.Context,
        timing: LinkTiming | None = None,
        make_caller: CallerFactory | None = None,
    ):
        self.make_caller = make_caller or self._make_http_caller
        self.zone = zone
        self.incarnation = incarnation
        self.clock = clock
        self.metrics = metrics
        self.timing = timing or LinkTiming()
        self.upstream = Upstream()
        self.ledger = CreditLedger(slots=0)
        self.running: dict[tuple[Incarnation, TaskRef], Resources | None] = {}
        self.speed = UpstreamSpeed()
        self.sessions: dict[Incarnation, SidecarSession] = {}
        self.policy = SidecarPolicy()
        self.policy_revision = -1
        self.is_draining = False
        self.evacuations = EvacuationRegister()
        metrics.gauge("evacuated", {}, 0)
        self.caller: TaskCaller | None = None
        self.wake: Callable[[], None] = lambda: None
        self.listeners: list[Callable[[], None]] = []
        self.socket = context.socket(zmq.ROUTER)
        self.socket.set(zmq.SNDHWM, 0)
        self.socket.set(zmq.RCVHWM, 0)
        self.socket.bind(endpoint)
        self.endpoint = self.socket.get(zmq.LAST_ENDPOINT).decode()
        self.descriptor = int(self.socket.get(zmq.FD))
        self.advertised_endpoint = self.endpoint
        self.decoder = msgspec.msgpack.Decoder(EntryFrame)
        self.encoder = msgspec.msgpack.Encoder()
        self.last_tick_s = 0.0
        self.link_usage = LinkUsage()
        self.log = EventLog(
            "sidecar", sidecar=format_incarnation(incarnation), zone=zone
        )

    def description(self) -> Announce:
        """Returns the sidecar's announcement to entries."""
        is_leaving = self.upstream.state is not UpstreamState.SERVING
        return Announce(
            self.incarnation,
            self.advertised_endpoint,
            self.zone,
            self.upstream.service,
            self.upstream.slots,
            is_leaving,
            self.policy_revision,
            self.upstream.capacity,
            self.caller is not None and self.caller.is_leased,
            self._status(),
            self.evacuations.view,
        )

    def _status(self) -> UpstreamStatus:
        """Returns what is announced of the upstream beside its capacity."""
        now_s = self.clock.monotonic()
        leaves_at_s = self.upstream.leaves_at_s
        slowdowns = self.speed.estimates(now_s)
        return UpstreamStatus(
            None if leaves_at_s is None else max(0.0, leaves_at_s - now_s),
            self.upstream.warmup.left_s(now_s),
            self.upstream.rack,
            slowdowns,
            now_s - self.speed.observed_s if slowdowns else 0.0,
        )

    @property
    def is_evacuated(self) -> bool:
        """True if the sidecar's zone is evacuated."""
        return self.zone in self.evacuations.view.zones

    @property
    def accepts_tasks(self) -> bool:
        """True if the upstream serves and its zone is not evacuated."""
        is_serving = self.upstream.state is UpstreamState.SERVING
        return is_serving and not self.is_evacuated

    def observe_evacuations(self, view: EvacuationView) -> None:
        """Merges a view of the evacuated zones.

        While its own zone is evacuated, the sidecar starts no tasks and grants
        no credits, whatever its entries assume. Running tasks continue.
        """
        was_evacuated = self.is_evacuated
        self.evacuations.observe(view)
        if self.is_evacuated == was_evacuated:
            return
        self.metrics.gauge("evacuated", {}, int(self.is_evacuated))
        if self.is_evacuated:
            self._close_slots("zone evacuated")
            return
        for session in self.sessions.values():
            # Entries place no tasks here until they receive credits.
            session.is_grant_urgent = True
        self.wake()

    def report_upstream_lost(self) -> None:
        """Reports that the current caller's upstream stopped answering."""
        if self.caller is not None:
            self._handle_upstream_lost(self.caller)

    def announce(self, announcement: Announcement) -> bool:
        """Handles an announcement of the upstream.

        Returns:
            False if it is rejected because the sidecar is draining.
        """
        if self.is_draining:
            return False
        old = self.upstream.announcement
        now_s = self.clock.monotonic()
        if not self.upstream.announce(announcement, now_s):
            return True
        if self.caller is None or old != announcement:
            self._open_slots(announcement)
        self.log.info(
            "upstream_serving",
            service=announcement.service,
            upstream=announcement.address,
            slots=self.upstream.slots,
        )
        self._notify_listeners()
        self.wake()
        return True

    def leave(self, leaves_in_s: float | None = None) -> bool:
        """Marks the upstream as leaving, so that no new tasks are accepted.

        Args:
            leaves_in_s: Time after which it leaves at the earliest, in
                seconds, if announced.

        Returns:
            True if the upstream was serving.
        """
        leaves_at_s = (
            None
            if leaves_in_s is None
            else self.clock.monotonic() + leaves_in_s
        )
        announced_s = self.upstream.leaves_at_s
        was_serving = self.upstream.leave(leaves_at_s)
        if was_serving:
            self._close_slots("left")
        elif is_notably_sooner(leaves_at_s, announced_s):
            self._notify_listeners()
        return was_serving

    def drain(self) -> None:
        """Marks the upstream as leaving, and rejects further announcements."""
        self.is_draining = True
        self.leave()

    def unsettled(self) -> int:
        """Returns the number of tasks that run or await acknowledgement.

        Outcomes for an entry that has been silent for `lost_s` don't count.
        """
        now_s = self.clock.monotonic()
        kept = sum(
            len(session.tasks)
            for session in self.sessions.values()
            if now_s - session.last_received_s <= self.timing.lost_s
        )
        return max(kept, self.ledger.occupied_units)

    def adopt(self, revision: int, policy: SidecarPolicy) -> None:
        """Adopts settings if their revision is higher than the current one."""
        if revision <= self.policy_revision:
            return
        self.policy_revision = revision
        old, self.policy = self.policy, policy
        self.ledger.read_ahead = policy.read_ahead
        self.ledger.recall_delay_s = policy.recall_delay_s
        self.ledger.idle_grant_delay_s = policy.idle_grant_delay_s
        if isinstance(self.caller, UpstreamCaller) and old != policy:
            self.caller.not_run_statuses = frozenset(policy.not_run_statuses)
        self.log.info("settings_adopted", revision=revision)

    def run_once(self) -> float:
        """Handles received frames, and sends those that are due.

        Returns:
            The time until it is due again, in seconds.
        """
        self.link_usage.wakeups += 1
        self._receive()
        self._tick()
        self._allocate_credits()
        if self._flush() and has_message(self.socket):
            self.wake()
        return self._next_due_s() - self.clock.monotonic()

    def close(self) -> None:
        """Closes the socket after what has been sent is delivered."""
        self.socket.close(linger=200)
        if self.caller is not None:
            self.caller.close()

    def _receive(self) -> None:
        for _ in range(MAX_FRAMES_PER_ITERATION):
            parts = receive(self.socket)
            if parts is None:
                return
            route, data = parts[0], parts[-1]
            self.link_usage.frames_received += 1
            try:
                frame = self.decoder.decode(data)
            except DECODE_ERRORS as error:
                self.log.warning("frame_undecodable", reason=str(error))
                continue
            self._handle_frame(route, frame)
        self.wake()

    def _handle_frame(self, route: bytes, frame: EntryFrame) -> None:
        session = self.sessions.get(frame.sender)
        if session is None:
            session = SidecarSession(frame.sender, self.incarnation)
            self.sessions[frame.sender] = session
        first = frame.messages[0] if frame.messages else None
        is_opening = frame.epoch > session.fence.epoch
        if is_opening and not isinstance(first, Resume):
            return
        verdict = session.fence.check(frame.epoch, frame.sequence)
        if verdict in (FrameStatus.STALE, FrameStatus.GAP):
            return
        session.last_received_s = self.clock.monotonic()
        session.echo_s = max(session.echo_s, frame.echo_s)
        if session.is_expired:
            session.is_expired = self.is_session_expired(session)
        if verdict is FrameStatus.NEW_EPOCH:
            self._open_session(route, session, frame.messages.pop(0))
        if frame.backlog is not None:
            session.backlog = frame.backlog
        for message in frame.messages:
            handle_message(message, session, self)

    def _open_session(self, route, session: SidecarSession, resume) -> None:
        is_accepted = session.resume(route, resume)
        self.log.info(
            "session_open",
            entry=format_incarnation(session.entry),
            epoch=session.fence.epoch,
            accepted=is_accepted,
        )
        if not is_accepted:
            session.fence.is_epoch_invalid = True
            return
        self.link_usage.connections += 1
        self.ledger.reset_entry(session.entry)
        if not self.accepts_tasks:
            session.outbox.append(Leaving())

    def refuse(
        self, ref: TaskRef, session: SidecarSession, reason: bytes
    ) -> None:
        """Reports that a task did not run."""
        self.metrics.count("starts_refused_total", {"reason": reason.decode()})
        session.outbox.append(
            Outcome(ref, TaskState.NOT_RUN, reason, False, 0.0)
        )

    def start_task(self, message: Start, session: SidecarSession) -> None:
        """Starts a task that the session has accepted."""
        assert self.caller is not None
        caller, ref = self.caller, message.task
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
                and not self.is_evacuated
                and not self.is_session_expired(session)
            )

        def on_result(result: CallResult) -> None:
            self._finish(session, ref, result)
            if result.is_unreachable:
                self._handle_upstream_lost(caller)

        caller.start(
            ref, message.payload, message.remaining_s, may_start, on_result
        )

    def _handle_upstream_lost(self, caller: TaskCaller) -> None:
        """Marks the upstream as unreachable until its next announcement."""
        if caller is self.caller and self.upstream.lose():
            self._close_slots("unreachable")

    def _finish(
        self,
        session: SidecarSession,
        ref: TaskRef,
        result: CallResult,
    ) -> None:
        # The end of an upstream that was leaving is no fault of its tasks.
        has_crashed = (
            result.has_crashed
            and self.upstream.state is not UpstreamState.LEAVING
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
        self.wake()
        self.metrics.count("outcomes_total", {"state": outcome.state.value})
        if outcome.state is TaskState.NOT_RUN:
            session.forget(outcome.task)
            session.outbox.append(outcome)
            return
        session.finish(outcome)
        if has_crashed:
            self._report_crash(session, outcome)

    def _report_crash(self, owner: SidecarSession, outcome: Outcome) -> None:
        """Reports a crash to the entries that did not start the task."""
        for session in self.sessions.values():
            if session is not owner and not session.fence.is_epoch_invalid:
                session.outbox.append(
                    CrashReport(
                        outcome.task, outcome.run_s, outcome.is_confirmed
                    )
                )

    def _open_slots(self, announcement: Announcement) -> None:
        previous = self.caller
        self.caller = self.make_caller(announcement, self.report_upstream_lost)
        if previous is not None and previous is not self.caller:
            previous.close()
        self.ledger.slots = self.upstream.slots
        # Shares of the capacity in force, which may have changed.
        self.ledger.occupied_units = sum(
            map(self._units_occupied, self.running.values())
        )

    def _make_http_caller(
        self, announcement: Announcement, _on_lost: Callable[[], None]
    ) -> TaskCaller:
        return UpstreamCaller(
            announcement.address,
            self.policy.not_run_statuses,
            self.upstream.slots,
        )

    def units_needed(self, need: Resources | None) -> int | None:
        """Returns the credits that a task needs; None if it doesn't fit."""
        return units_needed(need, self.upstream.capacity, self.upstream.slots)

    def _units_occupied(self, need: Resources | None) -> int:
        """Returns the credits that a running task occupies.

        All of them if it exceeds a capacity that has shrunk since its start.
        """
        units = self.units_needed(need)
        return max(self.upstream.slots, 1) if units is None else units

    def is_session_expired(self, session: SidecarSession) -> bool:
        """Returns True if the session at a leased upstream has expired."""
        if self.caller is None or not self.caller.is_leased:
            return False
        echo_age_s = self.clock.monotonic() - session.echo_s
        return echo_age_s >= self.timing.session_s

    def stop_expired_sessions(self) -> None:
        """Stops the tasks of sessions that have expired.

        Their entries may consider them lost and start them elsewhere.
        """
        if self.caller is None or not self.caller.is_leased:
            return
        latest_echo_s = self.clock.monotonic() - self.timing.session_s
        for session in self.sessions.values():
            was_expired = session.is_expired
            session.is_expired = session.echo_s <= latest_echo_s
            if session.is_expired and not was_expired:
                self._stop_session(session)

    def _stop_session(self, session: SidecarSession) -> None:
        running = session.running()
        if not running:
            return
        assert self.caller is not None
        echo_age_s = self.clock.monotonic() - session.echo_s
        self.log.warning(
            "session_over",
            entry=format_incarnation(session.entry),
            epoch=session.fence.epoch,
            tasks=len(running),
            echo_age_s=echo_age_s,
        )
        within_s = self.timing.session_s + self.timing.lease_s - echo_age_s
        for ref in running:
            self.caller.stop(ref, b"session over", within_s)

    def _close_slots(self, reason: str) -> None:
        self.ledger.slots = 0
        self.log.info("upstream_leaving", reason=reason)
        for session in self.sessions.values():
            session.outbox.append(Leaving())
        self._notify_listeners()
        self.wake()

    def _tick(self) -> None:
        self.stop_expired_sessions()
        now_s = self.clock.monotonic()
        if now_s < self.last_tick_s + self._tick_interval_s():
            return
        self.last_tick_s = now_s
        if self.upstream.expire(now_s):
            self._close_slots("announcement expired")
        for session in list(self.sessions.values()):
            silent_s = now_s - session.last_received_s
            limit_s = self.timing.silence_limit_s(session.is_idle)
            if silent_s > SESSION_RETENTION_S and session.drop_outcomes():
                del self.sessions[session.entry]
            elif silent_s > limit_s:
                # Forces the entry to open a new epoch before its next start.
                session.fence.is_epoch_invalid = True
                self.ledger.remove_entry(session.entry)

    def _allocate_credits(self) -> None:
        if not self.accepts_tasks:
            return
        caller = self.caller
        if (
            caller is None
            or not caller.has_no_orphans
            or caller.is_lease_ending
        ):
            return
        now_s = self.clock.monotonic()
        self.ledger.slots = self._granted_slots(now_s)
        addressed = {
            entry for entry, session in self.sessions.items() if session.outbox
        }
        for entry in self.ledger.allocate(now_s, addressed):
            holder = self.ledger.holders[entry]
            self.sessions[entry].grant(holder.granted, holder.demand > 0)
        for entry, count in self.ledger.start_recalls(now_s).items():
            self.sessions[entry].outbox.append(Recall(count))

    def _granted_slots(self, now_s: float) -> int:
        """Returns the credits to grant: fewer while the upstream is cold."""
        slots = self.upstream.slots
        share = self.upstream.warmup.share(now_s, self.policy.cold_share)
        # At least one task at a time.
        return min(slots, max(round(share * slots), self.ledger.task_units))

    def _tick_interval_s(self) -> float:
        is_idle = all(session.is_idle for session in self.sessions.values())
        return IDLE_TICK_S if is_idle else self.timing.tick_s

    def _heartbeat_due_s(self, session: SidecarSession) -> float:
        """Returns when the next heartbeat is due; infinite if it is closed."""
        if session.fence.is_epoch_invalid:
            return math.inf
        interval_s = self.timing.heartbeat_interval_s(session.is_idle)
        return session.last_sent_s + interval_s

    def _session_ends_s(self) -> list[float]:
        """Returns when sessions end on which tasks depend."""
        if self.caller is None or not self.caller.is_leased:
            return []
        return [
            session.echo_s + self.timing.session_s
            for session in self.sessions.values()
            if session.tasks and not session.is_expired
        ]

    def _next_due_s(self) -> float:
        heartbeats = map(self._heartbeat_due_s, self.sessions.values())
        next_tick_s = self.last_tick_s + self._tick_interval_s()
        return min([next_tick_s, *heartbeats, *self._session_ends_s()])

    def _flush(self) -> bool:
        """Sends the frames that are due; returns True if there were any."""
        has_sent = False
        now_s = self.clock.monotonic()
        due_s = [self._heartbeat_due_s(s) for s in self.sessions.values()]
        # One wake-up sends the heartbeats of all sessions.
        is_any_due = min(due_s, default=math.inf) <= now_s
        early_s = EARLY_HEARTBEAT_SHARE * self.timing.heartbeat_s
        limit_s = now_s + early_s if is_any_due else now_s
        load: LoadSum | None = None
        for session, heartbeat_s in zip(
            self.sessions.values(), due_s, strict=True
        ):
            if session.has_urgent_messages or heartbeat_s <= limit_s:
                session.last_sent_s = now_s
                self.link_usage.count_sent(session.has_urgent_messages)
                report = None
                if session.reporter.is_due(now_s):
                    load = load or self._sum_backlogs()
                    others = load.without(session.backlog)
                    report = session.reporter.report(others, now_s)
                data = self.encoder.encode(session.next_frame(now_s, report))
                self.socket.send_multipart([session.route, data])
                has_sent = True
        return has_sent

    def _sum_backlogs(self) -> LoadSum:
        return LoadSum(
            session.backlog
            for session in self.sessions.values()
            if not session.fence.is_epoch_invalid
        )

    def _notify_listeners(self) -> None:
        for listener in self.listeners:
            listener()


@singledispatch
def handle_message(
    message, session: SidecarSession, server: LinkServer
) -> None:
    """Handles a message of an entry."""
    server.log.warning("message_unexpected", kind=type(message).__name__)


@handle_message.register
def _(message: Start, session: SidecarSession, server: LinkServer) -> None:
    units = server.units_needed(message.need)
    has_credit = server.ledger.spend(
        session.entry, message.units or units or server.upstream.slots
    )
    if server.is_evacuated:
        # An entry that has not been informed yet, or a start that was delayed.
        server.refuse(message.task, session, b"zone evacuated")
        return
    is_serving = server.upstream.state is UpstreamState.SERVING
    # Credits may have been granted before the capacity shrank.
    limit = server.upstream.slots + server.ledger.read_ahead
    has_capacity = (
        units is not None and server.ledger.occupied_units + units <= limit
    )
    if not (has_credit and is_serving and has_capacity):
        server.refuse(message.task, session, b"no free slot")
        return
    if server.is_session_expired(session):
        # The start was delayed on its way until the session had expired.
        server.refuse(message.task, session, b"session over")
        return
    verdict = session.start(message.task)
    if verdict is StartDecision.RUN:
        server.start_task(message, session)
    elif verdict is StartDecision.REFUSE:
        server.refuse(message.task, session, b"an earlier attempt is running")


@handle_message.register
def _(message: Demand, session: SidecarSession, server: LinkServer) -> None:
    now_s = server.clock.monotonic()
    urgent_at_s = now_s + message.urgency_s
    server.ledger.update_demand(
        session.entry,
        message.count,
        urgent_at_s,
        now_s,
        message.head_units,
        message.priority,
        message.class_units,
    )


@handle_message.register
def _(
    message: CreditReturn, session: SidecarSession, server: LinkServer
) -> None:
    server.ledger.update_returned(session.entry, message.total)


@handle_message.register
def _(
    message: Acknowledge, session: SidecarSession, server: LinkServer
) -> None:
    session.acknowledge(message.tasks)


@handle_message.register
def _(message: Cancel, session: SidecarSession, server: LinkServer) -> None:
    session.cancel(message.tasks)
    if server.caller is not None:
        for ref in message.tasks:
            server.caller.stop(ref)


@handle_message.register
def _(message: Stop, session: SidecarSession, server: LinkServer) -> None:
    if server.caller is not None:
        for ref in message.tasks:
            server.caller.stop(ref, b"moved")
