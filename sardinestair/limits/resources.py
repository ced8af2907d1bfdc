"""What a task needs of an upstream, and how much of its capacity that is."""

import msgspec

__all__ = ["Resources", "units_needed"]


class Resources(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An amount of each resource.

    Attributes:
        cpu_millis: Processor, in thousandths of a core.
        memory_mb: Memory, in MB.
        accelerators: Accelerators.
    """

    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0


def units_needed(
    need: Resources | None, capacity: Resources | None, units: int
) -> int | None:
    """Returns the credit units that a task occupies at an upstream.

    The task counts by the resource of which it takes the largest share, so
    that tasks whose units fit together fit in every resource.

    Args:
        need: What the task needs, or None if it was not said.
        capacity: What the upstream has, or None if it only counts slots.
        units: Units into which the capacity is divided.

    Returns:
        The units, 1 for an upstream that counts slots, or None if the task
        does not fit even on an idle upstream.

    Examples:
        >>> capacity = Resources(16000, 65536, 0)
        >>> units_needed(Resources(1600, 64, 0), capacity, 16000)
        1600
        >>> units_needed(Resources(1600, 32768, 0), capacity, 16000)
        8000
        >>> units_needed(Resources(0, 0, 1), capacity, 16000) is None
        True
        >>> units_needed(None, None, 8)
        1
    """
    if capacity is None or need is None:
        return 1
    pairs = (
        (need.cpu_millis, capacity.cpu_millis),
        (need.memory_mb, capacity.memory_mb),
        (need.accelerators, capacity.accelerators),
    )
    most = 1
    for wanted, available in pairs:
        if wanted <= 0:
            continue
        if wanted > available:
            return None
        most = max(most, -(-wanted * units // available))
    return most
