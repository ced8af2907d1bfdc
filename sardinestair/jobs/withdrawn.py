"""Ids of jobs that their callers have cancelled."""

from collections import OrderedDict
from collections.abc import Iterable

from sardinestair.ids import JobId

__all__ = ["WithdrawnJobs"]

# 16 KB in a message to another entry.
MAX_SHARED = 1000
MAX_KEPT = 100_000


class WithdrawnJobs:
    """Remembers cancelled jobs, so that no later submission runs them.

    Any entry may get the request to cancel a job, or a late duplicate of its
    submission. So each reports to the others what its callers have cancelled.

    Args:
        retention_s: Time for which an id is kept, in seconds.

    Attributes:
        added_s: When each id was added, in order.
        own: When ids were added that callers have cancelled at this entry.

    Examples:
        >>> withdrawn = WithdrawnJobs(retention_s=15.0)
        >>> withdrawn.add([JobId(b"j" * 16)], now_s=0.0)
        [b'jjjjjjjjjjjjjjjj']
        >>> JobId(b"j" * 16) in withdrawn
        True
    """

    def __init__(self, retention_s: float):
        self.retention_s = retention_s
        self.added_s: OrderedDict[JobId, float] = OrderedDict()
        self.own: OrderedDict[JobId, float] = OrderedDict()

    def __contains__(self, job_id: JobId) -> bool:
        """Returns True if the job has been cancelled."""
        return job_id in self.added_s

    def add(
        self, job_ids: Iterable[JobId], now_s: float, is_own: bool = False
    ) -> list[JobId]:
        """Adds jobs.

        Args:
            job_ids: Their ids.
            now_s: Current time in seconds.
            is_own: True if a caller of this entry has cancelled them.

        Returns:
            The ids that were not known before.
        """
        new = [job_id for job_id in job_ids if job_id not in self.added_s]
        self.added_s.update(dict.fromkeys(new, now_s))
        if is_own:
            self.own.update(dict.fromkeys(job_ids, now_s))
        self.evict(now_s)
        return new

    def recent(self, now_s: float, within_s: float) -> list[JobId]:
        """Returns the latest ids that callers have cancelled at this entry.

        Args:
            now_s: Current time in seconds.
            within_s: How long ago they were cancelled at most, in seconds.
        """
        while self.own:
            job_id, added_s = next(iter(self.own.items()))
            if now_s - added_s <= within_s and len(self.own) <= MAX_SHARED:
                break
            del self.own[job_id]
        return list(self.own)

    def evict(self, now_s: float) -> None:
        """Forgets ids over the retention or the maximum number."""
        while self.added_s:
            job_id, added_s = next(iter(self.added_s.items()))
            is_expired = now_s - added_s >= self.retention_s
            if not is_expired and len(self.added_s) <= MAX_KEPT:
                break
            del self.added_s[job_id]
