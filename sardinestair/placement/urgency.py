"""Order of waiting jobs by urgency class.

A class holds the jobs of one priority. Of jobs that can be in time the more
urgent class goes first, and within a class the latest start decides. A job that
has begun keeps its class when its latest start passes, and is completed first.
One that has not begun, or of which a run was lost, is late then, and goes
behind all classes.
"""

from collections import defaultdict

from sortedcontainers import SortedKeyList

from sardinestair.jobs.job import Job

__all__ = ["CLASS_OFFSET_S", "LATE_CLASS_OFFSET_S", "ClassOrder", "class_key"]

# Added to the order key for each step of priority. Longer than any deadline, so
# that a job stays behind all jobs of a more urgent class.
CLASS_OFFSET_S = 86400.0
# Added to the order key of late jobs. Greater than the offset of any class.
LATE_CLASS_OFFSET_S = 1000 * CLASS_OFFSET_S
# Subtracted from the order key of a begun job that is past its latest start.
# Longer than any deadline, and shorter than the distance of two classes.
BEGUN_OFFSET_S = CLASS_OFFSET_S / 4

LAST_JOB_ID = b"\xff" * 16


def class_key(job: Job) -> float:
    """Returns the order key of a job that is not late, in seconds."""
    return job.latest_start_s + CLASS_OFFSET_S * job.queue_class


class ClassOrder:
    """Keeps the jobs of a queue in order of their classes as time passes.

    Args:
        jobs: The jobs of the queue, sorted by order key and id.

    Attributes:
        waiting_tasks: Number of waiting tasks of jobs that are not late, by
            class.
        waiting_jobs: Number of these jobs, by class.
        moves: Number of times that a job was moved.
    """

    def __init__(self, jobs: SortedKeyList):
        self.jobs = jobs
        self.waiting_tasks: defaultdict[int, int] = defaultdict(int)
        self.waiting_jobs: defaultdict[int, int] = defaultdict(int)
        self.moves = 0

    def count_job(self, job: Job, sign: int) -> None:
        """Counts a job that was added to the queue, or removed from it."""
        if not job.is_late:
            self.waiting_jobs[job.queue_class] += sign

    def count_tasks(self, job: Job, count: int) -> None:
        """Counts tasks that now wait, or no longer do if it is negative."""
        if not job.is_late:
            self.waiting_tasks[job.queue_class] += count

    def demote_late(self, now_s: float) -> list[Job]:
        """Moves jobs that have passed their latest start.

        Returns:
            The jobs that are now late.
        """
        late: list[Job] = []
        for queue_class, count in list(self.waiting_jobs.items()):
            if count:
                self._demote_class(queue_class, now_s, late)
        return late

    def _demote_class(
        self, queue_class: int, now_s: float, late: list[Job]
    ) -> None:
        limit_s = now_s + CLASS_OFFSET_S * queue_class
        first = self.jobs.bisect_key_left((limit_s - BEGUN_OFFSET_S / 2, b""))
        while first < len(self.jobs):
            job = self.jobs[first]
            if job.order_key_s >= limit_s:
                return
            if job.is_not_run or job.is_repeated:
                self.demote(job)
                late.append(job)
            else:
                self.moves += 1
                self.jobs.remove(job)
                job.order_key_s -= BEGUN_OFFSET_S
                self.jobs.add(job)
                first += 1

    def demote(self, job: Job) -> None:
        """Moves a job behind all that can be in time."""
        self.moves += 1
        self.jobs.remove(job)
        self.count_job(job, -1)
        self.count_tasks(job, -len(job.waiting))
        job.is_late = True
        job.order_key_s = class_key(job) + LATE_CLASS_OFFSET_S
        self.jobs.add(job)

    def demote_useless(self, now_s: float) -> None:
        """Demotes begun jobs that lost a run, or would end too late to help."""
        for queue_class, count in list(self.waiting_jobs.items()):
            if not count:
                continue
            start_s = now_s + CLASS_OFFSET_S * queue_class
            overdue = self.jobs.irange_key(
                (start_s - CLASS_OFFSET_S / 2, b""),
                (start_s - BEGUN_OFFSET_S / 2, b""),
            )
            for job in list(overdue):
                if job.is_repeated or job.would_end_too_late(now_s):
                    self.demote(job)

    def tasks_ahead(self, queue_class: int, latest_start_s: float) -> float:
        """Returns the number of tasks that go before a new job.

        Within its class it is estimated as the share of the jobs that go first
        of the class's tasks.

        Args:
            queue_class: Class of the job.
            latest_start_s: Latest start at which it is in time, on the entry's
                clock.
        """
        ahead = float(
            sum(
                tasks
                for number, tasks in self.waiting_tasks.items()
                if number < queue_class
            )
        )
        count = self.waiting_jobs[queue_class]
        if not count:
            return ahead
        key_s = latest_start_s + CLASS_OFFSET_S * queue_class
        first = self.jobs.bisect_key_left((key_s - CLASS_OFFSET_S / 2, b""))
        position = self.jobs.bisect_key_right((key_s, LAST_JOB_ID))
        share = (position - first) / count
        return ahead + share * self.waiting_tasks[queue_class]
