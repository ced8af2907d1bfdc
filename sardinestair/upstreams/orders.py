"""Client interface of an upstream that starts, stops and leases runs.

A run is one attempt of a task at such an upstream.
"""

import enum
from collections.abc import Callable
from typing import Protocol

import msgspec
from expression import Result

from sardinestair.messages import TaskRef

__all__ = [
    "EndKind",
    "Refusal",
    "RequestError",
    "RunClient",
    "RunEnd",
    "RunId",
    "RunReport",
    "RunState",
    "StartReply",
]


class RunId(msgspec.Struct, frozen=True):
    """Identifies one run of a task at an upstream.

    Attributes:
        job: The job's id in the upstream's format.
        index: Position of the task in the job.
        attempt: Number of the attempt; later attempts have higher numbers.
    """

    job: str
    index: int
    attempt: int


class EndKind(enum.Enum):
    """How a run ended.

    STOPPED is the result of a stop request, LAPSED of an expired lease. CRASHED
    stands for the end of the upstream's process. OTHER stands for any other
    end, and for a run that the upstream doesn't list because it never began.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    CRASHED = "crashed"
    OTHER = "other"


class Refusal(enum.Enum):
    """Why an upstream rejected a start; the run has not begun."""

    OLD_RUN = "old run"
    TOO_LATE = "too late"
    NO_ROOM = "no room"
    FENCED = "fenced"
    UNHEALTHY = "unhealthy"
    OTHER_INCARNATION = "other incarnation"
    INVALID = "invalid"


class RunState(msgspec.Struct, frozen=True):
    """Progress of an active run.

    Attributes:
        run: Identifies the run.
        percent: Share of its work that is done, 0 to 100.
    """

    run: RunId
    percent: int


class RunEnd(msgspec.Struct, frozen=True):
    """The end of a run, reported until it is acknowledged.

    Attributes:
        sequence: Sequence number of the end within this incarnation of the
            upstream, from 1.
        run: Identifies the run.
        how: How it ended.
    """

    sequence: int
    run: RunId
    how: EndKind


class RunReport(msgspec.Struct, frozen=True):
    """Status of all runs at an upstream.

    Attributes:
        clock_s: The upstream's monotonic clock, in seconds.
        incarnation_ms: Start time of the upstream's incarnation in
            milliseconds, which identifies it; 0 if unknown.
        active: The active runs.
        ends: Unacknowledged ends; those that don't fit follow in later
            reports.
    """

    clock_s: float
    incarnation_ms: int
    active: list[RunState]
    ends: list[RunEnd]


class StartReply(msgspec.Struct, frozen=True):
    """Reply to a start request.

    Attributes:
        refusal: Why the start was rejected, or None if the run is active.
    """

    refusal: Refusal | None = None


class RequestError(msgspec.Struct, frozen=True):
    """A request that got no valid reply.

    Attributes:
        reason: Description of the error.
        may_have_executed: True if the upstream may have executed the request,
            or may still execute it.
        is_withdrawn: True if the request was withdrawn before it was sent.
        is_refused: True if no process listens at the upstream's address.
    """

    reason: str
    may_have_executed: bool
    is_withdrawn: bool = False
    is_refused: bool = False


class RunClient(Protocol):
    """Client of one upstream; absolute times are on its monotonic clock."""

    async def start(
        self,
        run: RunId,
        payload: bytes,
        until_s: float,
        timeout_s: float,
        may_send: Callable[[], bool],
    ) -> Result[StartReply, RequestError]:
        """Starts a run.

        Args:
            run: Identifies the run.
            payload: The task's payload.
            until_s: Latest time at which the run may start. The start also
                renews the lease of all runs to this time.
            timeout_s: Longest time for the whole call, in seconds.
            may_send: Called immediately before the request is sent, which may
                have waited for a connection; returns False to withdraw it.
        """
        ...

    async def stop(
        self, run: RunId, timeout_s: float
    ) -> Result[None, RequestError]:
        """Stops a run.

        Once a stop has been answered, the upstream rejects a start of the
        same run that arrives late.
        """
        ...

    async def report(
        self,
        until_s: float | None,
        acknowledged: int,
        wait_s: float,
        timeout_s: float,
    ) -> Result[RunReport, RequestError]:
        """Renews the lease of all runs, and waits for a run to end.

        Args:
            until_s: When the lease ends, or None to leave it unchanged. It is
                never shortened.
            acknowledged: The upstream may forget ends up to this sequence
                number.
            wait_s: Longest wait for an end, in seconds.
            timeout_s: Longest time for the whole call, in seconds.
        """
        ...

    def run_id(self, ref: TaskRef) -> RunId:
        """Returns the upstream's identifier for an attempt."""
        ...
