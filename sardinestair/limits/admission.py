"""Admission: refuses work early that could not be answered in time."""

import msgspec
from expression import Error, Ok, Result

from sardinestair.outcomes import Problem, ProblemKind

__all__ = ["MIN_RETRY_AFTER_S", "Admission", "Load"]

MIN_RETRY_AFTER_S = 0.1
# A job that is let in and then misses its deadline has wasted its slots.
DEADLINE_SHARE = 0.7


class Load(msgspec.Struct, frozen=True):
    """The state of a service's queue that admission looks at.

    Attributes:
        queued_tasks: Tasks that wait.
        queued_bytes: Their payloads in bytes.
        expected_wait_s: Predicted time until the new job ends, in seconds;
            infinite if there is no upstream.
    """

    queued_tasks: int
    queued_bytes: int
    expected_wait_s: float


class Admission:
    """Decides whether a job is let in.

    Args:
        max_queued_tasks: Bound on the waiting tasks of the service.
        max_queued_bytes: Bound on their payloads in bytes.

    Examples:
        >>> admission = Admission(max_queued_tasks=10, max_queued_bytes=1000)
        >>> load = Load(queued_tasks=9, queued_bytes=0, expected_wait_s=0.0)
        >>> admission.decide(load, tasks=1, size=10, deadline_s=1.0).is_ok()
        True
        >>> admission.decide(load, tasks=2, size=10, deadline_s=1.0).is_ok()
        False
    """

    def __init__(self, max_queued_tasks: int, max_queued_bytes: int):
        self.max_queued_tasks = max_queued_tasks
        self.max_queued_bytes = max_queued_bytes

    def decide(
        self, load: Load, tasks: int, size: int, deadline_s: float
    ) -> Result[None, Problem]:
        """Decides on one job.

        Args:
            load: The state of the queue.
            tasks: Tasks of the job.
            size: Bytes of its payloads.
            deadline_s: Time for which an answer is of use, in seconds.

        Returns:
            Ok, or the problem with which the job is refused.
        """
        if load.queued_tasks + tasks > self.max_queued_tasks:
            return self._refuse("the queue is full by count", load)
        if load.queued_bytes + size > self.max_queued_bytes:
            return self._refuse("the queue is full by bytes", load)
        if load.expected_wait_s > DEADLINE_SHARE * deadline_s:
            return self._refuse(
                f"the predicted time of {load.expected_wait_s:.1f} s is too "
                f"long for the deadline of {deadline_s:.1f} s",
                load,
            )
        return Ok(None)

    def _refuse(self, detail: str, load: Load) -> Result[None, Problem]:
        wait_s = load.expected_wait_s
        retry_after_s = min(max(wait_s / 2, MIN_RETRY_AFTER_S), 60.0)
        return Error(
            Problem(
                ProblemKind.OVERLOADED,
                detail,
                not_run=True,
                retry_after_s=round(retry_after_s, 1),
            )
        )
