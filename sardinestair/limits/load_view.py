"""The load of all entries, as one entry sees it.

An entry reports to each of its sidecars the work that waits there, by class,
divided by the number of its links. A sidecar passes on the sum of the reports
of all other entries. The sum over an entry's links is then the part of the
others' work that is going to use the same upstreams, counted once.
"""

import math
from collections.abc import Callable, Iterable
from typing import Protocol

import msgspec

from sardinestair.limits.credit_priority import priority_of

__all__ = [
    "WaitingByClass",
    "ClassLoad",
    "LinkLoad",
    "LoadReporter",
    "LoadSum",
    "LoadView",
    "has_changed",
]

MAX_AGE_S = 2.0
"""Age at which the report of a link is no longer used, in seconds. Frames come
several times a second while a link is up."""

# Time for which what the links have reported is not read again, in seconds. A
# sidecar reports at most twice in it.
REFRESH_INTERVAL_S = 0.05
# Part of the throughput whose links must have reported.
MIN_KNOWN_SHARE = 0.5
# A change of a class since the last report is reported if it exceeds both.
MIN_CHANGE_SHARE = 0.1
MIN_CHANGE_S = 0.05
# Classes reported one by one; less urgent ones are added up.
MAX_CLASSES = 8
# Shortest time between two reports on a link.
REPORT_INTERVAL_S = 0.1
ROUNDING_S = 1e-6


class ClassLoad(msgspec.Struct, array_like=True, frozen=True):
    """Waiting work of one class.

    Attributes:
        priority: The class, as in `Demand.priority`.
        work_s: Expected run time of the tasks, in seconds.
    """

    priority: int
    work_s: float


class WaitingByClass:
    """Waiting tasks of one entry, by class.

    Attributes:
        tasks: Number of waiting tasks by class.
        work_s: Sum of their expected run times by class, in seconds.

    Examples:
        >>> backlog = WaitingByClass()
        >>> backlog.add(0, tasks=2, work_s=0.5)
        >>> backlog.add(1, tasks=2, work_s=4.0)
        >>> backlog.task_share(0)
        0.5
        >>> backlog.per_link(links=2)
        [ClassLoad(priority=0, work_s=0.25), ClassLoad(priority=1, work_s=2.0)]
    """

    def __init__(self) -> None:
        self.tasks: dict[int, int] = {}
        self.work_s: dict[int, float] = {}

    def add(self, priority: int, tasks: int, work_s: float) -> None:
        """Adds tasks of a class, or removes them if negative."""
        left = self.tasks.get(priority, 0) + tasks
        if left <= 0:
            # Drops what rounding has left.
            self.tasks.pop(priority, None)
            self.work_s.pop(priority, None)
            return
        self.tasks[priority] = left
        self.work_s[priority] = self.work_s.get(priority, 0.0) + work_s

    def task_share(self, priority: int) -> float:
        """Returns the share of a class in the number of waiting tasks."""
        total = sum(self.tasks.values())
        return self.tasks.get(priority, 0) / total if total else 1.0

    def count_priorities(self) -> int:
        """Returns the number of priorities of waiting jobs, late or not."""
        return len(set(map(priority_of, self.tasks)))

    def work_until(self, priority: int) -> float:
        """Returns the work of classes at least as urgent, in seconds."""
        return sum(
            work_s
            for number, work_s in self.work_s.items()
            if number <= priority
        )

    def per_link(self, links: int) -> list[ClassLoad]:
        """Returns the work by class, divided by a number of links."""
        return _limit_classes(
            {
                priority: work_s / max(1, links)
                for priority, work_s in self.work_s.items()
            }
        )


def _limit_classes(work_s: dict[int, float]) -> list[ClassLoad]:
    """Returns the classes in order; the least urgent ones are added up."""
    loads = [ClassLoad(p, work_s[p]) for p in sorted(work_s)]
    if len(loads) <= MAX_CLASSES:
        return loads
    kept, rest = loads[: MAX_CLASSES - 1], loads[MAX_CLASSES - 1 :]
    total_s = sum(load.work_s for load in rest)
    return [*kept, ClassLoad(rest[0].priority, total_s)]


class LoadSum:
    """Sum of the reports of several entries, by class.

    Args:
        reports: Their reports.

    Examples:
        >>> a, b = [ClassLoad(0, 1.0)], [ClassLoad(0, 2.0), ClassLoad(1, 4.0)]
        >>> LoadSum([a, b]).without(a)
        [ClassLoad(priority=0, work_s=2.0), ClassLoad(priority=1, work_s=4.0)]
    """

    def __init__(self, reports: Iterable[list[ClassLoad]]):
        self.work_s: dict[int, float] = {}
        for report in reports:
            for load in report:
                old_s = self.work_s.get(load.priority, 0.0)
                self.work_s[load.priority] = old_s + load.work_s

    def without(self, report: list[ClassLoad]) -> list[ClassLoad]:
        """Returns the sum without one of the reports."""
        work_s = dict(self.work_s)
        for load in report:
            work_s[load.priority] = work_s.get(load.priority, 0.0) - load.work_s
        return _limit_classes(
            {p: s for p, s in work_s.items() if s > ROUNDING_S}
        )


def has_changed(sent: list[ClassLoad] | None, current: list[ClassLoad]) -> bool:
    """Returns True if a report differs enough from the last one to be sent.

    Args:
        sent: The last report; None if none has been sent.
        current: The current state.
    """
    if sent is None:
        return True
    if not sent and not current:
        return False
    before = {load.priority: load.work_s for load in sent}
    after = {load.priority: load.work_s for load in current}
    for priority in before.keys() | after.keys():
        old_s, new_s = before.get(priority, 0.0), after.get(priority, 0.0)
        limit_s = max(MIN_CHANGE_S, MIN_CHANGE_SHARE * old_s)
        if abs(new_s - old_s) > limit_s:
            return True
    return False


class LoadReporter:
    """Decides when one end of a link reports its load to the other.

    Attributes:
        sent: The last report; None if there is none in this epoch.
        next_s: Earliest time of the next one.

    Examples:
        >>> reporter = LoadReporter()
        >>> reporter.report([ClassLoad(0, 1.0)], now_s=0.0)
        [ClassLoad(priority=0, work_s=1.0)]
        >>> reporter.is_due(now_s=9.0)
        True
        >>> reporter.report([ClassLoad(0, 1.05)], now_s=9.0) is None
        True
    """

    def __init__(self) -> None:
        self.sent: list[ClassLoad] | None = None
        self.next_s = 0.0

    def reset(self) -> None:
        """Forgets the last report at the start of a new epoch."""
        self.sent = None

    def is_due(self, now_s: float) -> bool:
        """Returns True if a frame that is sent now may have a report."""
        return self.sent is None or now_s >= self.next_s

    def report(
        self, current: list[ClassLoad], now_s: float
    ) -> list[ClassLoad] | None:
        """Returns the report for a frame, or None if it changed little.

        Args:
            current: The current load.
            now_s: The current time.
        """
        self.next_s = now_s + REPORT_INTERVAL_S
        if not has_changed(self.sent, current):
            return None
        self.sent = current
        return current


class LinkLoad:
    """What a sidecar has reported of the work of the other entries.

    Attributes:
        classes: Its last report; None if there is none in this epoch.
        confirmed_s: When the last frame came, on the entry's clock. A frame
            without a report confirms the last one.
    """

    def __init__(self) -> None:
        self.classes: list[ClassLoad] | None = None
        self.confirmed_s = 0.0

    def observe(self, classes: list[ClassLoad] | None, now_s: float) -> None:
        """Records a frame and its report, None if it has none."""
        if classes is not None:
            self.classes = classes
        self.confirmed_s = now_s

    def reset(self) -> None:
        """Forgets the report at the start of a new epoch."""
        self.classes = None

    def is_known(self, now_s: float) -> bool:
        """Returns True if the report can be used."""
        return self.classes is not None and now_s - self.confirmed_s < MAX_AGE_S


class LoadedLink(Protocol):
    """A link as the view reads it.

    Attributes:
        load: What its sidecar has reported.
        rate: Seconds of work that its upstream completes per second.
    """

    load: LinkLoad

    @property
    def rate(self) -> float: ...


class LoadView:
    """Estimates how long the work that waits at all entries takes.

    Args:
        own: The entry's own waiting tasks, of which the sidecars report
            nothing to it.
        links: Returns the entry's links that accept work.

    Attributes:
        others: Waiting work that sidecars have reported.
        rate: Seconds of work that the links' upstreams complete per second.
        known_rate: That of the links whose sidecars have reported lately.
        valid_until_s: Time from which the links are read again, on the entry's
            clock.

    Examples:
        >>> view = LoadView(WaitingByClass(), lambda: [])
        >>> view.backlog_s(0, now_s=1.0) is None
        True
    """

    def __init__(
        self,
        own: WaitingByClass,
        links: Callable[[], Iterable[LoadedLink]],
    ):
        self.own = own
        self.links = links
        self.others = WaitingByClass()
        self.rate = 0.0
        self.known_rate = 0.0
        self.valid_until_s = -math.inf

    def backlog_s(self, priority: int, now_s: float) -> float | None:
        """Returns the time that the waiting work of all entries takes.

        Upstreams whose sidecars have not reported lately are taken to be
        loaded like the others.

        Args:
            priority: Less urgent classes are not counted.
            now_s: The current time, on the entry's clock.

        Returns:
            The time, in seconds of the throughput of the entry's links; None
            if too few of them have reported lately.
        """
        if now_s >= self.valid_until_s:
            self._read_links(now_s)
        if not self.rate or self.known_rate < MIN_KNOWN_SHARE * self.rate:
            return None
        others_s = self.others.work_until(priority)
        others_s *= self.rate / self.known_rate
        return (self.own.work_until(priority) + others_s) / self.rate

    def _read_links(self, now_s: float) -> None:
        self.valid_until_s = now_s + REFRESH_INTERVAL_S
        self.rate = self.known_rate = 0.0
        self.others = WaitingByClass()
        for link in self.links():
            self.rate += link.rate
            load = link.load
            if load.is_known(now_s) and load.classes is not None:
                self.known_rate += link.rate
                self.valid_until_s = min(
                    self.valid_until_s, load.confirmed_s + MAX_AGE_S
                )
                for reported in load.classes:
                    self.others.add(reported.priority, 1, reported.work_s)
