"""Placement by the objective of a job.

A job is in time only if its slowest task is. So a task isn't started on an
upstream that would make its job late while a faster one should have room soon
enough.
"""

import itertools
import math

from sardinestair.placement.candidate import Candidate
from sardinestair.placement.policies import (
    LeastExpectedFinish,
    WaitingTask,
    _RankedCandidates,
)

__all__ = ["MESSAGING_S", "MeetObjective", "remoteness"]

MESSAGING_S = 0.015
"""Allowance for the messages of a task, from its start to its job's answer."""

# Slowdown by which an upstream of the own zone may exceed one of another zone
# and still be preferred: less than what estimates of equal upstreams differ by.
OTHER_ZONE_FACTOR = 1.03


def remoteness(candidate: Candidate, rack: str, factor: float) -> float:
    """Returns the factor by which a task takes longer off its rack.

    Args:
        candidate: The upstream.
        rack: Rack of the task's data, or empty if there is none.
        factor: The factor on other racks.
    """
    if rack and candidate.rack and candidate.rack != rack:
        return factor
    return 1.0


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
    - A task whose data is on a rack starts on that rack if it has credits
      there. Otherwise it waits for the rack by the same rules, where the other
      upstreams count as slower by the task's `remote_factor`.

    Among upstreams of nearly the same speed, those of the own zone go first.

    Args:
        wait_margin: As in `LeastExpectedFinish`.
        zone: The entry's availability zone, or empty if zones don't count.

    Attributes:
        deferrals: Number of times that a task was left waiting for a faster
            upstream although another had credits.
        racks: The candidates of each rack.

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

    def __init__(self, wait_margin: float = 0.6, zone: str = ""):
        super().__init__(wait_margin)
        self.zone = zone
        self.available = _RankedCandidates(self._rank)
        self.deferrals = 0
        self.racks: dict[str, MeetObjective] = {}

    def _rank(self, candidate: Candidate) -> float:
        if not self.zone or candidate.zone == self.zone:
            return candidate.slowdown_
        return candidate.slowdown_ * OTHER_ZONE_FACTOR

    def update(self, candidate: Candidate) -> None:
        """Adds a candidate, or updates one that has changed."""
        super().update(candidate)
        if candidate.rack:
            self._rack(candidate.rack).update_rack(candidate)

    def update_rack(self, candidate: Candidate) -> None:
        """Adds or updates a candidate in the policy of its rack."""
        super().update(candidate)

    def remove(self, candidate: Candidate) -> None:
        """Removes a candidate."""
        super().remove(candidate)
        if candidate.rack:
            LeastExpectedFinish.remove(self._rack(candidate.rack), candidate)

    def _rack(self, name: str) -> "MeetObjective":
        rack = self.racks.get(name)
        if rack is None:
            rack = self.racks[name] = MeetObjective(self.wait_margin, self.zone)
        return rack

    def select(self, task: WaitingTask) -> Candidate | None:
        """Chooses a candidate, or None if the task should wait."""
        rack = self.racks.get(task.rack)
        if rack is not None and task.remote_factor > 1:
            local = rack.available.best(task)
            if local is not None:
                return local
            best = self.available.best(task)
        elif task.is_late:
            return self.available.worst(task)
        else:
            best = self.available.best(task)
        if best is None:
            return None
        if not self.should_start(best, task):
            self.deferrals += 1
            return None
        return best

    def should_start(self, candidate: Candidate, task: WaitingTask) -> bool:
        """Returns True unless the task should wait for a faster upstream."""
        remote = remoteness(candidate, task.rack, task.remote_factor)
        rack = self.racks.get(task.rack)
        if remote > 1 and rack is not None:
            # Whether upstreams of the rack are worth the wait.
            return rack.is_enough(remote * candidate.slowdown_, task)
        return self.is_enough(candidate.slowdown_, task)

    def is_enough(self, slowdown: float, task: WaitingTask) -> bool:
        """Returns True if waiting for one of the candidates gains too little.

        Args:
            slowdown: Slowdown of the task where it can start now.
            task: The task.
        """
        if slowdown > task.max_slowdown and not task.is_late:
            end_s = self._expected_end_s(
                task, task.mean_run_s, min(slowdown, task.max_slowdown)
            )
            if end_s <= task.remaining_s:
                return False
        if self.wait_margin <= 0:
            return True
        limit_s = self.wait_margin * task.expected_run_s * slowdown
        end_s = self._expected_end_s(task, task.expected_run_s, slowdown)
        return end_s >= limit_s

    def _expected_end_s(
        self, task: WaitingTask, run_s: float, max_slowdown: float
    ) -> float:
        """Returns the expected time to completion if the task waits.

        Args:
            task: The task.
            run_s: Its run time on a typical upstream, in seconds.
            max_slowdown: Only faster upstreams count.

        Returns:
            The time in seconds; infinite if there is no such upstream.
        """
        faster = self.busy.count_below(max_slowdown)
        if faster == 0:
            return math.inf
        completions_per_s = slowdown_sum = 0.0
        count = min(faster, self.MAX_FASTER_UPSTREAMS)
        for _, candidate in itertools.islice(self.busy.items, count):
            completions_per_s += candidate.concurrency / candidate.mean_run_s_
            slowdown_sum += candidate.slowdown_
        completions_per_s *= task.share * faster / count
        wait_s = (task.tasks_ahead + 1) / completions_per_s
        return wait_s + run_s * slowdown_sum / count
