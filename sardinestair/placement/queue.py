"""The order in which waiting jobs get slots."""

import enum
import itertools
from collections.abc import Iterator

from sortedcontainers import SortedKeyList

from sardinestair.ids import Incarnation
from sardinestair.jobs.job import Job

__all__ = ["OrderPolicy", "ReadyQueue", "TeamClock"]

WORK_WEIGHT = 0.25
# Puts jobs behind all that are more urgent; longer than any deadline.
PRIORITY_S = 86400.0
# Puts late jobs behind all others; longer than any deadline.
LATE_S = 86400.0


class OrderPolicy(enum.Enum):
    """How waiting jobs are ordered."""

    FIRST_COME = "first_come"
    SMALL_FIRST = "small_first"
    LEAST_SLACK = "least_slack"


class TeamClock:
    """Virtual time of one team, for fair shares between teams.

    A team that asks for no more than its share has its jobs ordered by
    arrival. One that asks for more runs ahead of the clock, and its jobs wait
    behind those of others (start-time fair queueing).

    Attributes:
        finish_s: When the team's work so far would end at its share.

    Examples:
        >>> clock = TeamClock()
        >>> clock.decide(now_s=10.0, work_s=4.0, share=2.0)
        10.0
        >>> clock.decide(now_s=10.0, work_s=4.0, share=2.0)
        12.0
    """

    def __init__(self) -> None:
        self.finish_s = 0.0

    def decide(self, now_s: float, work_s: float, share: float) -> float:
        """Returns the virtual start of a job, and moves the clock past it.

        Args:
            now_s: The present, in seconds.
            work_s: Expected run time of the job's tasks, in seconds.
            share: Run time per second that is the team's share.
        """
        start_s = max(now_s, self.finish_s)
        self.finish_s = start_s + work_s / max(share, 1e-9)
        return start_s


class ReadyQueue:
    """Jobs of one service with tasks that wait, in order.

    Jobs of a smaller priority number go first, but with `LEAST_SLACK`. With
    `SMALL_FIRST` the key of a job is its virtual start plus a quarter of its
    expected slot-seconds: small jobs go first, and a large one waits a bounded
    time longer. With `LEAST_SLACK` it is the latest time at which the
    job can start and be in time; a job past it goes behind all that can still
    be in time, and the late ones keep that order among themselves.

    Args:
        order: How jobs are ordered.

    Attributes:
        waiting_tasks: Tasks that wait.
        waiting_bytes: Their payloads in bytes.
        waiting_s: Their expected run time in seconds.
    """

    def __init__(self, order: OrderPolicy = OrderPolicy.SMALL_FIRST):
        self.order = order
        self.jobs = SortedKeyList(key=lambda job: (job.key_s, job.job_id))
        self.teams: dict[str, TeamClock] = {}
        self.waiting_tasks = 0
        self.waiting_bytes = 0
        self.waiting_s = 0.0

    def add(self, job: Job, now_s: float, rate: float) -> None:
        """Adds a job with all its tasks.

        Args:
            job: The job; its `key_s` is set.
            now_s: The present, in seconds.
            rate: Run time that this entry gets worked off per second, to be
                shared by the active teams.
        """
        work_s = job.work.mean_s_ * job.size
        start_s = self._virtual_start(job, now_s, work_s, rate)
        keys = {
            OrderPolicy.FIRST_COME: start_s,
            OrderPolicy.SMALL_FIRST: start_s + WORK_WEIGHT * work_s,
            OrderPolicy.LEAST_SLACK: job.latest_start_s,
        }
        job.key_s = keys[self.order] + self._priority_s(job.priority)
        self._count(job, job.waiting, 1)
        self.jobs.add(job)

    def _priority_s(self, priority: int) -> float:
        """Returns what a priority adds to the order key, in seconds.

        Slack comes before it: under high load kinds of a lower priority would
        all wait until they are late.
        """
        if self.order is OrderPolicy.LEAST_SLACK:
            return 0.0
        return PRIORITY_S * priority

    def take(self, job: Job, sidecar: Incarnation) -> int:
        """Takes the next task of a job for a start at a sidecar.

        Returns:
            The task's index.
        """
        index = job.take(sidecar)
        self._count(job, [index], -1)
        if not job.waiting:
            self.jobs.remove(job)
        return index

    def put_back(self, job: Job, index: int) -> None:
        """Returns a task that did not run to the head of its job."""
        if not job.waiting:
            self.jobs.add(job)
        job.put_back(index)
        self._count(job, [index], 1)

    def discard(self, job: Job) -> None:
        """Removes all waiting tasks of a job in one step."""
        if job not in self.jobs:
            job.waiting.clear()
            return
        self.jobs.remove(job)
        self._count(job, job.waiting, -1)
        job.waiting.clear()

    def demote_late(self, now_s: float) -> list[Job]:
        """Puts the jobs that can't be in time any more behind the others.

        Returns:
            Those that have just become late.
        """
        late: list[Job] = []
        if self.order is not OrderPolicy.LEAST_SLACK:
            return late
        while self.jobs and self.jobs[0].key_s < now_s:
            job = self.jobs.pop(0)
            job.key_s += LATE_S
            job.is_late = True
            self.jobs.add(job)
            late.append(job)
        return late

    def useless(self, now_s: float) -> list[Job]:
        """Returns the late jobs that would end too late for any use."""
        if self.order is not OrderPolicy.LEAST_SLACK:
            return []
        first = self.jobs.bisect_key_left((now_s + LATE_S / 2, b""))
        late = itertools.islice(self.jobs, first, None)
        return [job for job in late if job.is_useless(now_s)]

    def work_ahead_s(
        self,
        team: str,
        work_s: float,
        now_s: float,
        latest_start_s: float | None = None,
        priority: int = 0,
    ) -> float:
        """Returns the expected run time of what would go before a new job.

        The jobs ahead count by their number, at the mean of all that wait.

        Args:
            team: The caller's team.
            work_s: Expected run time of the new job's tasks, in seconds.
            now_s: The present, in seconds.
            latest_start_s: When it must start to be in time.
            priority: The new job's priority.
        """
        if not self.jobs:
            return 0.0
        clock = self.teams.get(team)
        start_s = max(now_s, clock.finish_s) if clock else now_s
        key_s = start_s
        if self.order is OrderPolicy.SMALL_FIRST:
            key_s += WORK_WEIGHT * work_s
        if self.order is OrderPolicy.LEAST_SLACK and latest_start_s:
            key_s = latest_start_s
        key_s += self._priority_s(priority)
        ahead = self.jobs.bisect_key_right((key_s, b""))
        return self.waiting_s * ahead / len(self.jobs)

    def count_jobs(self, kind: str) -> int:
        """Returns the jobs of a kind of which no task has started."""
        return sum(job.kind == kind and job.is_not_run for job in self.jobs)

    def head(self) -> Job | None:
        """Returns the job whose task is next, if any waits."""
        return self.jobs[0] if self.jobs else None

    def in_order(self, limit: int) -> Iterator[Job]:
        """Yields the first jobs in order.

        Args:
            limit: How many at most.
        """
        yield from itertools.islice(self.jobs, limit)

    def _count(self, job: Job, indices, sign: int) -> None:
        self.waiting_tasks += sign * len(indices)
        size = sum(len(job.payloads[i]) for i in indices)
        self.waiting_bytes += sign * size
        # Counted at the price of admission, so that the sum returns to zero.
        self.waiting_s += sign * len(indices) * job.work.prior_s

    def _virtual_start(
        self, job: Job, now_s: float, work_s: float, rate: float
    ) -> float:
        if self.order is not OrderPolicy.SMALL_FIRST:
            return now_s
        clock = self.teams.setdefault(job.team, TeamClock())
        active = sum(1 for c in self.teams.values() if c.finish_s > now_s)
        if len(self.teams) > 2 * active + 64:
            self._forget_idle_teams(now_s)
        share = rate / max(1, active)
        return clock.decide(now_s, work_s, share)

    def _forget_idle_teams(self, now_s: float) -> None:
        self.teams = {t: c for t, c in self.teams.items() if c.finish_s > now_s}
