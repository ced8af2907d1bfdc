"""Load-balancing policies that choose the upstream for a task.

`update` adds a candidate or updates its credits, load or slowdown, `remove`
removes it, and `select` chooses among the candidates that have enough credits
for the task.
"""

import enum
import itertools
import math
import random
from collections.abc import Container, Iterable, Iterator
from typing import Protocol

import msgspec
from sortedcontainers import SortedKeyList

from sardinestair.ids import Incarnation
from sardinestair.limits.resources import Resources
from sardinestair.placement.candidate import Candidate

__all__ = [
    "LeastExpectedFinish",
    "LeastOutstanding",
    "PlacementPolicy",
    "PolicyName",
    "PowerOfTwoChoices",
    "RoundRobin",
    "WaitingTask",
]


class PolicyName(enum.Enum):
    """Values of the setting `policy`."""

    LEAST_EXPECTED_FINISH = "least_expected_finish"
    LEAST_OUTSTANDING = "least_outstanding"
    MEET_OBJECTIVE = "meet_objective"
    POWER_OF_TWO_CHOICES = "power_of_two_choices"
    ROUND_ROBIN = "round_robin"


class WaitingTask(msgspec.Struct, frozen=True):
    """The properties of a waiting task that policies use.

    Attributes:
        expected_run_s: Expected run time on a typical upstream, in seconds.
        tasks_ahead: Number of waiting tasks that are ahead of it in the queue.
        need: Resources that it needs, or None if not specified.
        excluded: Sidecars whose upstreams must not be chosen.
        is_late: True if its job can no longer meet its objective.
        mean_run_s: Mean run time of its job's tasks on a typical upstream, in
            seconds.
        remaining_s: Time left in which it must end for its job to meet the
            objective, in seconds.
        share: Share of the upstreams' completions that this entry can expect.
        rack: Rack on which it runs faster, or empty if there is none.
        remote_factor: Factor by which it takes longer on other racks.
    """

    expected_run_s: float
    tasks_ahead: int = 0
    need: Resources | None = None
    excluded: Container[Incarnation] = frozenset()
    is_late: bool = False
    mean_run_s: float = 0.0
    remaining_s: float = math.inf
    share: float = 1.0
    rack: str = ""
    remote_factor: float = 1.0

    @property
    def max_slowdown(self) -> float:
        """Greatest slowdown with which its job meets the objective.

        It is below zero if the time has passed.
        """
        if self.mean_run_s <= 0:
            return math.inf
        return self.remaining_s / self.mean_run_s


class PlacementPolicy(Protocol):
    """Interface of the load-balancing policies."""

    def update(self, candidate: Candidate) -> None:
        """Adds a candidate, or updates one that has changed."""

    def remove(self, candidate: Candidate) -> None:
        """Removes a candidate."""

    def has_available(self) -> bool:
        """Returns False if no candidate has any credits."""
        ...

    def select(self, task: WaitingTask) -> Candidate | None:
        """Chooses a candidate with enough credits for the task.

        Returns:
            The candidate, or None if the task should wait.
        """
        ...

    def should_start(self, candidate: Candidate, task: WaitingTask) -> bool:
        """Returns True if the task should start there rather than wait.

        The candidate's credits are not checked.
        """
        ...


class _RankedCandidates:
    """A set of candidates, sorted by a rank that may change.

    Args:
        rank: Returns the rank of a candidate; smaller is better.
    """

    def __init__(self, rank):
        self.rank = rank
        self.items = SortedKeyList(key=lambda item: item[0])
        self.items_by_sidecar: dict[Incarnation, tuple] = {}

    def update(self, candidate: Candidate, is_eligible: bool) -> None:
        key = (self.rank(candidate), candidate.sidecar)
        old = self.items_by_sidecar.get(candidate.sidecar)
        if old is not None:
            if is_eligible and old[0] == key and old[1] is candidate:
                return
            del self.items_by_sidecar[candidate.sidecar]
            self.items.remove(old)
        if is_eligible:
            item = (key, candidate)
            self.items_by_sidecar[candidate.sidecar] = item
            self.items.add(item)

    def best(self, task: WaitingTask) -> Candidate | None:
        ranked = (candidate for _, candidate in self.items)
        return next(_eligible(ranked, task), None)

    def worst(self, task: WaitingTask) -> Candidate | None:
        ranked = (candidate for _, candidate in reversed(self.items))
        return next(_eligible(ranked, task), None)

    def count_below(self, rank: float) -> int:
        return self.items.bisect_key_left((rank, b""))


class LeastExpectedFinish:
    """Chooses the upstream with the earliest expected completion.

    A task starts on the fastest upstream with credits, unless waiting for a
    faster one is expected to complete it in less than `wait_margin` of the
    time. The expected wait is the number of tasks ahead, including those of
    the same job, divided by the rate at which slots of faster upstreams
    become free.

    Args:
        wait_margin: Fraction of the expected run time on the chosen
            upstream below which the task waits for a faster one; 0 never
            waits.

    Attributes:
        available: Candidates with credits, the fastest first.
        busy: Usable candidates with a capacity, but without enough credits
            for an average task, the fastest first.

    Examples:
        >>> policy = LeastExpectedFinish()
        >>> fast = Candidate(b"f" * 16, "quotes", "leinster", 8)
        >>> slow = Candidate(b"s" * 16, "quotes", "leinster", 8)
        >>> fast.credits = slow.credits = 1
        >>> slow.slowdown_ = 3.0
        >>> policy.update(fast)
        >>> policy.update(slow)
        >>> policy.select(WaitingTask(expected_run_s=0.1)) is fast
        True
    """

    MAX_FASTER_UPSTREAMS = 16

    def __init__(self, wait_margin: float = 0.6):
        self.wait_margin = wait_margin
        self.available = _RankedCandidates(lambda c: c.slowdown_)
        self.busy = _RankedCandidates(lambda c: c.slowdown_)

    def update(self, candidate: Candidate) -> None:
        """Adds a candidate, or updates one that has changed."""
        self.available.update(candidate, candidate.credits > 0)
        is_busy = (
            candidate.is_usable
            and candidate.concurrency > 0
            and candidate.credits < candidate.mean_task_units
        )
        self.busy.update(candidate, is_busy)

    def remove(self, candidate: Candidate) -> None:
        """Removes a candidate."""
        self.available.update(candidate, False)
        self.busy.update(candidate, False)

    def has_available(self) -> bool:
        """Returns False if no candidate has any credits."""
        return bool(self.available.items)

    def select(self, task: WaitingTask) -> Candidate | None:
        """Chooses the fastest candidate, or None if the task should wait.

        A task of a late job goes to the slowest candidate, which leaves the
        faster ones to jobs that can still meet their objective.
        """
        if task.is_late:
            return self.available.worst(task)
        best = self.available.best(task)
        if best is None or not self.should_start(best, task):
            return None
        return best

    def should_start(self, candidate: Candidate, task: WaitingTask) -> bool:
        """Returns True if waiting for a faster upstream gains too little."""
        if self.wait_margin <= 0:
            return True
        limit_s = self.wait_margin * task.expected_run_s * candidate.slowdown_
        return self._expected_finish_s(candidate, task) >= limit_s

    def _expected_finish_s(self, best: Candidate, task: WaitingTask) -> float:
        """Returns the expected time to completion if the task waits.

        The time is in seconds, and infinite if no upstream is faster.
        """
        completions_per_s = 0.0
        slowdown_sum = 0.0
        count = 0
        for _, candidate in itertools.islice(
            self.busy.items, self.MAX_FASTER_UPSTREAMS
        ):
            if candidate.slowdown_ >= best.slowdown_:
                break
            completions_per_s += candidate.concurrency / candidate.mean_run_s_
            slowdown_sum += candidate.slowdown_
            count += 1
        if count == 0:
            return float("inf")
        wait_s = (task.tasks_ahead + 1) / completions_per_s
        return wait_s + task.expected_run_s * slowdown_sum / count


class _NeverWaits:
    """Base class of policies that never make a task wait."""

    def should_start(self, candidate: Candidate, task: WaitingTask) -> bool:
        """Returns True."""
        return True


class LeastOutstanding(_NeverWaits):
    """Chooses the upstream with the lowest load from this entry.

    The load is the number of tasks in flight per task that the upstream can
    run concurrently.
    """

    def __init__(self) -> None:
        self.available = _RankedCandidates(_relative_load)

    def update(self, candidate: Candidate) -> None:
        """Adds a candidate, or updates one that has changed."""
        self.available.update(candidate, candidate.credits > 0)

    def remove(self, candidate: Candidate) -> None:
        """Removes a candidate."""
        self.available.update(candidate, False)

    def has_available(self) -> bool:
        """Returns False if no candidate has any credits."""
        return bool(self.available.items)

    def select(self, task: WaitingTask) -> Candidate | None:
        """Chooses the candidate with the lowest load."""
        return self.available.best(task)


class _UnrankedPolicy(_NeverWaits):
    """Base class of policies that need no order among candidates."""

    def __init__(self) -> None:
        self.available: list[Candidate] = []
        self.positions: dict[Incarnation, int] = {}

    def update(self, candidate: Candidate) -> None:
        """Adds a candidate, or updates one that has changed."""
        listed = candidate.sidecar in self.positions
        if candidate.credits > 0 and not listed:
            self.positions[candidate.sidecar] = len(self.available)
            self.available.append(candidate)
        elif candidate.credits <= 0 and listed:
            self.remove(candidate)

    def remove(self, candidate: Candidate) -> None:
        """Removes a candidate."""
        position = self.positions.pop(candidate.sidecar, None)
        if position is None:
            return
        last = self.available.pop()
        if last is not candidate:
            self.available[position] = last
            self.positions[last.sidecar] = position

    def has_available(self) -> bool:
        """Returns False if no candidate has any credits."""
        return bool(self.available)


class RoundRobin(_UnrankedPolicy):
    """Chooses the candidates in turn."""

    def __init__(self) -> None:
        super().__init__()
        self.counter = 0

    def select(self, task: WaitingTask) -> Candidate | None:
        """Chooses the next candidate."""
        eligible = list(_eligible(self.available, task))
        if not eligible:
            return None
        self.counter += 1
        return eligible[self.counter % len(eligible)]


class PowerOfTwoChoices(_UnrankedPolicy):
    """Draws two candidates at random and chooses the less loaded one.

    Args:
        seed: Seed of the random number generator.
    """

    def __init__(self, seed: int = 0):
        super().__init__()
        self.seed = seed
        self.random = random.Random(seed)

    def select(self, task: WaitingTask) -> Candidate | None:
        """Chooses the less loaded of two random candidates."""
        eligible = list(_eligible(self.available, task))
        if not eligible:
            return None
        pair = [self.random.choice(eligible) for _ in range(2)]
        return min(pair, key=_relative_load)


def _eligible(
    candidates: Iterable[Candidate], task: WaitingTask
) -> Iterator[Candidate]:
    """Yields the candidates that have enough credits, in the given order.

    Candidates that the task excludes are skipped.
    """
    for candidate in candidates:
        is_excluded = candidate.sidecar in task.excluded
        if not is_excluded and candidate.has_credits_for(task.need):
            yield candidate


def _relative_load(candidate: Candidate) -> float:
    """Returns this entry's in-flight tasks relative to the concurrency."""
    return candidate.outstanding / max(1.0, candidate.concurrency)
