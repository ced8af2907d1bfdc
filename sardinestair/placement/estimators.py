"""Estimators of run times and of how slow an upstream is."""

import math

from sardinestair.placement.candidate import DEFAULT_RUN_S

__all__ = ["RunTimeEstimator", "SlowdownEstimator"]


MAX_TAIL_RATIO = 6.0


class RunTimeEstimator:
    """Estimates the run time of the tasks of one kind of job.

    The first `window` tasks are averaged evenly; after that, the mean is an
    exponential moving average with weight `1 / window`.

    Args:
        window: Number of recent tasks that the mean covers.

    Attributes:
        mean_s_: Mean run time on a typical upstream, in seconds.
        mean_square_: Mean of the squared run times.
        count_: Number of observed tasks, at most `window`.

    Examples:
        >>> estimator = RunTimeEstimator()
        >>> estimator.predict(declared_s=0.5)
        0.5
        >>> for _ in range(100):
        ...     estimator.observe(0.1)
        >>> round(estimator.predict(declared_s=1.0), 2)
        0.12
    """

    DECLARED_WEIGHT = 2.0

    def __init__(self, window: int = 200):
        self.window = window
        self.mean_s_ = DEFAULT_RUN_S
        self.mean_square_ = DEFAULT_RUN_S**2
        self.count_ = 0

    @property
    def tail_ratio(self) -> float:
        """Mean run time weighted by run time, divided by the plain mean.

        The ratio is 1 if all tasks take the same time and grows if a few take
        much longer, which then determine when their job completes.
        """
        ratio = self.mean_square_ / max(self.mean_s_**2, 1e-12)
        return min(max(ratio, 1.0), MAX_TAIL_RATIO)

    @property
    def spread_s(self) -> float:
        """Standard deviation of the run times, in seconds."""
        return math.sqrt(max(self.mean_square_ - self.mean_s_**2, 0.0))

    def observe(self, run_s: float) -> None:
        """Adds the run time of a completed task.

        Args:
            run_s: Run time in seconds, divided by the upstream's `slowdown_`.
        """
        self.count_ = min(self.count_ + 1, self.window)
        self.mean_s_ += (run_s - self.mean_s_) / self.count_
        self.mean_square_ += (run_s**2 - self.mean_square_) / self.count_

    def predict(self, declared_s: float | None = None) -> float:
        """Returns the expected run time of a task in seconds.

        Args:
            declared_s: Run time declared by the caller, if any. It counts
                like `DECLARED_WEIGHT` observed tasks.
        """
        if declared_s is None:
            return self.mean_s_
        weight = self.count_ + self.DECLARED_WEIGHT
        total = self.mean_s_ * self.count_ + declared_s * self.DECLARED_WEIGHT
        return total / weight


class SlowdownEstimator:
    """Estimates an upstream's ratio of observed to expected run time.

    The mean is taken over logarithms, since run times vary by factors. A
    second mean with a short memory detects a sudden change, such as an
    upstream that becomes slow or recovers: it is used instead of the first
    while the two differ by more than `CHANGE_THRESHOLD`.

    Args:
        window: Number of recent tasks that the mean covers.
        prior_weight: Number of tasks at ratio 1 that the prior counts for.
        max_deviation: Greatest difference of a logarithm from the mean that
            counts; greater ones are reduced to it.

    Attributes:
        factor_: Estimated ratio; 2.0 means that tasks take twice as long.

    Examples:
        >>> estimator = SlowdownEstimator()
        >>> for _ in range(200):
        ...     estimator.observe(run_s=0.4, expected_s=0.1)
        >>> 3.9 < estimator.factor_ <= 4.0
        True
    """

    MAX_LOG_RATIO = math.log(20.0)
    RECENT_SMOOTHING_FACTOR = 0.3
    # More than three standard deviations of the short mean if the logarithms
    # of the run times of a kind have a standard deviation of 0.4.
    CHANGE_THRESHOLD = math.log(1.8)

    def __init__(
        self,
        window: int = 60,
        prior_weight: float = 2.0,
        max_deviation: float = math.inf,
    ):
        self.window = window
        self.max_deviation = max_deviation
        self.prior_weight = prior_weight
        self.log_ratio_ = 0.0
        self.recent_log_ratio_ = 0.0
        self.weight_ = prior_weight
        self.factor_ = 1.0

    def observe(self, run_s: float, expected_s: float) -> None:
        """Adds the run time of a completed task.

        Args:
            run_s: Run time on this upstream, in seconds.
            expected_s: Expected run time on a typical upstream, in seconds.
        """
        if run_s <= 0 or expected_s <= 0:
            return
        ratio = math.log(run_s / expected_s)
        ratio = max(-self.MAX_LOG_RATIO, min(self.MAX_LOG_RATIO, ratio))
        deviation = ratio - self.log_ratio_
        if abs(deviation) > self.max_deviation:
            ratio = self.log_ratio_ + math.copysign(
                self.max_deviation, deviation
            )
        self.weight_ = min(self.weight_ + 1, self.window)
        self.log_ratio_ += (ratio - self.log_ratio_) / self.weight_
        self.recent_log_ratio_ += self.RECENT_SMOOTHING_FACTOR * (
            ratio - self.recent_log_ratio_
        )
        has_changed = (
            abs(self.recent_log_ratio_ - self.log_ratio_)
            > self.CHANGE_THRESHOLD
        )
        log_ratio = self.recent_log_ratio_ if has_changed else self.log_ratio_
        self.factor_ = math.exp(log_ratio)

    def adopt(self, log_ratio: float, weight: float) -> None:
        """Replaces the estimate by one that rests on other observations.

        Args:
            log_ratio: Logarithm of the ratio.
            weight: Number of tasks that it counts for; the prior at ratio 1
                still counts beside it.
        """
        total = weight + self.prior_weight
        self.log_ratio_ = log_ratio * weight / total
        self.recent_log_ratio_ = self.log_ratio_
        self.weight_ = min(total, self.window)
        self.factor_ = math.exp(self.log_ratio_)
