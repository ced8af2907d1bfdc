"""Registry of the jobs of an entry."""

from collections import OrderedDict

from sardinestair.ids import JobId
from sardinestair.jobs.job import Job

__all__ = ["JobRegistry"]


class JobRegistry:
    """Holds the active jobs, and ended jobs for a limited time.

    Ended jobs are kept so that a caller can fetch the answer again, and so
    that a resubmission gets the same answer. The oldest are evicted when their
    retention is over or their total size exceeds the maximum.

    Args:
        retention_s: Time for which an ended job is kept, in seconds.
        max_bytes: Maximum total size of ended jobs in bytes.

    Attributes:
        jobs: All known jobs.
        ended: Sizes of the ended jobs in bytes, in the order of their end.
        ended_bytes: Total size of the ended jobs in bytes.
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
            AssertionError: If a job with the same id is known.
        """
        assert job.job_id not in self.jobs, "a job was registered twice"
        self.jobs[job.job_id] = job

    def find(self, job_id: JobId) -> Job | None:
        """Returns a known job, or None."""
        return self.jobs.get(job_id)

    def remove(self, job_id: JobId) -> None:
        """Removes a job."""
        self.jobs.pop(job_id, None)
        self.ended_bytes -= self.ended.pop(job_id, 0)

    def mark_ended(self, job: Job, now_s: float) -> None:
        """Marks a job as ended."""
        job.ended_s = now_s
        size = 1024 + sum(len(a.body) for a in job.answers if a is not None)
        self.ended[job.job_id] = size
        self.ended_bytes += size

    def evict(self, now_s: float) -> int:
        """Evicts ended jobs over the retention or the maximum size.

        Args:
            now_s: Current time in seconds.

        Returns:
            Number of evicted jobs.
        """
        count = 0
        while self.ended:
            job_id, size = next(iter(self.ended.items()))
            job = self.jobs[job_id]
            is_expired = now_s - job.ended_s >= self.retention_s
            if not is_expired and self.ended_bytes <= self.max_bytes:
                break
            del self.ended[job_id]
            del self.jobs[job_id]
            self.ended_bytes -= size
            count += 1
        return count
