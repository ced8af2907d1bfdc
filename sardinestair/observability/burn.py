"""Burn rates of the error budgets of service-level objectives.

A job misses its service's objective if the system fails to answer it
completely, or answers too late; errors caused by the caller don't count. The
burn rate is the share of such jobs divided by the share that the objective
allows: at a constant rate of 1, the error budget lasts exactly until the end of
the period.
"""

from collections import deque
from collections.abc import Iterable

import msgspec

from sardinestair.outcomes import ProblemKind

__all__ = [
    "WINDOW_MINUTES",
    "BurnRecorder",
    "MinuteCount",
    "ServiceBurn",
    "burn_rate",
    "is_system_error",
    "merge_reports",
]

SECONDS_PER_MINUTE = 60
WINDOW_MINUTES = {"5m": 5, "1h": 60, "6h": 360, "3d": 4320}
RETENTION_MINUTES = max(WINDOW_MINUTES.values())
_CALLER_ERRORS = frozenset(
    {
        ProblemKind.INVALID,
        ProblemKind.UNKNOWN_SERVICE,
        ProblemKind.UNKNOWN_JOB,
        ProblemKind.TOO_LARGE,
        ProblemKind.CONFLICT,
        ProblemKind.QUOTA,
        ProblemKind.BUDGET,
        ProblemKind.CANCELLED,
    }
)


class MinuteCount(msgspec.Struct):
    """Jobs that ended in one minute.

    Attributes:
        minute: Minutes since the epoch.
        total: Number of jobs that count towards the objective.
        bad: Number of those that missed it.
    """

    minute: int
    total: int = 0
    bad: int = 0


class ServiceBurn(msgspec.Struct):
    """Job counts of one service, from one entry or merged from several.

    Attributes:
        service: The service.
        objective_share: Share of jobs that must be answered in time.
        objective_s: Longest response time that is in time, in seconds; 0 for
            the job's own deadline.
        minutes: Counts per minute, oldest first.
    """

    service: str
    objective_share: float
    objective_s: float
    minutes: list[MinuteCount]

    def sum_window(self, minutes: int, now_minute: int) -> MinuteCount:
        """Returns the sum of the counts of the last minutes."""
        first_minute = now_minute - minutes + 1
        recent = [m for m in self.minutes if m.minute >= first_minute]
        return MinuteCount(
            first_minute,
            sum(m.total for m in recent),
            sum(m.bad for m in recent),
        )


def is_system_error(kind: ProblemKind) -> bool:
    """Returns whether a problem counts against the objective."""
    return kind not in _CALLER_ERRORS


def burn_rate(count: MinuteCount, objective_share: float) -> float:
    """Returns the burn rate of an error budget.

    Args:
        count: Counts of the window.
        objective_share: Share of jobs that must be answered in time.

    Examples:
        >>> burn_rate(MinuteCount(0, total=100, bad=2), 0.99)
        2.0
    """
    if not count.total:
        return 0.0
    allowed = max(1.0 - objective_share, 1e-9)
    return round(count.bad / count.total / allowed, 6)


class BurnRecorder:
    """Counts the jobs of one service per minute.

    Attributes:
        minutes: The latest minutes in which jobs ended, oldest first.

    Examples:
        >>> recorder = BurnRecorder()
        >>> recorder.observe(True, now_s=30.0)
        >>> recorder.observe(False, now_s=31.0)
        >>> [(m.total, m.bad) for m in recorder.minutes]
        [(2, 1)]
    """

    def __init__(self) -> None:
        self.minutes: deque[MinuteCount] = deque(maxlen=RETENTION_MINUTES)

    def observe(self, met_objective: bool, now_s: float) -> None:
        """Counts a job.

        Args:
            met_objective: True if it met the objective.
            now_s: Seconds since the epoch.
        """
        minute = int(now_s) // SECONDS_PER_MINUTE
        if not self.minutes or self.minutes[-1].minute < minute:
            self.minutes.append(MinuteCount(minute))
        self.minutes[-1].total += 1
        self.minutes[-1].bad += not met_objective


def merge_reports(reports: Iterable[ServiceBurn]) -> list[ServiceBurn]:
    """Sums the reports of several entries per service and minute."""
    merged: dict[str, ServiceBurn] = {}
    counts: dict[str, dict[int, MinuteCount]] = {}
    for report in reports:
        merged.setdefault(report.service, report)
        by_minute = counts.setdefault(report.service, {})
        for count in report.minutes:
            sums = by_minute.setdefault(count.minute, MinuteCount(count.minute))
            sums.total += count.total
            sums.bad += count.bad
    for service, report in merged.items():
        by_minute = counts[service]
        report.minutes = [by_minute[m] for m in sorted(by_minute)]
    return [merged[service] for service in sorted(merged)]
