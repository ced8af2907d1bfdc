"""Resources of tasks and upstreams, and their conversion to credit units."""

import msgspec

__all__ = ["Resources", "units_needed"]


class Resources(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An amount of each resource.

    Attributes:
        cpu_millis: CPU, in thousandths of a core.
        memory_mb: Memory, in MB.
        accelerators: Number of accelerators.
    """

    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0


def units_needed(
    need: Resources | None, capacity: Resources | None, units: int
) -> int | None:
    """Returns the credit units that a task occupies at an upstream.

    They are determined by the task's dominant resource, the one of which it
    takes the largest share of the capacity. Tasks whose units fit together
    therefore fit in every resource.

    Args:
        need: Resources that the task needs, or None if not specified.
        capacity: Resources of the upstream, or None if it only counts slots.
        units: Number of units that the capacity is divided into.

    Returns:
        The units; 1 if `need` or `capacity` is None; None if the task does not
        fit even on an idle upstream.

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
    largest = 1
    for needed, available in pairs:
        if needed <= 0:
            continue
        if needed > available:
            return None
        largest = max(largest, -(-needed * units // available))
    return largest
