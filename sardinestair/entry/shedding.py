"""Finds accepted jobs whose answer would come too late to be of use.

They are answered at once, so that their callers don't wait for nothing. A job
that has begun is not stopped: a caller without an answer sends it again, which
costs its work twice. It goes behind all jobs that can be in time.
"""

from sardinestair.jobs import Job
from sardinestair.placement import ReadyQueue

__all__ = ["useless_jobs"]


def useless_jobs(
    queue: ReadyQueue, tasks_per_s: float, now_s: float
) -> list[Job]:
    """Returns the jobs that have not begun and would end too late.

    The tasks that go before a late job are counted. Begun jobs that would end
    too late are moved behind all others.

    Args:
        queue: The waiting jobs of a service, by class.
        tasks_per_s: Tasks that the entry can start per second.
        now_s: Current time in seconds.
    """
    if tasks_per_s <= 0:
        return queue.no_longer_useful(now_s)
    queue.classes.demote_useless(now_s)
    ahead = sum(queue.classes.waiting_tasks.values())
    useless: list[Job] = []
    for job in queue.late_jobs(now_s):
        start_s = now_s + ahead / tasks_per_s
        if job.is_not_run and job.would_end_too_late(start_s):
            useless.append(job)
        else:
            ahead += len(job.waiting)
    return useless
