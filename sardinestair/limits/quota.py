"""Rate limits of teams, divided among the entries."""

from expression import Error, Ok, Result

from sardinestair.outcomes import Problem, ProblemKind

__all__ = ["TeamQuota"]

BURST_S = 1.0
MIN_BURST_TASKS = 930.0


class TeamQuota:
    """Token bucket that limits the tasks per second of one team at one entry.

    A full bucket holds the tokens of `BURST_S`, and at least enough for a job
    of the maximum size, so that a job of any size can be admitted.

    Args:
        tasks_per_s: The team's quota over all entries.

    Attributes:
        tokens_: Number of tasks that the team may submit now.
        last_refill_s_: Time of the last refill, on the entry's clock.

    Examples:
        >>> quota = TeamQuota(tasks_per_s=10.0)
        >>> quota.try_acquire("tills", 930, share=1.0, now_s=0.0).is_ok()
        True
        >>> refused = quota.try_acquire("tills", 5, share=1.0, now_s=0.1)
        >>> refused.error.retry_after_s
        0.4
    """

    def __init__(self, tasks_per_s: float):
        self.tasks_per_s = tasks_per_s
        self.tokens_ = self._capacity(1.0)
        self.last_refill_s_ = 0.0

    def try_acquire(
        self, team: str, tasks: int, share: float, now_s: float
    ) -> Result[None, Problem]:
        """Takes the tokens for a job, if there are enough.

        Args:
            team: Name of the team.
            tasks: Number of tasks of the job.
            share: Fraction of the quota that this entry may grant.
            now_s: Current time in seconds.

        Returns:
            Ok, or the problem that the caller receives.
        """
        rate = max(self.tasks_per_s * share, 1e-9)
        refill = (now_s - self.last_refill_s_) * rate
        self.tokens_ = min(self.tokens_ + refill, self._capacity(share))
        self.last_refill_s_ = now_s
        if self.tokens_ >= tasks:
            self.tokens_ -= tasks
            return Ok(None)
        wait_s = (tasks - self.tokens_) / rate
        return Error(
            Problem(
                ProblemKind.QUOTA,
                f"team {team} has a quota of {self.tasks_per_s:g} tasks/s",
                not_run=True,
                field="team",
                retry_after_s=round(wait_s, 1),
            )
        )

    def _capacity(self, share: float) -> float:
        return max(self.tasks_per_s * share * BURST_S, MIN_BURST_TASKS)
