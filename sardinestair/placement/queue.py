"""Queue of the jobs that wait for upstreams, and the order between them."""

import enum
import itertools
from collections.abc import Iterator

from sortedcontainers import SortedKeyList

from sardinestair.ids import Incarnation
from sardinestair.jobs.job import Job
from sardinestair.limits.credit_priority import demand_class
from sardinestair.limits.load_view import WaitingByClass
from sardinestair.placement.urgency import (
    CLASS_OFFSET_S,
    LATE_CLASS_OFFSET_S,
    ClassOrder,
    class_key,
)

__all__ = ["OrderPolicy", "ReadyQueue", "TeamVirtualTime"]

WORK_WEIGHT = 0.25
# Added to the order key for each step of priority. Longer than any deadline, so
# that a job stays behind all jobs of a more urgent priority.
PRIORITY_OFFSET_S = 86400.0
# Added to the order key of late jobs. Longer than any deadline, so that they
# stay behind all others.
LATE_OFFSET_S = 86400.0


class OrderPolicy(enum.Enum):
    """Values of the setting `order`."""

    FIRST_COME = "first_come"
    SMALL_FIRST = "small_first"
    LEAST_SLACK = "least_slack"
    URGENT_FIRST = "urgent_first"


# Orders in which jobs past their latest start go behind all others. Their keys
# depend on the job alone.
_DEADLINE_ORDERS = (OrderPolicy.LEAST_SLACK, OrderPolicy.URGENT_FIRST)


class TeamVirtualTime:
    """Virtual time of one team, for start-time fair queueing.

    Jobs of a team within its fair share start at their time of arrival. The
    virtual time of a team that exceeds its share runs ahead of the clock, so
    its jobs wait behind those of other teams.

    Attributes:
        virtual_finish_s: Virtual finish time of the team's jobs so far, in
            seconds.

    Examples:
        >>> virtual_time = TeamVirtualTime()
        >>> virtual_time.assign_start(now_s=10.0, work_s=4.0, share=2.0)
        10.0
        >>> virtual_time.assign_start(now_s=10.0, work_s=4.0, share=2.0)
        12.0
    """

    def __init__(self) -> None:
        self.virtual_finish_s = 0.0

    def assign_start(self, now_s: float, work_s: float, share: float) -> float:
        """Returns a job's virtual start time and advances the virtual time.

        Args:
            now_s: Current time in seconds.
            work_s: Sum of the expected run times of the job's tasks.
            share: The team's fair share, in seconds of run time per second.
        """
        start_s = max(now_s, self.virtual_finish_s)
        self.virtual_finish_s = start_s + work_s / max(share, 1e-9)
        return start_s


class ReadyQueue:
    """Priority queue of the jobs of one service that have waiting tasks.

    Jobs are sorted by an order key in seconds:

    - `FIRST_COME`: the time of arrival.
    - `SMALL_FIRST`: the virtual start time plus a quarter of the expected run
      time of all tasks. Small jobs go first, and the extra wait of a large one
      is bounded.
    - `LEAST_SLACK`: the latest start at which the job can meet its objective.
      Jobs past that time are late: they move behind all others and keep their
      order among themselves.
    - `URGENT_FIRST`: by class, and the same within a class; see `urgency`.

    Jobs with a smaller priority number go first, except with `LEAST_SLACK`.

    Args:
        order: The order of the jobs.

    Attributes:
        waiting_tasks: Number of waiting tasks.
        waiting_bytes: Size of their payloads in bytes.
        waiting_work_s: Sum of their expected run times in seconds.
        waiting_by_class: The same by class, with the number of tasks.
        classes: Keeps the jobs in order with `URGENT_FIRST`.
        changes: Number of changes other than moves of `classes`.
    """

    def __init__(self, order: OrderPolicy = OrderPolicy.SMALL_FIRST):
        self.order = order
        self.jobs = SortedKeyList(key=lambda job: (job.order_key_s, job.job_id))
        self.virtual_times: dict[str, TeamVirtualTime] = {}
        self.waiting_tasks = 0
        self.waiting_bytes = 0
        self.waiting_work_s = 0.0
        self.waiting_by_class = WaitingByClass()
        self.classes = ClassOrder(self.jobs)
        self.changes = 0

    @property
    def needs_throughput(self) -> bool:
        """True if the order of new jobs depends on the throughput."""
        return self.order is OrderPolicy.SMALL_FIRST

    @property
    def version(self) -> int:
        """A number that grows with each change of jobs, tasks and order."""
        return self.changes + self.classes.moves

    def set_order(self, order: OrderPolicy) -> None:
        """Changes the order; waiting jobs are sorted again where possible."""
        if order is self.order:
            return
        self.order = order
        if order not in _DEADLINE_ORDERS:
            return
        self.changes += 1
        jobs = list(self.jobs)
        self.jobs.clear()
        for job in jobs:
            job.order_key_s = self._deadline_key_s(job)
            if job.is_late:
                job.order_key_s += self._late_offset_s
            self.jobs.add(job)

    def _deadline_key_s(self, job: Job) -> float:
        if self.order is OrderPolicy.URGENT_FIRST:
            return class_key(job)
        return job.latest_start_s

    @property
    def _late_offset_s(self) -> float:
        if self.order is OrderPolicy.URGENT_FIRST:
            return LATE_CLASS_OFFSET_S
        return LATE_OFFSET_S

    def add(self, job: Job, now_s: float, throughput: float) -> None:
        """Adds a job with all its tasks.

        Args:
            job: The job; its `order_key_s` is set. It goes behind all others
                if it `is_late` already.
            now_s: Current time in seconds.
            throughput: Seconds of run time that this entry completes per
                second, shared by the active teams; only used if
                `needs_throughput`.
        """
        work_s = job.run_time.mean_s_ * job.task_count
        start_s = self._virtual_start(job, now_s, work_s, throughput)
        keys = {
            OrderPolicy.FIRST_COME: start_s,
            OrderPolicy.SMALL_FIRST: start_s + WORK_WEIGHT * work_s,
            OrderPolicy.LEAST_SLACK: job.latest_start_s,
            OrderPolicy.URGENT_FIRST: class_key(job),
        }
        job.order_key_s = keys[self.order] + self._priority_offset_s(
            job.priority
        )
        if job.is_late:
            job.order_key_s += self._late_offset_s
        self._update_totals(job, job.waiting, 1)
        self._insert(job)

    def _insert(self, job: Job) -> None:
        self.jobs.add(job)
        self.classes.count_job(job, 1)

    def _remove(self, job: Job) -> None:
        self.jobs.remove(job)
        self.classes.count_job(job, -1)

    def _priority_offset_s(self, priority: int) -> float:
        """Returns the offset that a priority adds to the order key.

        It is 0 with `LEAST_SLACK`. Otherwise, under high load, all jobs of a
        less urgent priority would wait until they are late. With `URGENT_FIRST`
        the key has the class already.
        """
        if self.order in _DEADLINE_ORDERS:
            return 0.0
        return PRIORITY_OFFSET_S * priority

    def dequeue(self, job: Job, sidecar: Incarnation) -> int:
        """Removes the next task of a job, to be started at a sidecar.

        Returns:
            Index of the task.
        """
        index = job.dequeue(sidecar)
        self._update_totals(job, [index], -1)
        if not job.waiting:
            self._remove(job)
        return index

    def requeue(self, job: Job, index: int) -> None:
        """Puts a task back at the front of its job's waiting tasks."""
        if not job.waiting:
            self._insert(job)
        job.requeue(index)
        self._update_totals(job, [index], 1)

    def discard(self, job: Job) -> None:
        """Removes all waiting tasks of a job."""
        if job not in self.jobs:
            job.waiting.clear()
            return
        self._remove(job)
        self._update_totals(job, job.waiting, -1)
        job.waiting.clear()

    def demote_late(self, now_s: float) -> list[Job]:
        """Moves jobs that can no longer meet their objective to the back.

        Returns:
            The jobs that have become late since the last call.
        """
        if self.order is OrderPolicy.URGENT_FIRST:
            late = self.classes.demote_late(now_s)
            self._count_as_late(late)
            return late
        late = []
        if self.order is not OrderPolicy.LEAST_SLACK:
            return late
        while self.jobs and self.jobs[0].order_key_s < now_s:
            self.changes += 1
            job = self.jobs.pop(0)
            job.order_key_s += LATE_OFFSET_S
            # Tasks of late jobs don't count in the backlog of their class.
            self.classes.count_job(job, -1)
            self.classes.count_tasks(job, -len(job.waiting))
            job.is_late = True
            self.jobs.add(job)
            late.append(job)
        self._count_as_late(late)
        return late

    def late_jobs(self, now_s: float) -> Iterator[Job]:
        """Yields the late jobs in order."""
        start_s = now_s + self._late_offset_s / 2
        first = self.jobs.bisect_key_left((start_s, b""))
        yield from itertools.islice(self.jobs, first, None)

    def no_longer_useful(self, now_s: float) -> list[Job]:
        """Returns the late jobs whose answer would no longer be useful."""
        if self.order not in _DEADLINE_ORDERS:
            return []
        late = self.late_jobs(now_s)
        return [job for job in late if job.is_no_longer_useful(now_s)]

    def tasks_ahead(self, priority: int, latest_start_s: float) -> float:
        """Returns the number of tasks ahead of a job with `URGENT_FIRST`."""
        return self.classes.tasks_ahead(priority, latest_start_s)

    def work_ahead_s(
        self,
        team: str,
        work_s: float,
        now_s: float,
        latest_start_s: float | None = None,
        priority: int = 0,
    ) -> float:
        """Returns the expected run time of the tasks ahead of a new job.

        It is estimated as the number of jobs ahead times the mean expected
        run time of all waiting jobs.

        Args:
            team: The caller's team.
            work_s: Sum of the expected run times of the new job's tasks.
            now_s: Current time in seconds.
            latest_start_s: Latest start at which it meets its objective.
            priority: The new job's priority.
        """
        if not self.jobs:
            return 0.0
        virtual_time = self.virtual_times.get(team)
        start_s = (
            max(now_s, virtual_time.virtual_finish_s) if virtual_time else now_s
        )
        order_key_s = start_s
        if self.order is OrderPolicy.SMALL_FIRST:
            order_key_s += WORK_WEIGHT * work_s
        if self.order in _DEADLINE_ORDERS and latest_start_s:
            order_key_s = latest_start_s
        if self.order is OrderPolicy.URGENT_FIRST:
            order_key_s += CLASS_OFFSET_S * priority
        order_key_s += self._priority_offset_s(priority)
        ahead = self.jobs.bisect_key_right((order_key_s, b""))
        return self.waiting_work_s * ahead / len(self.jobs)

    def count_not_started(self, kind: str) -> int:
        """Returns the number of jobs of a kind of which no task has started."""
        return sum(job.kind == kind and job.is_not_run for job in self.jobs)

    def head(self) -> Job | None:
        """Returns the first job, or None if the queue is empty."""
        return self.jobs[0] if self.jobs else None

    def first_jobs(self, limit: int) -> Iterator[Job]:
        """Yields the first jobs in order.

        Args:
            limit: Maximum number of jobs.
        """
        yield from itertools.islice(self.jobs, limit)

    def _update_totals(self, job: Job, indices, sign: int) -> None:
        self.changes += 1
        self.waiting_tasks += sign * len(indices)
        self.classes.count_tasks(job, sign * len(indices))
        size = sum(len(job.payloads[i]) for i in indices)
        self.waiting_bytes += sign * size
        # The prior does not change while the job waits, so that the sum
        # returns to zero.
        self.waiting_work_s += sign * len(indices) * job.run_time.prior_s
        self._update_classes(job, len(indices), job.is_late, sign)

    def _update_classes(
        self, job: Job, tasks: int, is_late: bool, sign: int
    ) -> None:
        self.waiting_by_class.add(
            demand_class(job.queue_class, is_late),
            sign * tasks,
            sign * tasks * job.run_time.prior_s,
        )

    def _count_as_late(self, jobs: list[Job]) -> None:
        """Counts the waiting tasks of jobs that have become late as such."""
        for job in jobs:
            self._update_classes(job, len(job.waiting), False, -1)
            self._update_classes(job, len(job.waiting), True, 1)

    def _virtual_start(
        self, job: Job, now_s: float, work_s: float, throughput: float
    ) -> float:
        if not self.needs_throughput:
            return now_s
        virtual_time = self.virtual_times.setdefault(
            job.team, TeamVirtualTime()
        )
        active = sum(
            1
            for time in self.virtual_times.values()
            if time.virtual_finish_s > now_s
        )
        if len(self.virtual_times) > 2 * active + 64:
            self._forget_idle_teams(now_s)
        share = throughput / max(1, active)
        return virtual_time.assign_start(now_s, work_s, share)

    def _forget_idle_teams(self, now_s: float) -> None:
        self.virtual_times = {
            team: time
            for team, time in self.virtual_times.items()
            if time.virtual_finish_s > now_s
        }
