"""Decides which class of demand the free room of an upstream goes to.

The load it answers: urgent short tasks beside longer ones of other callers,
while together they want more than there is.
"""

from collections import Counter
from collections.abc import Mapping

__all__ = [
    "LATE_CLASS",
    "REST_CLASS",
    "ClassGuarantee",
    "demand_class",
    "is_late_class",
    "priority_of",
]

REST_CLASS = 100
"""Class of waiting tasks of which only the number is known: the least urgent
priority that settings allow."""

LATE_CLASS = REST_CLASS + 1
"""First class of late jobs; they go behind all that can still be in time."""

# Part of the room that a class is sure of while more urgent ones want all.
MIN_CLASS_SHARE = 0.05
# Bounds what a class saves up while it has only small demand, in grants.
MAX_OWED_GRANTS = 2


def demand_class(priority: int, is_late: bool) -> int:
    """Returns the class of a job's demand; a smaller one goes first.

    Args:
        priority: Priority of the job.
        is_late: True if it can no longer meet its objective.
    """
    return priority + LATE_CLASS if is_late else priority


def is_late_class(number: int) -> bool:
    """Returns True if a class is one of late jobs."""
    return number >= LATE_CLASS


def priority_of(number: int) -> int:
    """Returns the priority of the jobs of a class, late or not."""
    return number % LATE_CLASS


class ClassGuarantee:
    """Chooses the most urgent class, and keeps a small share for the others.

    Each unit that is granted while less urgent classes want room as well adds
    `min_share` of a unit to what each of them is owed. A class that is owed a
    whole grant goes first. Late jobs are owed nothing, since nearly nothing is
    lost by them.

    Args:
        min_share: Share of the room that each class is sure of.

    Attributes:
        owed_units: Units that each class is owed.
        granted_units: Units granted to each class while others wanted room as
            well.

    Examples:
        >>> guarantee = ClassGuarantee(min_share=0.25)
        >>> wanted = {0: 1, 2: 1}
        >>> order = []
        >>> for _ in range(6):
        ...     order.append(guarantee.next_class(wanted))
        ...     guarantee.observe_grant(order[-1], 1, wanted)
        >>> order
        [0, 0, 0, 0, 2, 0]
    """

    def __init__(self, min_share: float = MIN_CLASS_SHARE):
        self.min_share = min_share
        self.owed_units: dict[int, float] = {}
        self.granted_units: Counter[int] = Counter()

    def next_class(self, wanted: Mapping[int, int]) -> int:
        """Returns the class that the next grant goes to.

        Args:
            wanted: Units of the next grant to each class that wants room.
        """
        due = [
            number
            for number, units in wanted.items()
            if self.owed_units.get(number, 0.0) >= units
        ]
        return min(due or wanted)

    def observe_grant(
        self, granted: int, units: int, wanted: Mapping[int, int]
    ) -> None:
        """Records a grant.

        Args:
            granted: The class that it went to.
            units: Its size.
            wanted: Units of the next grant to each class that wanted room.
        """
        self.granted_units[granted] += units
        if granted in self.owed_units:
            left = self.owed_units[granted] - units
            self.owed_units[granted] = max(0.0, left)
        for number, next_units in wanted.items():
            if granted < number < REST_CLASS:
                owed = self.owed_units.get(number, 0.0) + self.min_share * units
                limit = MAX_OWED_GRANTS * next_units
                self.owed_units[number] = min(owed, limit)
