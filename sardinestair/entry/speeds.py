"""The speeds of upstreams, as an entry estimates them.

With `shared_speeds`, an estimate starts from what the sidecar has announced
about the runs of all entries, and the entry's own tasks correct it until the
next announcement.
"""

import math

from sardinestair.ids import Incarnation
from sardinestair.jobs import Job
from sardinestair.jobs.work import JobRunTimeEstimator
from sardinestair.messages import UpstreamStatus
from sardinestair.placement import (
    Candidate,
    RunTimeEstimator,
    SlowdownEstimator,
)
from sardinestair.placement.objective import remoteness

__all__ = ["UpstreamSpeeds"]

# Runs that an announcement must rest on to replace the entry's own estimate.
MIN_SAMPLES = 4
# Age at which the observations of a sidecar count half.
HALF_LIFE_S = 10.0
# Logarithm of the greatest ratio that one run of an entry counts for, relative
# to the estimate, so that a single one is not taken for a change, and the
# greatest ratio for the run time of its kind: runs that take far longer say
# little about the upstream and about other runs.
MAX_DEVIATION = 1.8
MAX_RUN_RATIO = 2.5


class UpstreamSpeeds:
    """Estimates of the speed of the upstreams of one service.

    Args:
        is_shared: Value of the setting `shared_speeds`.
        remote_factor: Value of the setting `remote_factor`.

    Attributes:
        estimators_: The estimates by sidecar.
    """

    def __init__(self, is_shared: bool, remote_factor: float = 1.0):
        self.is_shared = is_shared
        self.remote_factor = remote_factor
        self.estimators_: dict[Incarnation, SlowdownEstimator] = {}

    def remove(self, sidecar: Incarnation) -> None:
        """Forgets an upstream."""
        self.estimators_.pop(sidecar, None)

    def adopt(
        self, candidate: Candidate, status: UpstreamStatus | None
    ) -> None:
        """Adopts what a sidecar has announced about its upstream."""
        if not self.is_shared or status is None:
            return
        samples = sum(found.samples for found in status.slowdowns)
        if samples < MIN_SAMPLES:
            return
        log_ratio = (
            sum(
                found.samples * math.log(max(found.slowdown, 1e-3))
                for found in status.slowdowns
            )
            / samples
        )
        weight = samples * 0.5 ** (status.observed_ago_s / HALF_LIFE_S)
        estimator = self._estimator(candidate)
        estimator.adopt(log_ratio, weight)
        candidate.slowdown_ = estimator.factor_

    def observe_run(
        self, candidate: Candidate, job: Job, run_s: float
    ) -> float:
        """Adds the run time of a completed task.

        Returns:
            The run time on a typical upstream, in seconds.
        """
        run_s /= remoteness(candidate, job.rack, self.remote_factor)
        estimator = self._estimator(candidate)
        estimator.observe(run_s, self._typical_s(job))
        candidate.slowdown_ = estimator.factor_
        typical_s = run_s / estimator.factor_
        if not self.is_shared:
            return typical_s
        return min(typical_s, MAX_RUN_RATIO * job.run_time.reference_s)

    def observe_overdue(
        self, candidate: Candidate, job: Job, age_s: float
    ) -> None:
        """Adds the age of a task that is overdue."""
        estimator = self._estimator(candidate)
        remote = remoteness(candidate, job.rack, self.remote_factor)
        estimator.observe(age_s / remote, self._typical_s(job))
        candidate.slowdown_ = estimator.factor_

    def estimate_job(
        self, run_times: RunTimeEstimator, declared_s: float | None
    ) -> JobRunTimeEstimator:
        """Returns the estimate of the run time of a new job's tasks.

        The reference for speeds is the geometric mean of the expected and the
        declared time. The declared one is the same at all entries, so that
        their estimates don't drift apart.
        """
        prior_s = run_times.predict(declared_s)
        if not self.is_shared or declared_s is None:
            return JobRunTimeEstimator(prior_s)
        if run_times.count_ == 0:
            return JobRunTimeEstimator(prior_s, reference_s=declared_s)
        reference_s = math.sqrt(run_times.mean_s_ * declared_s)
        return JobRunTimeEstimator(prior_s, reference_s=reference_s)

    def announced_run_s(self, candidate: Candidate, job: Job) -> float:
        """Returns the run time that a start names; 0 unless shared.

        It is the one expected of a typical upstream in the place of the
        candidate.
        """
        if not self.is_shared:
            return 0.0
        remote = remoteness(candidate, job.rack, self.remote_factor)
        return job.run_time.reference_s * remote

    def expected_run_s(self, candidate: Candidate, job: Job) -> float:
        """Returns the expected run time of a job's tasks on an upstream."""
        remote = remoteness(candidate, job.rack, self.remote_factor)
        return self._typical_s(job) * remote * candidate.slowdown_

    def _typical_s(self, job: Job) -> float:
        run_time = job.run_time
        return run_time.reference_s if self.is_shared else run_time.mean_s_

    def _estimator(self, candidate: Candidate) -> SlowdownEstimator:
        estimator = self.estimators_.get(candidate.sidecar)
        if estimator is None:
            limit = MAX_DEVIATION if self.is_shared else math.inf
            estimator = SlowdownEstimator(max_deviation=limit)
            self.estimators_[candidate.sidecar] = estimator
        return estimator
