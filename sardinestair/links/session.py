"""The sidecar's end of a link: its state for one entry."""

import enum

import msgspec

from sardinestair.ids import Incarnation, JobId
from sardinestair.limits.load_view import ClassLoad, LoadReporter
from sardinestair.links.fence import FrameFence
from sardinestair.messages import (
    Grant,
    Leaving,
    Outcome,
    Resume,
    Resumed,
    SidecarFrame,
    SidecarMessage,
    TaskRef,
)

__all__ = ["HeldTask", "SidecarSession", "StartDecision"]


class StartDecision(enum.Enum):
    """How a sidecar handles a `Start`."""

    RUN = "run"
    IGNORE = "ignore"
    REFUSE = "refuse"


class HeldTask(msgspec.Struct):
    """A task that a sidecar has accepted and not yet forgotten.

    Attributes:
        ref: The attempt that was accepted.
        outcome: Its outcome, or None while it is running or queued.
        wanted: False once the entry has cancelled it.
    """

    ref: TaskRef
    outcome: Outcome | None = None
    wanted: bool = True


class SidecarSession:
    """The state that a sidecar keeps for one incarnation of an entry.

    A task is held from its start until the entry acknowledges its outcome.
    While it is held, the same attempt isn't started again; after that, the
    fence rejects a duplicate of the frame that started it.

    Args:
        entry: The entry's incarnation.
        sidecar: The sidecar's own incarnation.

    Attributes:
        fence: Rejects stale frames of the entry.
        route: ZeroMQ routing id of the current connection.
        tasks: The held tasks by job and index.
        outbox: Messages for the next frame.
        frames_sent: Number of frames sent in this epoch, which is also the
            sequence number of the last one.
        last_received_s: When the last accepted frame arrived.
        echo_s: When this sidecar sent the latest frame that the entry has
            echoed; the session's length is counted from it.
        is_expired: True once its tasks have been stopped because no echo came
            in time, until one has come.
        last_sent_s: When the last frame was sent.
        granted: Credits granted in this epoch, if the entry has not been sent
            this number; None otherwise.
        is_grant_urgent: True if the entry has tasks that wait for them.
        backlog: The entry's waiting work by class, from its last report.
        reporter: Decides when the entry is sent the others' work.
    """

    def __init__(self, entry: Incarnation, sidecar: Incarnation):
        self.entry = entry
        self.sidecar = sidecar
        self.fence = FrameFence()
        self.route = b""
        self.tasks: dict[tuple[JobId, int], HeldTask] = {}
        self.outbox: list[SidecarMessage] = []
        self.frames_sent = 0
        self.last_received_s = 0.0
        self.echo_s = 0.0
        self.is_expired = False
        self.last_sent_s = 0.0
        self.granted: int | None = None
        self.is_grant_urgent = False
        self.backlog: list[ClassLoad] = []
        self.reporter = LoadReporter()

    @property
    def is_idle(self) -> bool:
        """True if no task of the entry is held."""
        return not self.tasks

    def resume(self, route: bytes, message: Resume) -> bool:
        """Answers the first message of an epoch.

        The fence has already opened the epoch, so a start from an earlier
        epoch can no longer take effect and the reply's `not_run` stays true.

        Args:
            route: ZeroMQ routing id of the new connection.
            message: The request.

        Returns:
            True if the request names this incarnation of the sidecar.
        """
        self.route = route
        self.frames_sent = 0
        self.outbox.clear()
        self.granted = None
        self.is_grant_urgent = False
        self.backlog = []
        self.reporter.reset()
        if message.sidecar != self.sidecar:
            self.outbox.append(Resumed(False, [], []))
            return False
        absent = [ref for ref in message.tasks if not self._holds(ref)]
        held = [ref for ref in message.tasks if self._is_running(ref)]
        self.outbox.append(Resumed(True, absent, held))
        self.outbox.extend(
            task.outcome for task in self.tasks.values() if task.outcome
        )
        return True

    def start(self, ref: TaskRef) -> StartDecision:
        """Decides whether an attempt may start, given the tasks held.

        Args:
            ref: The attempt.

        Returns:
            RUN if it may start; it is held from now on. IGNORE if this or a
            later attempt has been started before, REFUSE if an earlier one is
            still running.
        """
        key = (ref.job, ref.index)
        held = self.tasks.get(key)
        if held is not None:
            if held.ref.attempt >= ref.attempt:
                return StartDecision.IGNORE
            if held.outcome is None:
                return StartDecision.REFUSE
        # Replaces an earlier attempt that the entry has abandoned, and that
        # ended without its outcome being acknowledged.
        self.tasks[key] = HeldTask(ref)
        return StartDecision.RUN

    def forget(self, ref: TaskRef) -> None:
        """Forgets an attempt that did not run."""
        if self._holds(ref):
            del self.tasks[ref.job, ref.index]

    def finish(self, outcome: Outcome) -> None:
        """Queues an outcome, and keeps it until it is acknowledged."""
        task = self.tasks.get((outcome.task.job, outcome.task.index))
        if task is None or task.ref != outcome.task:
            return
        if not task.wanted:
            outcome = msgspec.structs.replace(outcome, body=b"", is_json=False)
        task.outcome = outcome
        self.outbox.append(outcome)

    def acknowledge(self, refs: list[TaskRef]) -> None:
        """Forgets tasks whose outcome the entry has received."""
        for ref in refs:
            task = self.tasks.get((ref.job, ref.index))
            if task is not None and task.ref == ref and task.outcome:
                del self.tasks[ref.job, ref.index]

    def cancel(self, refs: list[TaskRef]) -> None:
        """Marks tasks whose results the entry no longer needs."""
        for ref in refs:
            task = self.tasks.get((ref.job, ref.index))
            if task is not None and task.ref == ref:
                task.wanted = False

    def drop_outcomes(self) -> bool:
        """Forgets ended tasks whose outcome was never acknowledged.

        Returns:
            True if no task is held any more.
        """
        self.tasks = {k: t for k, t in self.tasks.items() if not t.outcome}
        return not self.tasks

    def running(self) -> list[TaskRef]:
        """Returns the attempts that have not ended."""
        return [t.ref for t in self.tasks.values() if t.outcome is None]

    def grant(self, total: int, is_urgent: bool) -> None:
        """Queues a grant of credits.

        Args:
            total: Credits granted in this epoch.
            is_urgent: True if a frame is to be sent for it. Otherwise it waits
                for the next frame, as no task waits for the credits.
        """
        self.granted = total
        self.is_grant_urgent |= is_urgent

    def leave(self) -> None:
        """Queues the notice that the upstream accepts no tasks.

        A grant that has not been sent would revoke it; it is sent once tasks
        are accepted again.
        """
        self.granted, self.is_grant_urgent = None, False
        self.outbox.append(Leaving())

    @property
    def has_urgent_messages(self) -> bool:
        """True if a frame is to be sent at once."""
        return bool(self.outbox) or self.is_grant_urgent

    def next_frame(
        self, now_s: float, load: list[ClassLoad] | None = None
    ) -> SidecarFrame:
        """Returns a frame with all queued messages, and clears the queue.

        Args:
            now_s: The current time, on the sidecar's clock.
            load: Report of the other entries' waiting work, if it is due.
        """
        self.frames_sent += 1
        if self.granted is not None:
            self.outbox.append(Grant(self.granted))
            self.granted, self.is_grant_urgent = None, False
        messages, self.outbox = self.outbox, []
        return SidecarFrame(
            self.sidecar,
            self.fence.epoch,
            self.frames_sent,
            messages,
            now_s,
            load,
        )

    def _holds(self, ref: TaskRef) -> bool:
        task = self.tasks.get((ref.job, ref.index))
        return task is not None and task.ref == ref

    def _is_running(self, ref: TaskRef) -> bool:
        task = self.tasks.get((ref.job, ref.index))
        return task is not None and task.ref == ref and task.outcome is None
