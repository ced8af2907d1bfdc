"""Admission control: refuses jobs that could not be answered in time."""

import msgspec
from expression import Error, Ok, Result

from sardinestair.outcomes import Problem, ProblemKind

__all__ = ["MIN_RETRY_AFTER_S", "AdmissionControl", "ServiceLoad"]

MIN_RETRY_AFTER_S = 0.1
# Fraction of the time allowed that the predicted response may take. The rest is
# a margin for errors, since an admitted job that misses its deadline has wasted
# its slots.
MAX_DEADLINE_SHARE = 0.7


class ServiceLoad(msgspec.Struct, frozen=True):
    """Load of a service, as used by admission control.

    Attributes:
        queued_tasks: Number of waiting tasks.
        queued_bytes: Size of their payloads in bytes.
        expected_response_s: Predicted response time of the new job in seconds;
            infinite if there is no upstream.
    """

    queued_tasks: int
    queued_bytes: int
    expected_response_s: float


class AdmissionControl:
    """Decides whether a job is admitted.

    Args:
        max_queued_tasks: Maximum number of waiting tasks of the service.
        max_queued_bytes: Maximum size of their payloads in bytes.

    Examples:
        >>> admission = AdmissionControl(
        ...     max_queued_tasks=10, max_queued_bytes=1000
        ... )
        >>> load = ServiceLoad(
        ...     queued_tasks=9, queued_bytes=0, expected_response_s=0.0
        ... )
        >>> admission.admit(load, 1, payload_bytes=10, deadline_s=1.0).is_ok()
        True
        >>> admission.admit(load, 2, payload_bytes=10, deadline_s=1.0).is_ok()
        False
    """

    def __init__(self, max_queued_tasks: int, max_queued_bytes: int):
        self.max_queued_tasks = max_queued_tasks
        self.max_queued_bytes = max_queued_bytes

    def admit(
        self,
        load: ServiceLoad,
        tasks: int,
        payload_bytes: int,
        deadline_s: float,
    ) -> Result[None, Problem]:
        """Decides whether one job is admitted.

        Args:
            load: Current load of the service.
            tasks: Number of tasks of the job.
            payload_bytes: Size of its payloads in bytes.
            deadline_s: Time within which an answer is useful, in seconds.

        Returns:
            Ok, or the problem that the caller receives.
        """
        if load.queued_tasks + tasks > self.max_queued_tasks:
            return self._refuse(
                "the queue is full: too many waiting tasks", load
            )
        if load.queued_bytes + payload_bytes > self.max_queued_bytes:
            return self._refuse(
                "the queue is full: too many bytes of payloads", load
            )
        if load.expected_response_s > MAX_DEADLINE_SHARE * deadline_s:
            return self._refuse(
                f"the predicted time of {load.expected_response_s:.1f} s is "
                f"too long for the deadline of {deadline_s:.1f} s",
                load,
            )
        return Ok(None)

    def _refuse(self, detail: str, load: ServiceLoad) -> Result[None, Problem]:
        response_s = load.expected_response_s
        retry_after_s = min(max(response_s / 2, MIN_RETRY_AFTER_S), 60.0)
        return Error(
            Problem(
                ProblemKind.OVERLOADED,
                detail,
                not_run=True,
                retry_after_s=round(retry_after_s, 1),
            )
        )
