"""The sidecar's sessions with its entries, and when they end."""

import math
from typing import cast

from sardinestair.clock import Clock
from sardinestair.ids import Incarnation, format_incarnation
from sardinestair.limits.credits import CreditLedger
from sardinestair.links.fence import FrameStatus
from sardinestair.links.session import SidecarSession
from sardinestair.links.timing import LinkTiming
from sardinestair.messages import (
    EntryFrame,
    Resume,
)
from sardinestair.observability import EventLog, LinkUsage
from sardinestair.sidecar.availability import UpstreamAvailability

__all__ = ["SessionTable"]

SESSION_RETENTION_S = 600.0
# Longest time between two checks of the sessions while none holds a task.
IDLE_TICK_S = 0.2


class SessionTable:
    """Opens and ends sessions, and decides when each is due.

    Args:
        incarnation: The sidecar's incarnation.
        availability: Whether the upstream takes tasks.
        ledger: Accounts of the credits of entries.
        clock: The clock.
        timing: Time limits of links.
        link_usage: Counters of all links.
        log: The sidecar's log.

    Attributes:
        by_entry: State of the link with each entry, by its incarnation.
        last_check_s: When silent sessions were last looked for.
    """

    def __init__(
        self,
        incarnation: Incarnation,
        availability: UpstreamAvailability,
        ledger: CreditLedger,
        clock: Clock,
        timing: LinkTiming,
        link_usage: LinkUsage,
        log: EventLog,
    ):
        self.incarnation = incarnation
        self.availability = availability
        self.ledger = ledger
        self.clock = clock
        self.timing = timing
        self.link_usage = link_usage
        self.log = log
        self.by_entry: dict[Incarnation, SidecarSession] = {}
        self.last_check_s = 0.0

    def receive(self, route: bytes, frame: EntryFrame) -> SidecarSession | None:
        """Accepts a frame, and opens a session if it is the first of an epoch.

        Args:
            route: ZeroMQ routing id of the connection.
            frame: The frame. The message that opens an epoch is removed.

        Returns:
            The session, or None if the frame is to be ignored.
        """
        session = self.by_entry.get(frame.sender)
        if session is None:
            session = SidecarSession(frame.sender, self.incarnation)
            self.by_entry[frame.sender] = session
        first = frame.messages[0] if frame.messages else None
        is_opening = frame.epoch > session.fence.epoch
        if is_opening and not isinstance(first, Resume):
            return None
        verdict = session.fence.check(frame.epoch, frame.sequence)
        if verdict in (FrameStatus.STALE, FrameStatus.GAP):
            return None
        session.last_received_s = self.clock.monotonic()
        session.echo_s = max(session.echo_s, frame.echo_s)
        if session.is_expired:
            session.is_expired = self.is_expired(session)
        if verdict is FrameStatus.NEW_EPOCH:
            self._open(route, session, cast(Resume, frame.messages.pop(0)))
        if frame.backlog is not None:
            session.backlog = frame.backlog
        return session

    def send_leaving(self) -> None:
        """Sends all entries that the upstream accepts no tasks."""
        for session in self.by_entry.values():
            session.leave()

    def send_return(self) -> None:
        """Grants each entry what it had been granted before.

        Entries neither place tasks here nor ask for credits until a grant, and
        credits may be granted to others for as long as these want them.
        """
        for entry, session in self.by_entry.items():
            holder = self.ledger.holders.get(entry)
            if holder is not None:
                session.grant(holder.granted, is_urgent=True)

    def is_expired(self, session: SidecarSession) -> bool:
        """Returns True if the session at a leased upstream has expired."""
        if not self.availability.is_leased:
            return False
        echo_age_s = self.clock.monotonic() - session.echo_s
        return echo_age_s >= self.timing.session_s

    def stop_expired(self) -> None:
        """Stops the tasks of sessions that have expired.

        Their entries may consider them lost and start them elsewhere.
        """
        if not self.availability.is_leased:
            return
        latest_echo_s = self.clock.monotonic() - self.timing.session_s
        for session in self.by_entry.values():
            was_expired = session.is_expired
            session.is_expired = session.echo_s <= latest_echo_s
            if session.is_expired and not was_expired:
                self._stop_tasks(session)

    def is_check_due(self, now_s: float) -> bool:
        """Returns True if silent sessions are to be looked for."""
        return now_s >= self.last_check_s + self._check_interval_s()

    def check_silent(self, now_s: float) -> None:
        """Ends the epochs of silent entries, and forgets old sessions."""
        self.last_check_s = now_s
        for session in list(self.by_entry.values()):
            silent_s = now_s - session.last_received_s
            limit_s = self.timing.silence_limit_s(session.is_idle)
            if silent_s > SESSION_RETENTION_S and session.drop_outcomes():
                del self.by_entry[session.entry]
            elif silent_s > limit_s:
                # Forces the entry to open a new epoch before its next start.
                session.fence.is_epoch_invalid = True
                self.ledger.remove_entry(session.entry)

    def count_kept_tasks(self) -> int:
        """Returns the number of tasks that run or await acknowledgement.

        Tasks of an entry that has been silent for `lost_s` don't count.
        """
        now_s = self.clock.monotonic()
        return sum(
            len(session.tasks)
            for session in self.by_entry.values()
            if now_s - session.last_received_s <= self.timing.lost_s
        )

    def heartbeats_due_s(self) -> list[float]:
        """Returns when the heartbeat of each session is due.

        It is infinite for those that are closed.
        """
        busy_s = self.timing.heartbeat_interval_s(is_idle=False)
        idle_s = self.timing.heartbeat_interval_s(is_idle=True)
        return [
            math.inf
            if session.fence.is_epoch_invalid
            else session.last_sent_s + (busy_s if session.tasks else idle_s)
            for session in self.by_entry.values()
        ]

    def next_due_s(self) -> float:
        """Returns when a check, a heartbeat or the end of a session is due."""
        next_check_s = self.last_check_s + self._check_interval_s()
        return min([next_check_s, *self.heartbeats_due_s(), *self._ends_s()])

    def _open(
        self, route: bytes, session: SidecarSession, resume: Resume
    ) -> None:
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
        if not self.availability.accepts_tasks:
            session.leave()

    def _stop_tasks(self, session: SidecarSession) -> None:
        running = session.running()
        if not running:
            return
        caller = self.availability.caller
        assert caller is not None
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
            caller.stop(ref, b"session over", within_s)

    def _check_interval_s(self) -> float:
        for session in self.by_entry.values():
            if session.tasks:
                return self.timing.tick_s
        return IDLE_TICK_S

    def _ends_s(self) -> list[float]:
        """Returns when sessions end on which tasks depend."""
        if not self.availability.is_leased:
            return []
        return [
            session.echo_s + self.timing.session_s
            for session in self.by_entry.values()
            if session.tasks and not session.is_expired
        ]
