"""Percentiles and resource usage of processes, for the benchmarks."""

import os

import msgspec

__all__ = ["Usage", "percentile", "read_usage"]

_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


class Usage(msgspec.Struct, frozen=True):
    """Resource usage of a process.

    Attributes:
        cpu_s: CPU time, in seconds.
        resident_mb: Resident memory, in MB.
        threads: Number of threads.
    """

    cpu_s: float
    resident_mb: float
    threads: int


def read_usage(pid: int) -> Usage:
    """Returns the resource usage of a process since its start."""
    with open(f"/proc/{pid}/stat", encoding="utf-8") as stream:
        fields = stream.read().rpartition(")")[2].split()
    user, system = int(fields[11]), int(fields[12])
    return Usage(
        (user + system) / _TICKS_PER_S,
        int(fields[21]) * _PAGE_BYTES / 1e6,
        int(fields[17]),
    )


def percentile(values: list[float], quantile: float) -> float:
    """Returns a percentile by the nearest-rank method.

    Examples:
        >>> percentile([3.0, 1.0, 2.0], 0.5)
        2.0
    """
    ordered = sorted(values)
    rank = min(len(ordered) - 1, int(quantile * len(ordered)))
    return ordered[rank]
