"""Retry budget: limits the retries of tasks that were reported as not run."""

__all__ = ["RetryBudget"]


class RetryBudget:
    """Token bucket that first attempts fill and retries drain.

    It bounds the extra load that retries cause when many starts are refused.

    Args:
        ratio: Number of retries allowed for each first attempt.
        initial_tokens: Initial number of retries, and the minimum size of
            the bucket.

    Attributes:
        tokens_: Number of retries allowed now.

    Examples:
        >>> budget = RetryBudget(ratio=0.1, initial_tokens=1)
        >>> budget.try_withdraw()
        True
        >>> budget.try_withdraw()
        False
        >>> for _ in range(10):
        ...     budget.deposit()
        >>> budget.try_withdraw()
        True
    """

    def __init__(self, ratio: float = 0.2, initial_tokens: int = 100):
        self.ratio = ratio
        self.initial_tokens = initial_tokens
        self.tokens_ = float(initial_tokens)

    def deposit(self) -> None:
        """Adds the tokens of one first attempt."""
        self.tokens_ = min(self.tokens_ + self.ratio, self._capacity())

    def try_withdraw(self) -> bool:
        """Takes the token for one retry, if there is one.

        Returns:
            True if the retry is allowed.
        """
        if self.tokens_ < 1.0 - 1e-9:
            return False
        self.tokens_ = max(0.0, self.tokens_ - 1.0)
        return True

    def _capacity(self) -> float:
        return max(
            float(self.initial_tokens), 10.0 * self.initial_tokens * self.ratio
        )
