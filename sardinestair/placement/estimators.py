"""Estimators of run times and upstream speeds, learned from outcomes."""

import math

from sardinestair.placement.candidate import DEFAULT_RUN_S

__all__ = ["RunTimeEstimator", "SpeedEstimator"]


MAX_TAIL_RATIO = 6.0


class RunTimeEstimator:
    """Run times of one kind of task, with exponential decay.

    Args:
        memory: How many recent tasks the mean covers.

    Attributes:
        mean_s_: Decayed mean run time on a typical upstream, in seconds.
        square_: Decayed mean of the squared run times.
        count_: Tasks seen, up to `memory`.

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

    def __init__(self, memory: int = 200):
        self.memory = memory
        self.mean_s_ = DEFAULT_RUN_S
        self.square_ = DEFAULT_RUN_S**2
        self.count_ = 0

    @property
    def tail_ratio(self) -> float:
        """Mean run time weighted by run time, over the plain mean.

        It is 1 if all tasks take the same time, and large if a few take much
        longer; the few decide when a job ends.
        """
        ratio = self.square_ / max(self.mean_s_**2, 1e-12)
        return min(max(ratio, 1.0), MAX_TAIL_RATIO)

    def observe(self, run_s: float) -> None:
        """Learns from one task.

        Args:
            run_s: Its run time, divided by its upstream's speed factor.
        """
        self.count_ = min(self.count_ + 1, self.memory)
        self.mean_s_ += (run_s - self.mean_s_) / self.count_
        self.square_ += (run_s**2 - self.square_) / self.count_

    def predict(self, declared_s: float | None = None) -> float:
        """Returns the expected run time of a task in seconds.

        Args:
            declared_s: What the caller declared, if anything; a prior that
                observations outweigh.
        """
        if declared_s is None:
            return self.mean_s_
        weight = self.count_ + self.DECLARED_WEIGHT
        total = self.mean_s_ * self.count_ + declared_s * self.DECLARED_WEIGHT
        return total / weight


class SpeedEstimator:
    """Speed factor of one upstream: observed over expected run time.

    The ratio is averaged as a logarithm, since run times vary by factors. An
    upstream that turns slow, or sound again, shows in a second average over
    few tasks, which counts once the two are far apart.

    Args:
        memory: How many recent tasks the mean covers.
        prior_weight: How many tasks at factor 1 the start counts for.

    Attributes:
        factor_: Learned factor; larger is slower.

    Examples:
        >>> estimator = SpeedEstimator()
        >>> for _ in range(200):
        ...     estimator.observe(run_s=0.4, expected_s=0.1)
        >>> 3.9 < estimator.factor_ <= 4.0
        True
    """

    MAX_LOG_RATIO = math.log(20.0)
    RECENT_WEIGHT = 0.3
    # Over three standard deviations of the recent average, with run times of
    # a kind that spread by 0.4.
    CHANGE_LOG_RATIO = math.log(1.8)

    def __init__(self, memory: int = 60, prior_weight: float = 2.0):
        self.memory = memory
        self.prior_weight = prior_weight
        self.log_ratio_ = 0.0
        self.recent_ = 0.0
        self.weight_ = prior_weight
        self.factor_ = 1.0

    def observe(self, run_s: float, expected_s: float) -> None:
        """Learns from one task.

        Args:
            run_s: Its run time at this upstream, in seconds.
            expected_s: The run time expected on a typical upstream.
        """
        if run_s <= 0 or expected_s <= 0:
            return
        ratio = math.log(run_s / expected_s)
        ratio = max(-self.MAX_LOG_RATIO, min(self.MAX_LOG_RATIO, ratio))
        self.weight_ = min(self.weight_ + 1, self.memory)
        self.log_ratio_ += (ratio - self.log_ratio_) / self.weight_
        self.recent_ += self.RECENT_WEIGHT * (ratio - self.recent_)
        has_changed = (
            abs(self.recent_ - self.log_ratio_) > self.CHANGE_LOG_RATIO
        )
        shown = self.recent_ if has_changed else self.log_ratio_
        self.factor_ = math.exp(shown)
