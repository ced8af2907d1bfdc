"""Notice that an upstream gives before it leaves."""

__all__ = ["is_notably_sooner"]

# Other differences come from delays of messages, and are announced with the
# next regular announcement.
MIN_DIFFERENCE_S = 0.2


def is_notably_sooner(
    leaves_at_s: float | None, announced_s: float | None
) -> bool:
    """Returns True if entries are to be notified of an earlier departure.

    A notice whose remaining time merely counts down names the same time.

    Args:
        leaves_at_s: When the upstream leaves according to its latest notice, or
            None if that names no time.
        announced_s: When it leaves according to the notice before, or None.

    Examples:
        >>> is_notably_sooner(leaves_at_s=12.05, announced_s=12.0)
        False
        >>> is_notably_sooner(leaves_at_s=11.0, announced_s=12.0)
        True
    """
    if leaves_at_s is None:
        return False
    return announced_s is None or leaves_at_s < announced_s - MIN_DIFFERENCE_S
