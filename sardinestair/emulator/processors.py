"""Emulated entries whose processor time is limited."""

import random
from collections.abc import Callable

import msgspec

from sardinestair.clock import Clock
from sardinestair.emulator.system import Connection, EmulatedSystem
from sardinestair.emulator.workload import EmulatedJob
from sardinestair.entry.dispatcher import Dispatcher
from sardinestair.jobs import Job
from sardinestair.limits.self_load import EntryDelay
from sardinestair.messages import EntryFrame, SidecarFrame
from sardinestair.outcomes import Problem

__all__ = ["MessageCosts", "Processor", "TimedSystem"]

OBSERVATION_INTERVAL_S = 0.05
# How often a caller submits a job that is refused.
MAX_SUBMISSIONS = 4


class MessageCosts(msgspec.Struct, frozen=True):
    """Processor time that an entry needs, in seconds on one core.

    Attributes:
        request_s: To read a job's request and decide about it.
        answer_s: To write its answer.
        frame_s: To send or receive a frame.
        message_s: To encode or handle a message in it.
    """

    request_s: float
    answer_s: float
    frame_s: float
    message_s: float


class Processor:
    """Does the work of one entry in the order in which it comes.

    Args:
        cores: Its share of a processor, in cores.
        costs: What the work takes.
        clock: The emulated clock.

    Attributes:
        free_s: When all work that has come so far is done.

    Examples:
        >>> from sardinestair.clock import ManualClock
        >>> costs = MessageCosts(0.1, 0.1, 0.0, 0.0)
        >>> processor = Processor(0.5, costs, ManualClock())
        >>> processor.add(0.1), processor.add(0.1)
        (0.2, 0.4)
    """

    def __init__(self, cores: float, costs: MessageCosts, clock: Clock):
        self.cores = cores
        self.costs = costs
        self.clock = clock
        self.free_s = clock.monotonic()

    @property
    def delay_s(self) -> float:
        """Time until work that comes now is begun, in seconds."""
        return max(0.0, self.free_s - self.clock.monotonic())

    def add(self, cost_s: float) -> float:
        """Adds work; returns the time until it is done, in seconds."""
        done_in_s = self.delay_s + cost_s / self.cores
        self.free_s = self.clock.monotonic() + done_in_s
        return done_in_s

    def add_frame(self, messages: int) -> float:
        """Adds a frame with messages; returns the time until it is done."""
        return self.add(self.costs.frame_s + messages * self.costs.message_s)


class TimedSystem(EmulatedSystem):
    """An emulated system whose entries take time for requests and messages.

    A caller that is refused submits the job to another entry, after the time
    that the refusal names.

    Attributes:
        processors: That of each entry; without one, an entry takes no time.
        submissions: How often each job was submitted, by arrival time.
    """

    # Set before the base class connects the entries.
    processors: dict[Dispatcher, Processor] = {}
    submissions: dict[float, int] = {}

    def limit_processors(
        self, cores: tuple[float, ...], costs: MessageCosts, counts_delay: bool
    ) -> None:
        """Limits the processor time of the entries.

        Args:
            cores: The share of each entry, in cores.
            costs: What its work takes.
            counts_delay: Whether entries count their own delay.
        """
        self.draw = random.Random(0)
        self.submissions = {}
        self.processors = {
            dispatcher: Processor(share, costs, self.clock)
            for dispatcher, share in zip(self.dispatchers, cores, strict=True)
        }
        if counts_delay:
            for dispatcher in self.dispatchers:
                dispatcher.admission_controller.entry_delay = EntryDelay()
                self._schedule_timer(dispatcher)

    def _schedule_timer(self, dispatcher: Dispatcher) -> None:
        """Lets an entry observe periodically how late its timers are."""
        entry_delay = dispatcher.admission_controller.entry_delay
        assert entry_delay is not None

        def expire() -> None:
            delay_s = self.processors[dispatcher].delay_s
            self.schedule(delay_s, lambda: observe(delay_s))

        def observe(delay_s: float) -> None:
            entry_delay.observe(delay_s, self.clock.monotonic())
            self.schedule(OBSERVATION_INTERVAL_S, expire)

        self.schedule(OBSERVATION_INTERVAL_S, expire)

    def make_arrival(
        self, dispatcher: Dispatcher, emulated: EmulatedJob
    ) -> Callable[[], None]:
        """Returns the event that brings a job to an entry."""
        submit = super().make_arrival(dispatcher, emulated)
        processor = self.processors.get(dispatcher)
        if processor is None:
            return submit
        return lambda: self.schedule(
            processor.add(processor.costs.request_s), submit
        )

    def refuse(
        self, dispatcher: Dispatcher, emulated: EmulatedJob, problem: Problem
    ) -> None:
        """Lets the caller submit to another entry, or give up."""
        count = self.submissions.get(emulated.arrival_s, 1)
        if count == MAX_SUBMISSIONS or problem.retry_after_s is None:
            super().refuse(dispatcher, emulated, problem)
            return
        self.submissions[emulated.arrival_s] = count + 1
        others = [
            entry for entry in self.dispatchers if entry is not dispatcher
        ]
        following = self.draw.choice(others)
        self.schedule(
            problem.retry_after_s, self.make_arrival(following, emulated)
        )

    def record(
        self, dispatcher: Dispatcher, emulated: EmulatedJob, job: Job
    ) -> None:
        """Records an answer once it has been written."""
        processor = self.processors.get(dispatcher)
        if processor is None:
            super().record(dispatcher, emulated, job)
            return
        written_in_s = processor.add(processor.costs.answer_s)
        record = super().record
        self.schedule(written_in_s, lambda: record(dispatcher, emulated, job))

    def response_s(self, emulated: EmulatedJob, job: Job) -> float:
        """Returns the time since the caller's first submission."""
        if not self.processors:
            return super().response_s(emulated, job)
        return self.clock.monotonic() - self.start_s - emulated.arrival_s

    def deliver_to_sidecar(
        self, connection: Connection, frame: EntryFrame
    ) -> None:
        """Delivers a frame once the entry has encoded it."""
        self._deliver_later(
            connection,
            len(frame.messages),
            lambda: EmulatedSystem.deliver_to_sidecar(self, connection, frame),
        )

    def deliver_to_entry(self, connection: Connection, data: bytes) -> None:
        """Delivers a frame once the entry has come to read it."""
        frame = msgspec.msgpack.decode(data, type=SidecarFrame)
        self._deliver_later(
            connection,
            len(frame.messages),
            lambda: EmulatedSystem.deliver_to_entry(self, connection, data),
        )

    def _deliver_later(
        self,
        connection: Connection,
        messages: int,
        deliver: Callable[[], None],
    ) -> None:
        processor = self.processors.get(connection.entry)
        if processor is None:
            deliver()
            return
        self.schedule(processor.add_frame(messages), deliver)
