"""Serves the links between a sidecar and its entries.

It receives frames, passes their messages to the parts of the sidecar that
decide, and sends the frames that are due. All of its methods are called in one
thread, that of the event loop.
"""

import math
from collections.abc import Callable

import msgspec
import zmq

from sardinestair.clock import Clock
from sardinestair.ids import Incarnation, format_incarnation
from sardinestair.limits.credits import CreditLedger
from sardinestair.links.session import SidecarSession
from sardinestair.links.sockets import (
    MAX_QUEUED_FRAMES,
    has_message,
    receive,
)
from sardinestair.links.timing import LinkTiming
from sardinestair.messages import (
    DECODE_ERRORS,
    Announce,
    EntryFrame,
    EvacuationView,
    UpstreamStatus,
)
from sardinestair.observability import EventLog, LinkUsage, Metrics
from sardinestair.sidecar.allocation import CreditAllocator
from sardinestair.sidecar.availability import (
    CallerFactory,
    UpstreamAvailability,
)
from sardinestair.sidecar.entry_messages import handle_message
from sardinestair.sidecar.load_relay import LoadRelay
from sardinestair.sidecar.policy import SidecarPolicy
from sardinestair.sidecar.session_table import SessionTable
from sardinestair.sidecar.task_runs import TaskRuns
from sardinestair.upstreams import Announcement

__all__ = ["LinkServer"]

MAX_FRAMES_PER_ITERATION = 64
# Part of the heartbeat interval by which a heartbeat may go early, together
# with that of another session.
EARLY_HEARTBEAT_SHARE = 0.25


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
        make_caller: See `UpstreamAvailability`.

    Attributes:
        availability: Whether the upstream takes tasks.
        upstream: State of the sidecar's upstream.
        ledger: Allocates the upstream's slots to entries as credits.
        sessions: The sessions with the entries.
        runs: The running tasks.
        allocator: Grants and recalls credits.
        load_relay: Makes the load reports for entries.
        policy: The effective settings.
        policy_revision: Their revision, -1 before the first.
        wake: Called when `run_once` has work to do.
        listeners: Called when the description of the sidecar has changed.
        endpoint: ZeroMQ endpoint at which the socket listens.
        advertised_endpoint: Endpoint at which entries reach the sidecar.
        descriptor: Descriptor that signals events of the socket.
        link_usage: Counters of all links.
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
        self.zone = zone
        self.incarnation = incarnation
        self.clock = clock
        self.timing = timing or LinkTiming()
        self.link_usage = LinkUsage()
        self.log = EventLog(
            "sidecar", sidecar=format_incarnation(incarnation), zone=zone
        )
        self.ledger = CreditLedger(slots=0)
        self.availability = UpstreamAvailability(
            zone, clock, metrics, self.log, make_caller
        )
        self.upstream = self.availability.upstream
        self.sessions = SessionTable(
            incarnation,
            self.availability,
            self.ledger,
            clock,
            self.timing,
            self.link_usage,
            self.log,
        )
        self.runs = TaskRuns(
            self.availability,
            self.sessions,
            self.ledger,
            clock,
            metrics,
            self.log,
        )
        self.allocator = CreditAllocator(
            self.ledger, self.availability, self.sessions
        )
        self.load_relay = LoadRelay(self.sessions.by_entry.values())
        self.policy = SidecarPolicy()
        self.policy_revision = -1
        self.wake: Callable[[], None] = lambda: None
        self.listeners: list[Callable[[], None]] = []
        self.availability.on_opened = self._handle_opened
        self.availability.on_closed = self._handle_closed
        self.availability.on_returned = self._handle_returned
        self.availability.on_changed = self._handle_changed
        self.runs.on_ended = lambda: self.wake()
        self.socket = context.socket(zmq.ROUTER)
        self.socket.set(zmq.SNDHWM, 0)
        self.socket.set(zmq.RCVHWM, MAX_QUEUED_FRAMES)
        self.socket.bind(endpoint)
        self.endpoint = self.socket.get(zmq.LAST_ENDPOINT).decode()
        self.descriptor = int(self.socket.get(zmq.FD))
        self.advertised_endpoint = self.endpoint
        self.decoder = msgspec.msgpack.Decoder(EntryFrame)
        self.encoder = msgspec.msgpack.Encoder()

    def description(self) -> Announce:
        """Returns the sidecar's announcement to entries."""
        return Announce(
            self.incarnation,
            self.advertised_endpoint,
            self.zone,
            self.upstream.service,
            self.upstream.slots,
            not self.availability.is_serving,
            self.policy_revision,
            self.upstream.capacity,
            self.availability.is_leased,
            self._status(),
            self.availability.evacuations.view,
        )

    def _status(self) -> UpstreamStatus:
        """Returns what is announced of the upstream beside its capacity."""
        now_s = self.clock.monotonic()
        leaves_at_s = self.upstream.leaves_at_s
        speed = self.runs.speed
        slowdowns = speed.estimates(now_s)
        return UpstreamStatus(
            None if leaves_at_s is None else max(0.0, leaves_at_s - now_s),
            self.upstream.warmup.left_s(now_s),
            self.upstream.rack,
            slowdowns,
            now_s - speed.observed_s if slowdowns else 0.0,
        )

    def observe_evacuations(self, view: EvacuationView) -> None:
        """Merges a view; see `UpstreamAvailability.observe_evacuations`."""
        self.availability.observe_evacuations(view)

    def report_upstream_lost(self) -> None:
        """Reports that the upstream stopped answering."""
        self.availability.report_lost()

    def announce(self, announcement: Announcement) -> bool:
        """Handles an announcement; see `UpstreamAvailability.announce`."""
        return self.availability.announce(announcement)

    def leave(self, leaves_in_s: float | None = None) -> bool:
        """Accepts no new tasks; see `UpstreamAvailability.leave`."""
        return self.availability.leave(leaves_in_s)

    def drain(self) -> None:
        """Accepts no new tasks and no further announcements."""
        self.availability.drain()

    def unsettled(self) -> int:
        """Returns the number of tasks that run or await acknowledgement.

        Outcomes for an entry that has been silent for `lost_s` don't count.
        """
        kept = self.sessions.count_kept_tasks()
        return max(kept, self.ledger.occupied_units)

    def adopt(self, revision: int, policy: SidecarPolicy) -> None:
        """Adopts settings if their revision is higher than the current one."""
        if revision <= self.policy_revision:
            return
        self.policy_revision = revision
        self.policy = policy
        self.allocator.adopt(policy)
        self.availability.adopt_statuses(frozenset(policy.not_run_statuses))
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
        return self.sessions.next_due_s() - self.clock.monotonic()

    def close(self) -> None:
        """Closes the socket after what has been sent is delivered."""
        self.socket.close(linger=200)
        self.availability.close()

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
        session = self.sessions.receive(route, frame)
        if session is None:
            return
        for message in frame.messages:
            handle_message(message, session, self.runs)

    def _tick(self) -> None:
        self.sessions.stop_expired()
        now_s = self.clock.monotonic()
        if self.sessions.is_check_due(now_s):
            self.availability.expire(now_s)
            self.sessions.check_silent(now_s)

    def _allocate_credits(self) -> None:
        self.allocator.allocate(self.clock.monotonic())

    def _flush(self) -> bool:
        """Sends the frames that are due; returns True if there were any."""
        has_sent = False
        now_s = self.clock.monotonic()
        sessions = self.sessions.by_entry.values()
        due_s = self.sessions.heartbeats_due_s()
        # One wake-up sends the heartbeats of all sessions.
        is_any_due = min(due_s, default=math.inf) <= now_s
        early_s = EARLY_HEARTBEAT_SHARE * self.timing.heartbeat_s
        limit_s = now_s + early_s if is_any_due else now_s
        self.load_relay.reset()
        for session, heartbeat_s in zip(sessions, due_s, strict=True):
            if session.has_urgent_messages or heartbeat_s <= limit_s:
                self._send_frame(session, now_s)
                has_sent = True
        return has_sent

    def _send_frame(self, session: SidecarSession, now_s: float) -> None:
        session.last_sent_s = now_s
        self.link_usage.count_sent(session.has_urgent_messages)
        load = self.load_relay.report_to(session, now_s)
        data = self.encoder.encode(session.next_frame(now_s, load))
        self.socket.send_multipart([session.route, data])

    def _handle_opened(self) -> None:
        self.ledger.slots = self.upstream.slots
        # Shares of the capacity in force, which may have changed.
        self.runs.count_units()

    def _handle_closed(self) -> None:
        self.ledger.slots = 0
        self.sessions.send_leaving()

    def _handle_returned(self) -> None:
        self.sessions.send_return()
        self.wake()

    def _handle_changed(self) -> None:
        for listener in self.listeners:
            listener()
        self.wake()
