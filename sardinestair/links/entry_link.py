"""The entry's end of a link with one sidecar.

`LinkLoop` serves the links of an entry in the event loop. The state that
placement reads is guarded by the lock of the `LinkOwner`.
"""

import enum
import threading
from functools import singledispatch
from typing import Protocol

import msgspec
import zmq

from sardinestair.clock import Clock
from sardinestair.ids import Incarnation, JobId, format_incarnation
from sardinestair.limits.credits import CreditAccount
from sardinestair.limits.load_view import ClassLoad, LinkLoad, LoadReporter
from sardinestair.limits.resources import Resources
from sardinestair.links.fence import FrameFence, FrameStatus
from sardinestair.links.lag import FrameLag
from sardinestair.links.sockets import receive
from sardinestair.links.timing import LinkTiming
from sardinestair.messages import (
    DECODE_ERRORS,
    Acknowledge,
    Announce,
    Cancel,
    CrashReport,
    CreditReturn,
    Demand,
    EntryFrame,
    EntryMessage,
    Grant,
    Leaving,
    Outcome,
    Recall,
    Resume,
    Resumed,
    SidecarFrame,
    Start,
    Stop,
    TaskRef,
    TaskState,
)
from sardinestair.observability import EventLog, LinkUsage
from sardinestair.placement.candidate import Candidate
from sardinestair.upstreams.warmup import Warmup

_NOBLOCK = int(zmq.NOBLOCK)

__all__ = ["EntryLink", "LinkOwner", "LinkState"]


class LinkState(enum.Enum):
    """State of a link; new tasks are placed only while it is UP."""

    CONNECTING = "connecting"
    UP = "up"
    LEAVING = "leaving"
    CLOSED = "closed"


class LinkOwner(Protocol):
    """Interface through which a link calls its entry.

    `lock` is held unless a method says otherwise.

    Attributes:
        lock: Guards the state of all links.
        link_usage: Counters of all links.
        is_closed: True once the entry has closed all links.
    """

    lock: threading.RLock
    link_usage: LinkUsage
    is_closed: bool

    def next_epoch(self) -> int:
        """Returns a number above those of all earlier connections."""
        ...

    def on_task_finished(self, link: "EntryLink", outcome: Outcome) -> None:
        """Handles the end of a task in the state that the outcome names."""

    def on_crash_reported(self, link: "EntryLink", report: CrashReport) -> None:
        """Handles a crash under a run of another entry."""

    def on_tasks_refused(self, link: "EntryLink", refs: list[TaskRef]) -> None:
        """Handles attempts that did not run and never will."""

    def on_tasks_lost(self, link: "EntryLink", refs: list[TaskRef]) -> None:
        """Handles attempts that may have run, with an unknown outcome."""

    def on_link_ready(self, link: "EntryLink") -> None:
        """Queues the link for `LinkLoop`; `lock` need not be held."""

    def on_credits_unused(self, link: "EntryLink") -> None:
        """Handles a recall of credits that no task has used."""

    def on_link_changed(self, link: "EntryLink") -> None:
        """Handles a change of the link's credits or state."""

    def demand_for(self, link: "EntryLink") -> Demand:
        """Returns the entry's demand for credits of this sidecar."""
        ...

    def backlog_for(self, link: "EntryLink") -> list[ClassLoad]:
        """Returns the waiting work of the link's service, for each link."""
        ...

    def unwanted_tasks(self, link: "EntryLink") -> list[TaskRef]:
        """Returns the outstanding attempts whose jobs have ended."""
        ...

    def count_wasted(self, kind: str, count: int = 1) -> None:
        """Counts messages that advanced no task."""

    def place_waiting(self) -> None:
        """Places waiting tasks; called after a batch of messages."""


class EntryLink:
    """A link with one incarnation of a sidecar.

    Args:
        owner: The entry.
        incarnation: The entry's incarnation.
        announce: The sidecar's announcement.
        timing: Timeouts and intervals of the link.
        clock: The clock.
        context: The ZeroMQ context.

    Attributes:
        state: Whether new tasks can be placed.
        account: The credits held.
        outstanding: Attempts placed whose outcome is not known yet, by job
            and index.
        placed_s: When each of them was placed; may still contain attempts
            that have ended.
        candidate: The upstream as placement sees it.
        epoch: Number of the current connection.
        frames_sent: Number of frames sent in this epoch, which is also the
            sequence number of the last one.
        to_acknowledge: Attempts whose outcome has arrived and is to be
            acknowledged with the next frame.
        silent_since_s: When the last frame arrived, or the connection was
            opened if that was later.
        last_received_s: When the last frame arrived.
        unanswered_since_s: When the oldest unanswered `Resume` was sent, or
            None if a frame has arrived since.
        is_leased: True if the tasks at the sidecar end with this entry's
            session there.
        echo_s: When the sidecar sent the latest frame that has arrived, on
            its clock.
        echo_received_s: When that frame arrived, on the entry's clock.
        lag: Measures how late frames of the sidecar are handled.
        load: What the sidecar has reported of the other entries' work.
        reporter: Decides when the entry's own work is reported.
        is_ready: True from `notify` until the link is served.
        leaves_at_s: When the upstream leaves at the earliest, on the entry's
            clock; None if it has not announced when.
        warmup: Time for which the upstream is still slow after its start.
    """

    def __init__(
        self,
        owner: LinkOwner,
        incarnation: Incarnation,
        announce: Announce,
        timing: LinkTiming,
        clock: Clock,
        context: zmq.Context,
    ):
        self.owner = owner
        self.incarnation = incarnation
        self.sidecar = announce.sidecar
        self.endpoint = announce.endpoint
        self.timing = timing
        self.clock = clock
        self.context = context
        self.state = LinkState.CONNECTING
        self.account = CreditAccount()
        self.outstanding: dict[tuple[JobId, int], TaskRef] = {}
        self.placed_s: dict[tuple[JobId, int], float] = {}
        self.is_leased = announce.is_leased
        self.candidate = Candidate(
            announce.sidecar,
            announce.service,
            announce.zone,
            announce.slots,
            announce.capacity,
        )
        self.epoch = 0
        self.frames_sent = 0
        self.fence = FrameFence()
        self.outbox: list[EntryMessage] = []
        self.to_acknowledge: list[TaskRef] = []
        self.last_demand = Demand(0, 0.0)
        self.silent_since_s = clock.monotonic()
        self.last_sent_s = 0.0
        self.last_received_s = clock.monotonic()
        self.unanswered_since_s: float | None = None
        self.echo_s = 0.0
        self.echo_received_s = clock.monotonic()
        self.lag = FrameLag()
        self.load = LinkLoad()
        self.reporter = LoadReporter()
        self.is_ready = False
        self.leaves_at_s: float | None = None
        self.warmup = Warmup()
        self.decoder = msgspec.msgpack.Decoder(SidecarFrame)
        self.encoder = msgspec.msgpack.Encoder()
        self.log = EventLog(
            "link",
            sidecar=format_incarnation(announce.sidecar),
            endpoint=announce.endpoint,
            zone=announce.zone,
        )

    # Called by the entry, with its lock held.

    def place(
        self,
        ref: TaskRef,
        remaining_s: float,
        payload: bytes,
        need: Resources | None = None,
        kind: str = "",
        expected_s: float = 0.0,
        priority: int = 0,
    ) -> None:
        """Queues the start of a task, and spends its credits."""
        units = self.candidate.units_needed(need)
        assert units is not None, "the task exceeds the upstream's capacity"
        if self.is_idle:
            # The sidecar sends frames more often from now on.
            self.silent_since_s = self.clock.monotonic()
        self.account.spend(units)
        self.candidate.observe_units(units)
        self.outstanding[ref.job, ref.index] = ref
        self.placed_s[ref.job, ref.index] = self.clock.monotonic()
        start = Start(ref, remaining_s, payload, need, units, kind, priority)
        start.expected_s = expected_s
        self.outbox.append(start)

    def cancel(self, refs: list[TaskRef]) -> None:
        """Queues one message that cancels started tasks."""
        self.outbox.append(Cancel(refs))

    def stop(self, refs: list[TaskRef]) -> None:
        """Queues a stop of started tasks; their outcomes are still reported."""
        self.outbox.append(Stop(refs))

    def prune_placed_times(self) -> None:
        """Drops the placement times of attempts that have ended."""
        if len(self.placed_s) > len(self.outstanding):
            self.placed_s = {
                key: placed_s
                for key, placed_s in self.placed_s.items()
                if key in self.outstanding
            }

    def close(self) -> None:
        """Ends the link.

        Its outstanding tasks are reported as lost: at once, or for a leased
        upstream when their session must have ended.
        """
        if self.state is LinkState.CLOSED:
            return
        self.state = LinkState.CLOSED
        self.account.reset()
        self.owner.on_link_changed(self)
        if not self.is_leased:
            self._report_tasks_lost()
        self.notify()

    def notify(self) -> None:
        """Queues the link for `LinkLoop`, unless it is queued already."""
        if not self.is_ready:
            self.is_ready = True
            self.owner.on_link_ready(self)

    # Called in the thread that serves links.

    @property
    def next_due_s(self) -> float:
        """When a frame is due even if none arrives, on the entry's clock."""
        return self.last_sent_s + self.timing.poll_timeout_s(self.is_idle)

    @property
    def is_idle(self) -> bool:
        """True if no task at the sidecar depends on frames of this link."""
        return not (self.outstanding or self.to_acknowledge)

    @property
    def rate(self) -> float:
        """Seconds of work that the upstream completes per second."""
        return (
            self.candidate.warm_share
            * self.candidate.concurrency
            / self.candidate.slowdown_
        )

    @property
    def awaits_frames(self) -> bool:
        """True if a task depends on the next frame of the sidecar."""
        return bool(self.outstanding or self.last_demand.count)

    def is_settled(self) -> bool:
        """Returns True if no task of a closed link can be running."""
        if not self.outstanding or self.owner.is_closed:
            return True
        if not self._are_tasks_lost(self.clock.monotonic()):
            return False
        with self.owner.lock:
            self._report_tasks_lost()
            self.owner.place_waiting()
        return True

    def open_epoch(self, socket: zmq.Socket) -> None:
        """Connects, and resumes the outstanding tasks in a new epoch."""
        socket.set(zmq.SNDHWM, 0)
        socket.set(zmq.RCVHWM, 0)
        # A reconnect by the library could lose frames undetected.
        socket.set(zmq.RECONNECT_IVL, -1)
        socket.connect(self.endpoint)
        with self.owner.lock:
            if self.state is not LinkState.CLOSED:
                self.state = LinkState.CONNECTING
            self.owner.link_usage.connections += 1
            self.epoch = self.owner.next_epoch()
            self.frames_sent = 0
            self.outbox.clear()
            self.to_acknowledge.clear()
            self.account.reset()
            self.last_demand = Demand(0, 0.0)
            self.load.reset()
            self.reporter.reset()
            self.silent_since_s = self.clock.monotonic()
            if self.unanswered_since_s is None:
                self.unanswered_since_s = self.silent_since_s
            tasks = list(self.outstanding.values())
            self.outbox.append(Resume(self.sidecar, tasks))
            self.owner.on_link_changed(self)
        self.log.info("link_open", epoch=self.epoch, tasks=len(tasks))

    def receive(self, socket: zmq.Socket) -> bool:
        """Handles received frames; returns False if any were lost or invalid.

        Tasks that can be placed as a result are left to the caller.
        """
        frames: list[SidecarFrame] = []
        while (parts := receive(socket)) is not None:
            data = parts[-1]
            self.owner.link_usage.frames_received += 1
            try:
                frames.append(self.decoder.decode(data))
            except DECODE_ERRORS as error:
                self.log.warning("frame_undecodable", reason=str(error))
                return False
        if not frames:
            return True
        with self.owner.lock:
            return all([self._handle_frame(frame) for frame in frames])

    def _handle_frame(self, frame: SidecarFrame) -> bool:
        """Handles a frame; returns False if frames before it were lost."""
        if frame.sender != self.sidecar:
            self.log.warning("sidecar_replaced", epoch=frame.epoch)
            self.close()
            return True
        if frame.epoch != self.epoch:
            return True
        status = self.fence.check(frame.epoch, frame.sequence)
        if status is FrameStatus.STALE:
            return True
        if status is FrameStatus.GAP:
            self.log.warning("frames_missing", epoch=self.epoch)
            return False
        self.silent_since_s = self.last_received_s = self.clock.monotonic()
        if frame.sent_s > self.echo_s:
            self.echo_s, self.echo_received_s = (
                frame.sent_s,
                self.silent_since_s,
            )
            self.lag.observe(self.echo_s, self.echo_received_s)
        self.unanswered_since_s = None
        self.load.observe(frame.load, self.silent_since_s)
        for message in frame.messages:
            if self.state is not LinkState.CLOSED:
                handle_message(message, self)
        return True

    def drop_not_run(self, refs: list[TaskRef]) -> None:
        """Removes attempts that did not run, and reports them to the owner."""
        current = [
            ref for ref in refs
            if self.outstanding.get((ref.job, ref.index)) == ref
        ]  # fmt: skip
        for ref in current:
            del self.outstanding[ref.job, ref.index]
        if current:
            self.owner.on_tasks_refused(self, current)

    def is_silent(self) -> bool:
        """Returns True on a silent connection; also reports lost tasks."""
        now_s = self.clock.monotonic()
        if self._are_tasks_lost(now_s):
            self._report_tasks_lost()
        silent_s = now_s - self.silent_since_s
        if silent_s <= self.timing.silence_limit_s(self.is_idle):
            return False
        self.log.warning("link_silent", epoch=self.epoch, silent_s=silent_s)
        return True

    def _are_tasks_lost(self, now_s: float) -> bool:
        if self.is_leased:
            # By then the session has ended, whether the entry, the sidecar or
            # the network failed.
            return now_s - self.echo_received_s > self.timing.lost_s
        # Silence counts only from an unanswered `Resume`: before that, the
        # entry itself may have been paused.
        if self.unanswered_since_s is None:
            return False
        waited_s = now_s - self.unanswered_since_s
        return waited_s > self.timing.lost_s - self.timing.silence_s

    def _report_tasks_lost(self) -> None:
        with self.owner.lock:
            lost = list(self.outstanding.values())
            self.outstanding.clear()
            if lost:
                self.log.error("tasks_lost", tasks=len(lost))
                self.owner.on_tasks_lost(self, lost)

    def flush(self, socket: zmq.Socket) -> bool:
        """Sends a frame if one is due; returns False on a broken connection."""
        now_s = self.clock.monotonic()
        with self.owner.lock:
            messages = self._collect_messages()
            due_s = self.timing.heartbeat_due_s(self.is_idle)
            if not messages and now_s - self.last_sent_s < due_s:
                return True
            if self.to_acknowledge:
                # Not urgent, so it waits for the next frame.
                messages.append(Acknowledge(self.to_acknowledge))
                self.to_acknowledge = []
            self.frames_sent += 1
            frame = EntryFrame(
                self.incarnation,
                self.epoch,
                self.frames_sent,
                messages,
                self.echo_s,
                self._report_backlog(now_s),
            )
            self.last_sent_s = now_s
            self.owner.link_usage.count_sent(has_messages=bool(messages))
        try:
            socket.send(self.encoder.encode(frame), _NOBLOCK)
        except zmq.Again:
            self.log.warning("link_broken", epoch=self.epoch)
            return False
        return True

    def _report_backlog(self, now_s: float) -> list[ClassLoad] | None:
        if not self.reporter.is_due(now_s):
            return None
        return self.reporter.report(self.owner.backlog_for(self), now_s)

    def _collect_messages(self) -> list[EntryMessage]:
        """Returns the messages that are to be sent at once."""
        messages, self.outbox = self.outbox, []
        if self.state is LinkState.UP:
            demand = self.owner.demand_for(self)
            idle = self.account.available
            if demand.count and idle:
                # Credits are still held, so they are too few for the next
                # task. Kept, they would leave the upstream's capacity unused.
                messages.append(CreditReturn(self.account.return_unused(idle)))
                self.owner.on_link_changed(self)
            has_demand_toggled = (demand.count > 0) != (
                self.last_demand.count > 0
            )
            # Any other change of the demand waits for the next frame.
            if has_demand_toggled or (messages and demand != self.last_demand):
                messages.append(demand)
                self.last_demand = demand
        return messages


@singledispatch
def handle_message(message, link: EntryLink) -> None:
    raise AssertionError(f"unexpected message {message!r}")


@handle_message.register
def _(message: Resumed, link: EntryLink) -> None:
    if not message.accepted:
        link.close()
        return
    link.state = LinkState.UP
    link.drop_not_run(message.not_run)
    unwanted = link.owner.unwanted_tasks(link)
    if unwanted:
        # The cancellation may have been lost with an earlier epoch.
        link.outbox.append(Cancel(unwanted))
    link.owner.on_link_changed(link)


@handle_message.register
def _(message: Outcome, link: EntryLink) -> None:
    ref = message.task
    if message.state is TaskState.NOT_RUN:
        link.drop_not_run([ref])
        return
    link.to_acknowledge.append(ref)
    if link.outstanding.get((ref.job, ref.index)) != ref:
        link.owner.count_wasted("outcome_repeated")
        return
    del link.outstanding[ref.job, ref.index]
    link.owner.on_task_finished(link, message)


@handle_message.register
def _(message: CrashReport, link: EntryLink) -> None:
    link.owner.on_crash_reported(link, message)


@handle_message.register
def _(message: Grant, link: EntryLink) -> None:
    link.account.grant(message.total)
    if link.state is LinkState.LEAVING:
        link.state = LinkState.UP
    link.owner.on_link_changed(link)


@handle_message.register
def _(message: Recall, link: EntryLink) -> None:
    idle = link.account.available
    if idle:
        link.owner.on_credits_unused(link)
    else:
        link.owner.count_wasted("recall_empty")
    total = link.account.return_unused(min(message.count, idle))
    link.outbox.append(CreditReturn(total))
    link.owner.on_link_changed(link)


@handle_message.register
def _(message: Leaving, link: EntryLink) -> None:
    link.state = LinkState.LEAVING
    total = link.account.return_unused(link.account.available)
    link.outbox.append(CreditReturn(total))
    link.owner.on_link_changed(link)
