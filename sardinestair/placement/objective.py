"""Placement by the objective of a job.

A job is in time only if its slowest task is. So a task isn't started on an
upstream that would make its job late while a faster one should have room soon
enough.
"""

import itertools
import math

from sardinestair.placement.candidate import Candidate
from sardinestair.placement.policies import LeastExpectedFinish, WaitingTask

__all__ = ["MESSAGING_S", "MeetObjective"]

MESSAGING_S = 0.015
"""Allowance for the messages of a task, from its start to its job's answer."""


class MeetObjective(LeastExpectedFinish):
    """Chooses an upstream on which the task's job meets its objective.

    - A task starts on the fastest upstream with credits, as with
      `LeastExpectedFinish`, if its job would be in time.
    - A task that would be late there waits, if a faster upstream is expected to
      have room while the task can still end in time on it. Only the share of
      the completions that this entry can expect counts.
    - If none is, the objective decides nothing, so that slow upstreams are not
      left idle in a shortage.
    - A task of a job that is late anyway starts on the slowest upstream.

    Args:
        wait_margin: As in `LeastExpectedFinish`.

    Attributes:
        deferrals: Number of times that a task was left waiting for a faster
            upstream although another had credits.

    Examples:
        >>> policy = MeetObjective(wait_margin=0)
        >>> fast = Candidate(b"f" * 16, "quotes", "leinster", 8)
        >>> slow = Candidate(b"s" * 16, "quotes", "leinster", 8)
        >>> slow.slowdown_, slow.credits = 3.0, 1
        >>> policy.update(fast)
        >>> policy.update(slow)
        >>> policy.select(WaitingTask(1.0, mean_run_s=1.0, remaining_s=2.0))
        >>> late = WaitingTask(1.0, mean_run_s=1.0, remaining_s=1.0)
        >>> policy.select(late) is slow
        True
    """

    def __init__(self, wait_margin: float = 0.6):
        super().__init__(wait_margin)
        self.deferrals = 0

    def select(self, task: WaitingTask) -> Candidate | None:
        """Chooses a candidate, or None if the task should wait."""
        chosen = super().select(task)
        if chosen is None and self.available.best(task) is not None:
            self.deferrals += 1
        return chosen

    def should_start(self, candidate: Candidate, task: WaitingTask) -> bool:
        """Returns True unless the task should wait for a faster upstream."""
        if candidate.slowdown_ > task.max_slowdown:
            finish_s = self._expected_finish_s(
                candidate, task, task.max_slowdown
            )
            if finish_s <= task.remaining_s:
                return False
        return super().should_start(candidate, task)

    def _expected_finish_s(
        self,
        best: Candidate,
        task: WaitingTask,
        max_slowdown: float = math.inf,
    ) -> float:
        """Returns the expected time to completion on a faster upstream.

        Args:
            best: The best candidate with credits.
            task: The task.
            max_slowdown: Only upstreams up to this slowdown count.

        Returns:
            The time in seconds; infinite if there is no such upstream.
        """
        faster = self.busy.count_below(min(best.slowdown_, max_slowdown))
        if faster == 0:
            return math.inf
        completions_per_s = slowdown_sum = 0.0
        count = min(faster, self.MAX_FASTER_UPSTREAMS)
        for _, candidate in itertools.islice(self.busy.items, count):
            completions_per_s += candidate.concurrency / candidate.mean_run_s_
            slowdown_sum += candidate.slowdown_
        completions_per_s *= task.share * faster / count
        wait_s = (task.tasks_ahead + 1) / completions_per_s
        return wait_s + task.mean_run_s * slowdown_sum / count
