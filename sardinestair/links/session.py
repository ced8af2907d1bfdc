"""A sidecar's side of its link with one entry."""

import enum

import msgspec

from sardinestair.ids import Incarnation, JobId
from sardinestair.links.fence import FrameFence
from sardinestair.messages import (
    Outcome,
    Resume,
    Resumed,
    SidecarFrame,
    SidecarMessage,
    TaskRef,
)

__all__ = ["HeldTask", "SidecarSession", "StartVerdict"]


class StartVerdict(enum.Enum):
    """What a sidecar does with a `Start`."""

    RUN = "run"
    IGNORE = "ignore"
    REFUSE = "refuse"


class HeldTask(msgspec.Struct):
    """A task that a sidecar has started for an entry.

    Attributes:
        ref: The attempt that was started.
        outcome: How it ended, or None while it runs.
        wanted: False once the entry has cancelled it.
    """

    ref: TaskRef
    outcome: Outcome | None = None
    wanted: bool = True


class SidecarSession:
    """What a sidecar keeps for one incarnation of an entry.

    A task is held from its start until the entry acknowledges its outcome.
    While it is held it can't be started again; after that, a repeated frame
    is stopped by the fence.

    Args:
        entry: The entry's incarnation.
        sidecar: The sidecar's own incarnation.

    Attributes:
        fence: The frames seen so far.
        route: Identity of the current connection.
        tasks: The held tasks by job and index.
        outbox: Messages for the next frame.
        sent: Sequence number of the last frame sent in this epoch.
        last_heard_s: When the last current frame arrived.
        echo_s: When the latest frame that the entry has echoed was sent; the
            session's lease counts from it.
        is_over: True once its tasks have been stopped for want of an echo.
        last_sent_s: When the last frame was sent.
    """

    def __init__(self, entry: Incarnation, sidecar: Incarnation):
        self.entry = entry
        self.sidecar = sidecar
        self.fence = FrameFence()
        self.route = b""
        self.tasks: dict[tuple[JobId, int], HeldTask] = {}
        self.outbox: list[SidecarMessage] = []
        self.sent = 0
        self.last_heard_s = 0.0
        self.echo_s = 0.0
        self.is_over = False
        self.last_sent_s = 0.0

    def resume(self, route: bytes, message: Resume) -> bool:
        """Answers the first message of an epoch.

        The fence has raised the epoch already, so a start of an earlier
        epoch is refused from here on and `not_run` stays true.

        Args:
            route: Identity of the new connection.
            message: The entry's question.

        Returns:
            True if the entry asked for this incarnation.
        """
        self.route = route
        self.sent = 0
        self.outbox.clear()
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

    def start(self, ref: TaskRef) -> StartVerdict:
        """Judges a start by what is held already.

        Args:
            ref: The attempt.

        Returns:
            RUN if the task may start; it is held from now on. IGNORE if this
            attempt has been started before, REFUSE if an earlier one runs.
        """
        key = (ref.job, ref.index)
        held = self.tasks.get(key)
        if held is not None:
            if held.ref.attempt >= ref.attempt:
                return StartVerdict.IGNORE
            if held.outcome is None:
                return StartVerdict.REFUSE
        # The entry has given up an earlier attempt that has ended since, and
        # whose outcome it has not acknowledged.
        self.tasks[key] = HeldTask(ref)
        return StartVerdict.RUN

    def forget(self, ref: TaskRef) -> None:
        """Forgets a task that has turned out not to run."""
        if self._holds(ref):
            del self.tasks[ref.job, ref.index]

    def finish(self, outcome: Outcome) -> None:
        """Keeps an outcome until it is acknowledged, and queues it."""
        task = self.tasks.get((outcome.task.job, outcome.task.index))
        if task is None or task.ref != outcome.task:
            return
        if not task.wanted:
            outcome = msgspec.structs.replace(outcome, body=b"", is_json=False)
        task.outcome = outcome
        self.outbox.append(outcome)

    def acknowledge(self, refs: list[TaskRef]) -> None:
        """Forgets tasks whose outcome has arrived at the entry."""
        for ref in refs:
            task = self.tasks.get((ref.job, ref.index))
            if task is not None and task.ref == ref and task.outcome:
                del self.tasks[ref.job, ref.index]

    def cancel(self, refs: list[TaskRef]) -> None:
        """Marks tasks whose results the entry no longer wants."""
        for ref in refs:
            task = self.tasks.get((ref.job, ref.index))
            if task is not None and task.ref == ref:
                task.wanted = False

    def drop_outcomes(self) -> bool:
        """Forgets the outcomes that an entry never fetched.

        Returns:
            True if no task is left.
        """
        self.tasks = {k: t for k, t in self.tasks.items() if not t.outcome}
        return not self.tasks

    def running(self) -> list[TaskRef]:
        """Returns the attempts that are running."""
        return [t.ref for t in self.tasks.values() if t.outcome is None]

    def next_frame(self, now_s: float) -> SidecarFrame:
        """Returns a frame with all queued messages, and empties the queue."""
        self.sent += 1
        messages, self.outbox = self.outbox, []
        return SidecarFrame(
            self.sidecar, self.fence.epoch, self.sent, messages, now_s
        )

    def _holds(self, ref: TaskRef) -> bool:
        task = self.tasks.get((ref.job, ref.index))
        return task is not None and task.ref == ref

    def _is_running(self, ref: TaskRef) -> bool:
        task = self.tasks.get((ref.job, ref.index))
        return task is not None and task.ref == ref and task.outcome is None
