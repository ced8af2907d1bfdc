"""Estimate of the run time of one job's tasks."""

__all__ = ["JobRunTimeEstimator"]


class JobRunTimeEstimator:
    """Estimates the run time of one job's tasks on a typical upstream.

    Args:
        prior_s: Estimate before any task of the job has ended, in seconds.
        prior_weight: Number of observed tasks that the prior counts for.
        reference_s: Estimate that stays the same while tasks of the job end,
            in seconds; the prior if None.

    Attributes:
        mean_s_: Current estimate in seconds.

    Examples:
        >>> estimate = JobRunTimeEstimator(prior_s=1.0, prior_weight=1)
        >>> estimate.observe(3.0)
        >>> estimate.mean_s_
        2.0
    """

    def __init__(
        self,
        prior_s: float,
        prior_weight: float = 2.0,
        reference_s: float | None = None,
    ):
        self.prior_s = prior_s
        self.reference_s = prior_s if reference_s is None else reference_s
        self.prior_weight = prior_weight
        self.count = 0
        self.total_s = 0.0
        self.mean_s_ = prior_s

    def observe(self, run_s: float) -> None:
        """Adds the run time of a completed task.

        Args:
            run_s: Run time in seconds, divided by the upstream's `slowdown_`.
        """
        self.count += 1
        self.total_s += run_s
        weight = self.prior_weight + self.count
        self.mean_s_ = (
            self.prior_s * self.prior_weight + self.total_s
        ) / weight
