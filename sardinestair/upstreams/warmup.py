"""Share of its capacity that an upstream gets while it is cold."""

__all__ = ["Warmup", "warm_share"]


def warm_share(left_s: float, total_s: float, initial_share: float) -> float:
    """Returns the share of its capacity that a cold upstream should get.

    It rises evenly from `initial_share` to 1 while the upstream gets warm.

    Args:
        left_s: Time for which the upstream is still slow, in seconds.
        total_s: Time for which it was going to be slow at first, in seconds.
        initial_share: Share at first.

    Examples:
        >>> warm_share(left_s=2.0, total_s=2.0, initial_share=0.5)
        0.5
        >>> warm_share(left_s=1.0, total_s=2.0, initial_share=0.5)
        0.75
        >>> warm_share(left_s=0.0, total_s=0.0, initial_share=0.5)
        1.0
    """
    if left_s <= 0 or total_s <= 0:
        return 1.0
    progress = max(0.0, 1 - left_s / total_s)
    return initial_share + (1 - initial_share) * progress


class Warmup:
    """Tracks how long an upstream is still slow after its start.

    Attributes:
        began_s: When it was first reported as cold, on the local clock.
        warm_at_s: When it will be warm.

    Examples:
        >>> warmup = Warmup()
        >>> warmup.observe(cold_s=4.0, now_s=10.0)
        >>> warmup.observe(cold_s=3.0, now_s=11.0)
        >>> warmup.left_s(now_s=12.0)
        2.0
        >>> warmup.share(now_s=12.0, initial_share=0.5)
        0.75
    """

    def __init__(self) -> None:
        self.began_s = 0.0
        self.warm_at_s = 0.0

    def observe(self, cold_s: float, now_s: float) -> None:
        """Records the time for which the upstream reports that it is slow."""
        if now_s >= self.warm_at_s:
            self.began_s = now_s
        self.warm_at_s = now_s + cold_s

    def left_s(self, now_s: float) -> float:
        """Returns the time until it is warm, in seconds."""
        return max(0.0, self.warm_at_s - now_s)

    def share(self, now_s: float, initial_share: float) -> float:
        """Returns the share of its capacity that it should get."""
        total_s = self.warm_at_s - self.began_s
        return warm_share(self.left_s(now_s), total_s, initial_share)
