"""Policies that choose the upstream for a task.

All policies have the same three verbs: `observe` tells that a candidate's
credits, load or speed changed, `withdraw` that it is gone, and `decide`
chooses among the candidates that can take a task now.
"""

import enum
import itertools
import random
from collections.abc import Callable, Container, Iterable, Iterator
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
    "make_policy",
]


class PolicyName(enum.Enum):
    """The policies that settings can name."""

    LEAST_EXPECTED_FINISH = "least_expected_finish"
    LEAST_OUTSTANDING = "least_outstanding"
    POWER_OF_TWO_CHOICES = "power_of_two_choices"
    ROUND_ROBIN = "round_robin"


class WaitingTask(msgspec.Struct, frozen=True):
    """What a policy looks at of the task that is to be placed.

    Attributes:
        size_s: Expected run time on a typical upstream, in seconds.
        ahead: Waiting tasks that come before it.
        need: What it needs, or None if that was not said.
        avoid: Candidates that must not be chosen.
        is_late: True if its job can't be in time any more.
    """

    size_s: float
    ahead: int = 0
    need: Resources | None = None
    avoid: Container[Incarnation] = frozenset()
    is_late: bool = False


class PlacementPolicy(Protocol):
    """What each policy offers."""

    def observe(self, candidate: Candidate) -> None:
        """Takes note of a candidate that is new or has changed."""

    def withdraw(self, candidate: Candidate) -> None:
        """Forgets a candidate."""

    def decide(self, task: WaitingTask) -> Candidate | None:
        """Chooses a candidate whose credits cover the task.

        Returns:
            The choice, or None if the task should wait.
        """
        ...

    def accepts(self, candidate: Candidate, task: WaitingTask) -> bool:
        """Tells whether a task would start on a candidate with a credit."""
        ...


class _Ranked:
    """Candidates with credits, sorted by a rank that may change.

    Args:
        rank: Maps a candidate to its rank; smaller is better.
    """

    def __init__(self, rank):
        self.rank = rank
        self.items = SortedKeyList(key=lambda item: item[0])
        self.known: dict[Incarnation, tuple] = {}

    def set(self, candidate: Candidate, is_member: bool) -> None:
        old = self.known.pop(candidate.sidecar, None)
        if old is not None:
            self.items.remove(old)
        if is_member:
            key = (self.rank(candidate), candidate.sidecar)
            item = (key, candidate)
            self.known[candidate.sidecar] = item
            self.items.add(item)

    def best(self, task: WaitingTask) -> Candidate | None:
        ranked = (candidate for _, candidate in self.items)
        return next(_fitting(ranked, task), None)

    def worst(self, task: WaitingTask) -> Candidate | None:
        ranked = (candidate for _, candidate in reversed(self.items))
        return next(_fitting(ranked, task), None)


class LeastExpectedFinish:
    """Chooses the slot on which the task should end first.

    A task starts on the fastest upstream with a credit, unless waiting for a
    faster one should end in less than `margin` of the time. The wait counts
    the tasks ahead, those of the same job included, and the rate at which
    slots of faster upstreams become free.

    Args:
        margin: Share of the time below which waiting pays; 0 never waits.

    Examples:
        >>> policy = LeastExpectedFinish()
        >>> fast = Candidate(b"f" * 16, "quotes", "leinster", 8)
        >>> slow = Candidate(b"s" * 16, "quotes", "leinster", 8)
        >>> fast.credits = slow.credits = 1
        >>> slow.speed_ = 3.0
        >>> policy.observe(fast)
        >>> policy.observe(slow)
        >>> policy.decide(WaitingTask(size_s=0.1)) is fast
        True
    """

    MAX_FASTER = 16

    def __init__(self, margin: float = 0.6):
        self.margin = margin
        self.available = _Ranked(lambda c: c.speed_)
        self.busy = _Ranked(lambda c: c.speed_)

    def observe(self, candidate: Candidate) -> None:
        """Takes note of a candidate that is new or has changed."""
        self.available.set(candidate, candidate.credits > 0)
        is_busy = (
            candidate.credits < candidate.task_units_ and candidate.is_usable
        )
        self.busy.set(candidate, is_busy)

    def withdraw(self, candidate: Candidate) -> None:
        """Forgets a candidate."""
        self.available.set(candidate, False)
        self.busy.set(candidate, False)

    def decide(self, task: WaitingTask) -> Candidate | None:
        """Chooses the fastest candidate, or None if waiting should pay.

        A late job takes the slowest, and leaves the others to those in time.
        """
        if task.is_late:
            return self.available.worst(task)
        best = self.available.best(task)
        if best is None or not self.accepts(best, task):
            return None
        return best

    def accepts(self, candidate: Candidate, task: WaitingTask) -> bool:
        """Tells whether starting there beats waiting for a faster one."""
        if self.margin <= 0:
            return True
        limit_s = self.margin * task.size_s * candidate.speed_
        return self._finish_after_wait(candidate, task) >= limit_s

    def _finish_after_wait(self, best: Candidate, task: WaitingTask) -> float:
        """Expected time until the end on a faster upstream, in seconds."""
        ends_per_s = 0.0
        speed_sum = 0.0
        count = 0
        for _, candidate in itertools.islice(self.busy.items, self.MAX_FASTER):
            if candidate.speed_ >= best.speed_:
                break
            ends_per_s += candidate.tasks_at_a_time / candidate.run_s_
            speed_sum += candidate.speed_
            count += 1
        if count == 0:
            return float("inf")
        wait_s = (task.ahead + 1) / ends_per_s
        return wait_s + task.size_s * speed_sum / count


class _AcceptsAll:
    """Base of policies that never wait."""

    def accepts(self, candidate: Candidate, task: WaitingTask) -> bool:
        """Returns True."""
        return True


class LeastOutstanding(_AcceptsAll):
    """Chooses the upstream with the fewest tasks of this entry per slot."""

    def __init__(self) -> None:
        self.available = _Ranked(_load)

    def observe(self, candidate: Candidate) -> None:
        """Takes note of a candidate that is new or has changed."""
        self.available.set(candidate, candidate.credits > 0)

    def withdraw(self, candidate: Candidate) -> None:
        """Forgets a candidate."""
        self.available.set(candidate, False)

    def decide(self, task: WaitingTask) -> Candidate | None:
        """Chooses the least loaded candidate."""
        return self.available.best(task)


class _Listed(_AcceptsAll):
    """Base of policies that only need a list of available candidates."""

    def __init__(self) -> None:
        self.available: list[Candidate] = []
        self.position: dict[Incarnation, int] = {}

    def observe(self, candidate: Candidate) -> None:
        """Takes note of a candidate that is new or has changed."""
        listed = candidate.sidecar in self.position
        if candidate.credits > 0 and not listed:
            self.position[candidate.sidecar] = len(self.available)
            self.available.append(candidate)
        elif candidate.credits <= 0 and listed:
            self.withdraw(candidate)

    def withdraw(self, candidate: Candidate) -> None:
        """Forgets a candidate."""
        position = self.position.pop(candidate.sidecar, None)
        if position is None:
            return
        last = self.available.pop()
        if last is not candidate:
            self.available[position] = last
            self.position[last.sidecar] = position


class RoundRobin(_Listed):
    """Takes the candidates in turn."""

    def __init__(self) -> None:
        super().__init__()
        self.turn = 0

    def decide(self, task: WaitingTask) -> Candidate | None:
        """Chooses the next candidate in turn."""
        fitting = list(_fitting(self.available, task))
        if not fitting:
            return None
        self.turn += 1
        return fitting[self.turn % len(fitting)]


class PowerOfTwoChoices(_Listed):
    """Draws two candidates and takes the one with fewer tasks per slot.

    Args:
        seed: Seed of the draw.
    """

    def __init__(self, seed: int = 0):
        super().__init__()
        self.seed = seed
        self.random = random.Random(seed)

    def decide(self, task: WaitingTask) -> Candidate | None:
        """Chooses the less loaded one of two."""
        fitting = list(_fitting(self.available, task))
        if not fitting:
            return None
        pair = [self.random.choice(fitting) for _ in range(2)]
        return min(pair, key=_load)


def _fitting(
    candidates: Iterable[Candidate], task: WaitingTask
) -> Iterator[Candidate]:
    """Yields the candidates that can take a task, in their order."""
    for candidate in candidates:
        is_avoided = candidate.sidecar in task.avoid
        if not is_avoided and candidate.has_room(task.need):
            yield candidate


def _load(candidate: Candidate) -> float:
    """Returns this entry's tasks there against what the upstream can run."""
    return candidate.outstanding / max(1.0, candidate.tasks_at_a_time)


def make_policy(name: PolicyName, margin: float) -> PlacementPolicy:
    """Returns the policy that settings name.

    Args:
        name: The policy.
        margin: Share of the time below which waiting pays.

    Examples:
        >>> type(make_policy(PolicyName.ROUND_ROBIN, 0.6)).__name__
        'RoundRobin'
    """
    factories: dict[PolicyName, Callable[[], PlacementPolicy]] = {
        PolicyName.LEAST_EXPECTED_FINISH: lambda: LeastExpectedFinish(margin),
        PolicyName.LEAST_OUTSTANDING: LeastOutstanding,
        PolicyName.POWER_OF_TWO_CHOICES: PowerOfTwoChoices,
        PolicyName.ROUND_ROBIN: RoundRobin,
    }
    return factories[name]()
