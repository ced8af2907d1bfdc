"""The jobs that an entry knows."""

from collections import OrderedDict

from sardinestair.ids import JobId
from sardinestair.jobs.job import Job

__all__ = ["JobRegistry"]


class JobRegistry:
    """Active jobs, and ended ones for a while.

    Ended jobs are kept so that a caller can fetch the answer again and a
    resubmission is attached to it. The oldest go first once the bound on
    bytes or the retention is passed.

    Args:
        retention_s: How long an ended job is kept, in seconds.
        max_bytes: Bound on the answers of ended jobs.

    Attributes:
        jobs: All known jobs.
        ended: Ended jobs in the order of their end, with their size in bytes.
    """

    def __init__(self, retention_s: float = 300.0, max_bytes: int = 64 << 20):
        self.retention_s = retention_s
        self.max_bytes = max_bytes
        self.jobs: dict[JobId, Job] = {}
        self.ended: OrderedDict[JobId, int] = OrderedDict()
        self.ended_bytes = 0

    def add(self, job: Job) -> None:
        """Adds a new job.

        Raises:
            AssertionError: If the id is known, which is a broken invariant.
        """
        assert job.job_id not in self.jobs, "a job was registered twice"
        self.jobs[job.job_id] = job

    def find(self, job_id: JobId) -> Job | None:
        """Returns a known job, or None."""
        return self.jobs.get(job_id)

    def remove(self, job_id: JobId) -> None:
        """Forgets a job."""
        self.jobs.pop(job_id, None)
        self.ended_bytes -= self.ended.pop(job_id, 0)

    def end(self, job: Job, now_s: float) -> None:
        """Takes note that a job has ended."""
        job.ended_s = now_s
        size = 1024 + sum(len(a.body) for a in job.answers if a is not None)
        self.ended[job.job_id] = size
        self.ended_bytes += size

    def expire(self, now_s: float) -> int:
        """Forgets ended jobs past their retention or over the bound.

        Args:
            now_s: The present, in seconds.

        Returns:
            How many were forgotten.
        """
        count = 0
        while self.ended:
            job_id, size = next(iter(self.ended.items()))
            job = self.jobs[job_id]
            old = now_s - job.ended_s >= self.retention_s
            if not old and self.ended_bytes <= self.max_bytes:
                break
            del self.ended[job_id]
            del self.jobs[job_id]
            self.ended_bytes -= size
            count += 1
        return count
