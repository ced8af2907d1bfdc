"""The waiting jobs that placement considers."""

from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

from sardinestair.jobs import CrashHistory, Job
from sardinestair.placement import ReadyQueue

__all__ = ["Lookahead", "WaitingJob"]

# Queued jobs that one placement considers: of each kind, and in total.
MAX_LOOKAHEAD_PER_KIND = 3
MAX_LOOKAHEAD_JOBS = 64


class WaitingJob(NamedTuple):
    """A job that placement considers.

    Attributes:
        job: The job.
        tasks_ahead: Number of waiting tasks that go before its last one, of
            the jobs considered. Tasks for a rack compete with each other for
            its upstreams, so that a job for one counts only these.
    """

    job: Job
    tasks_ahead: int


class Lookahead:
    """Chooses the first jobs of each kind, in queue order.

    Jobs of one kind have similar run times and needs: if the first few can't be
    placed, further ones can't either. The choice is kept until the queue
    changes, because it is needed for each upstream that gets room.

    Args:
        queue: The waiting jobs.
        crashes: Crashes of upstreams, by task.
        must_spare: Returns True if more upstreams are gone than may be taken
            out for failing. A task that may have caused a crash waits then, so
            that the others are spared.

    Attributes:
        kept: The jobs that were chosen last.
        kept_version: Version of the queue that they are of; None if they can't
            be used again.
    """

    def __init__(
        self,
        queue: ReadyQueue,
        crashes: CrashHistory,
        must_spare: Callable[[], bool],
    ):
        self.queue = queue
        self.crashes = crashes
        self.must_spare = must_spare
        self.kept: list[WaitingJob] = []
        self.kept_version: int | None = None

    def jobs(self) -> list[WaitingJob]:
        """Returns the jobs that placement considers."""
        if self.crashes.tasks:
            # Whether a job must wait depends on more than the queue.
            self.kept_version = None
            return self._choose()
        if self.kept_version != self.queue.version:
            self.kept = self._choose()
            self.kept_version = self.queue.version
        return self.kept

    def _choose(self) -> list[WaitingJob]:
        seen: Counter[tuple[str, bool, str]] = Counter()
        ahead: Counter[str] = Counter()
        total = 0
        chosen: list[WaitingJob] = []
        for job in self.queue.first_jobs(MAX_LOOKAHEAD_JOBS):
            if self._must_wait(job):
                continue
            group = (job.kind, job.is_late, job.rack)
            seen[group] += 1
            if seen[group] > MAX_LOOKAHEAD_PER_KIND:
                continue
            waiting = len(job.waiting)
            total += waiting
            ahead[job.rack] += waiting
            of_rack = ahead[job.rack] if job.rack else total
            chosen.append(WaitingJob(job, of_rack - 1))
        return chosen

    def _must_wait(self, job: Job) -> bool:
        """Returns True if a job's next task might crash one upstream too many.

        A task that may have caused a crash waits while too many are gone.
        """
        if not self.crashes.find(job.job_id, job.waiting[0]):
            return False
        return self.must_spare()
