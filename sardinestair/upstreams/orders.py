"""What a sidecar asks of an upstream that is told to start and stop tasks."""

import enum
from typing import Protocol

import msgspec
from expression import Result

from sardinestair.messages import TaskRef

__all__ = [
    "EndKind",
    "OrderError",
    "Orders",
    "Refusal",
    "RunEnd",
    "RunName",
    "RunReport",
    "RunState",
    "StartReply",
]


class RunName(msgspec.Struct, frozen=True):
    """Names one run of a task at an upstream.

    Attributes:
        job: The job as the upstream writes it.
        index: Position of the task in the job.
        number: Number of the run; a higher one is later.
    """

    job: str
    index: int
    number: int


class EndKind(enum.Enum):
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    OTHER = "other"


class Refusal(enum.Enum):
    """Why an upstream did not take a start; it has not begun."""

    OLD_RUN = "old run"
    TOO_LATE = "too late"
    NO_ROOM = "no room"
    FENCED = "fenced"
    UNHEALTHY = "unhealthy"
    OTHER_INCARNATION = "other incarnation"
    INVALID = "invalid"


class RunState(msgspec.Struct, frozen=True):
    """A run that is active.

    Attributes:
        run: The run.
        percent: Share of its work that is done, 0 to 100.
    """

    run: RunName
    percent: int


class RunEnd(msgspec.Struct, frozen=True):
    """The end of a run, listed until it is acknowledged.

    Attributes:
        sequence: Number of the end in this life of the upstream, from 1.
        run: The run.
        how: How it ended.
    """

    sequence: int
    run: RunName
    how: EndKind


class RunReport(msgspec.Struct, frozen=True):
    """What an upstream says of its runs.

    Attributes:
        clock_s: The upstream's steady clock, in seconds.
        born_ms: When this life of the upstream began, 0 if it was not said.
        active: The active runs.
        ends: The ends that have not been acknowledged, as far as they fit.
    """

    clock_s: float
    born_ms: int
    active: list[RunState]
    ends: list[RunEnd]


class StartReply(msgspec.Struct, frozen=True):
    """The answer to a start.

    Attributes:
        refusal: Why it was not taken, or None if the run is there.
    """

    refusal: Refusal | None = None


class OrderError(msgspec.Struct, frozen=True):
    """An order without an answer.

    Attributes:
        reason: What went wrong.
        may_be_done: True if the order may have been carried out, or may yet.
    """

    reason: str
    may_be_done: bool


class Orders(Protocol):
    """The orders that one upstream takes; times are on its steady clock."""

    def start(
        self, run: RunName, payload: bytes, until_s: float, timeout_s: float
    ) -> Result[StartReply, OrderError]:
        """Starts a run, no later than `until_s`."""
        ...

    def stop(self, run: RunName, timeout_s: float) -> Result[None, OrderError]:
        """Stops a run; one that is not there yet will be refused."""
        ...

    def report(
        self,
        until_s: float | None,
        acknowledged: int,
        wait_s: float,
        timeout_s: float,
    ) -> Result[RunReport, OrderError]:
        """Renews the lease of all runs, and waits for an end.

        Args:
            until_s: When the lease ends, or None to leave it as it is.
            acknowledged: Ends up to this number may be forgotten.
            wait_s: Longest wait for an end.
            timeout_s: Longest time for the whole call.
        """
        ...

    def name_of(self, ref: TaskRef) -> RunName:
        """Returns the name under which the upstream knows an attempt."""
        ...
