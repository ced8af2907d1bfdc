"""What a job's own tasks have shown of their run time."""

__all__ = ["WorkEstimate"]


class WorkEstimate:
    """Expected run time of one job's tasks on a typical upstream.

    Args:
        prior_s: Expectation before any of the job's tasks has ended.
        prior_weight: How many observed tasks the prior counts for.

    Attributes:
        mean_s_: Learned expectation in seconds.

    Examples:
        >>> estimate = WorkEstimate(prior_s=1.0, prior_weight=1)
        >>> estimate.observe(3.0)
        >>> estimate.mean_s_
        2.0
    """

    def __init__(self, prior_s: float, prior_weight: float = 2.0):
        self.prior_s = prior_s
        self.prior_weight = prior_weight
        self.count = 0
        self.total_s = 0.0
        self.mean_s_ = prior_s

    def observe(self, run_s: float) -> None:
        """Learns from one task.

        Args:
            run_s: Its run time, divided by its upstream's speed factor.
        """
        self.count += 1
        self.total_s += run_s
        weight = self.prior_weight + self.count
        self.mean_s_ = (
            self.prior_s * self.prior_weight + self.total_s
        ) / weight
