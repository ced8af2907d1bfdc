"""Retry budget: bounds how many starts may be repeated after NOT_RUN."""

__all__ = ["RetryBudget"]


class RetryBudget:
    """A bucket that first attempts fill and retries drain.

    Args:
        ratio: Retries allowed for each first attempt.
        floor: Retries that are always at hand after a quiet time.

    Attributes:
        tokens_: Retries allowed now, learned from the traffic.

    Examples:
        >>> budget = RetryBudget(ratio=0.1, floor=1)
        >>> budget.decide()
        True
        >>> budget.decide()
        False
        >>> for _ in range(10):
        ...     budget.observe()
        >>> budget.decide()
        True
    """

    def __init__(self, ratio: float = 0.2, floor: int = 100):
        self.ratio = ratio
        self.floor = floor
        self.tokens_ = float(floor)

    def observe(self) -> None:
        """Takes note of a first attempt."""
        self.tokens_ = min(self.tokens_ + self.ratio, self._ceiling())

    def decide(self) -> bool:
        """Spends one retry.

        Returns:
            True if a retry is allowed.
        """
        if self.tokens_ < 1.0 - 1e-9:
            return False
        self.tokens_ = max(0.0, self.tokens_ - 1.0)
        return True

    def _ceiling(self) -> float:
        return max(float(self.floor), 10.0 * self.floor * self.ratio)
