"""Outlier detection: ejects upstreams that fail jobs.

A failed task can be the fault of the upstream or of the job. A kind of job
that has failed on several upstreams without a success in between is considered
broken, and its failures do not count against upstreams. Otherwise, an upstream
that fails several jobs in a row, or a large part of its jobs and far more than
the others, is ejected: it receives no tasks for a time. After that it receives
a single trial task, since each trial can fail a job.
"""

import enum
from collections import deque

import msgspec

from sardinestair.ids import Incarnation, JobId

__all__ = ["HealthRegistry", "HealthState", "UpstreamHealth"]

MAX_UNPROVEN_OUTSTANDING = 2
UNPROVEN_EJECTION_THRESHOLD = 2
PROVEN_EJECTION_THRESHOLD = 3
BROKEN_KIND_MIN_UPSTREAMS = 2
# Latest results of an upstream that are kept. It is ejected if this share of
# them failed, and this many times the share of the other upstreams.
RESULTS = 10
MAX_FAILED_SHARE = 0.4
MIN_FAILED_RATIO = 3.0
FIRST_EJECTION_S = 5.0
MAX_EJECTION_S = 300.0


class HealthState(enum.Enum):
    """State of an upstream.

    An upstream is `UNPROVEN` until its first success and `PROVEN` after it.
    While it is `EJECTED`, it receives no tasks. It is then on `TRIAL`, and
    receives one task at a time, until the next success or failure.
    """

    UNPROVEN = "unproven"
    PROVEN = "proven"
    EJECTED = "out"
    TRIAL = "trial"


# Tasks in flight that an upstream of a state may have.
_OUTSTANDING_LIMITS = {
    HealthState.UNPROVEN: MAX_UNPROVEN_OUTSTANDING,
    HealthState.EJECTED: 0,
    HealthState.TRIAL: 1,
}


class TaskResult(msgspec.Struct, frozen=True):
    """The result of a task.

    Attributes:
        job_id: Its job.
        kind: Kind of the job.
        succeeded: True if the task was answered.
    """

    job_id: JobId
    kind: str
    succeeded: bool


class UpstreamHealth:
    """Health of one upstream, learned from the results of its tasks.

    Attributes:
        state_: Current state.
        failed_jobs_: Jobs that failed since the last success, with their kind.
        results_: Its latest results.
        ejections_: Number of ejections since it was last `PROVEN`.
        ejected_until_s_: End of the latest ejection, on the entry's clock.
    """

    def __init__(self) -> None:
        self.state_ = HealthState.UNPROVEN
        self.failed_jobs_: dict[JobId, str] = {}
        self.results_: deque[TaskResult] = deque(maxlen=RESULTS)
        self.ejections_ = 0
        self.ejected_until_s_ = 0.0

    def allows_start(self, outstanding: int, now_s: float) -> bool:
        """Returns True if one more task may be sent to the upstream.

        Args:
            outstanding: Number of tasks in flight from this entry.
            now_s: Current time in seconds.
        """
        if (
            self.state_ is HealthState.EJECTED
            and now_s >= self.ejected_until_s_
        ):
            self.state_ = HealthState.TRIAL
        limit = _OUTSTANDING_LIMITS.get(self.state_)
        return limit is None or outstanding < limit

    def record_success(self) -> None:
        """Records a task that succeeded."""
        self.failed_jobs_.clear()
        if self.state_ is not HealthState.EJECTED:
            self.state_ = HealthState.PROVEN
            self.ejections_ = 0

    def eject(self, now_s: float) -> None:
        """Ejects the upstream for a time that doubles with each ejection."""
        ejection_s = FIRST_EJECTION_S * 2**self.ejections_
        self.state_ = HealthState.EJECTED
        self.ejections_ += 1
        self.ejected_until_s_ = now_s + min(ejection_s, MAX_EJECTION_S)
        self.failed_jobs_.clear()
        self.results_.clear()

    @property
    def failures(self) -> int:
        """Number of jobs that failed among the latest results."""
        failed = (r.job_id for r in self.results_ if not r.succeeded)
        return len(set(failed))

    @property
    def ejection_threshold(self) -> int:
        """Number of consecutive failed jobs that ejects the upstream."""
        limits = {
            HealthState.PROVEN: PROVEN_EJECTION_THRESHOLD,
            HealthState.TRIAL: 1,
        }
        return limits.get(self.state_, UNPROVEN_EJECTION_THRESHOLD)


class HealthRegistry:
    """Health of the upstreams of one service.

    Args:
        max_ejected_share: Maximum fraction of the upstreams that are ejected
            at a time (setting `max_outage_share`). If most of them fail, the
            cause is probably elsewhere.

    Attributes:
        upstreams_: Health by sidecar.
        failed_on_: For each kind of job, the sidecars of the upstreams on which
            it has failed since its last success.

    Examples:
        >>> registry = HealthRegistry(max_ejected_share=0.5)
        >>> bad, good = Incarnation(b"b" * 16), Incarnation(b"g" * 16)
        >>> registry.record_result(good, JobId(b"0" * 16), "usual", True, 0.0)
        False
        >>> for job in (b"1" * 16, b"2" * 16):
        ...     out = registry.record_result(
        ...         bad, JobId(job), "usual", False, 0.0
        ...     )
        >>> out
        True
        >>> registry.allows_start(bad, outstanding=0, now_s=1.0)
        False
    """

    def __init__(self, max_ejected_share: float):
        self.max_ejected_share = max_ejected_share
        self.upstreams_: dict[Incarnation, UpstreamHealth] = {}
        self.failed_on_: dict[str, set[Incarnation]] = {}

    def allows_start(
        self, sidecar: Incarnation, outstanding: int, now_s: float
    ) -> bool:
        """Returns True if one more task may be sent to an upstream."""
        return self._health_of(sidecar).allows_start(outstanding, now_s)

    def record_result(
        self,
        sidecar: Incarnation,
        job_id: JobId,
        kind: str,
        succeeded: bool,
        now_s: float,
    ) -> bool:
        """Records the result of a task.

        Args:
            sidecar: Sidecar of the upstream.
            job_id: Id of the task's job.
            kind: Kind of the job.
            succeeded: True if the task was answered.
            now_s: Current time in seconds.

        Returns:
            True if this result ejected the upstream.
        """
        health = self._health_of(sidecar)
        health.results_.append(TaskResult(job_id, kind, succeeded))
        if succeeded:
            health.record_success()
            self.failed_on_.pop(kind, None)
            return False
        self.failed_on_.setdefault(kind, set()).add(sidecar)
        if self.is_kind_broken(kind):
            self._clear_failures(kind)
            return False
        health.failed_jobs_[job_id] = kind
        is_failing = len(health.failed_jobs_) >= health.ejection_threshold
        if not (is_failing or self._fails_far_more(health)):
            return False
        return self._try_eject(health, now_s)

    def remove(self, sidecar: Incarnation) -> None:
        """Removes an upstream."""
        self.upstreams_.pop(sidecar, None)
        for failed_on in self.failed_on_.values():
            failed_on.discard(sidecar)

    def is_kind_broken(self, kind: str) -> bool:
        """Returns True if a kind of job fails on different upstreams."""
        failed_on = self.failed_on_.get(kind, set())
        # An upstream that is ejected or on trial is likely to fail every kind,
        # so its failures do not count.
        counted = [
            sidecar
            for sidecar in failed_on
            if self._health_of(sidecar).state_
            in (HealthState.PROVEN, HealthState.UNPROVEN)
        ]
        return len(counted) >= BROKEN_KIND_MIN_UPSTREAMS

    def count_ejected(self) -> int:
        """Returns the number of ejected upstreams."""
        return sum(
            health.state_ is HealthState.EJECTED
            for health in self.upstreams_.values()
        )

    def _health_of(self, sidecar: Incarnation) -> UpstreamHealth:
        return self.upstreams_.setdefault(sidecar, UpstreamHealth())

    def _clear_failures(self, kind: str) -> None:
        """Removes the failures of a broken kind from all upstreams."""
        for health in self.upstreams_.values():
            health.failed_jobs_ = {
                job: k for job, k in health.failed_jobs_.items() if k != kind
            }
            health.results_ = deque(
                (r for r in health.results_ if r.succeeded or r.kind != kind),
                RESULTS,
            )

    def _fails_far_more(self, health: UpstreamHealth) -> bool:
        """Returns True if an upstream fails far more jobs than the others."""
        failures = health.failures
        if failures < MAX_FAILED_SHARE * RESULTS:
            return False
        others = [h for h in self.upstreams_.values() if h is not health]
        results = sum(len(other.results_) for other in others)
        failed = sum(other.failures for other in others)
        share = failures / RESULTS
        return share * results >= MIN_FAILED_RATIO * failed

    def _try_eject(self, health: UpstreamHealth, now_s: float) -> bool:
        limit = self.max_ejected_share * len(self.upstreams_)
        if self.count_ejected() + 1 > limit:
            return False
        health.eject(now_s)
        return True
