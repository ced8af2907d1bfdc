"""Fair shares between the teams of one class while the class has to wait."""

from collections import OrderedDict

import msgspec

__all__ = ["FairShares"]

# Teams that have sent no job for this long have no share.
ACTIVE_S = 1.0
# Share of the usable slack from which on a class counts as short of room.
CONTENDED_SHARE = 0.3


class TeamUse(msgspec.Struct):
    """Use of a class by one team.

    Attributes:
        finish_s: Virtual time at which its accepted tasks would have started
            if it got no more than its fair share.
        seen_s: Time of its last job.
    """

    finish_s: float = 0.0
    seen_s: float = 0.0


class FairShares:
    """Finds jobs of teams that exceed their fair share of a class.

    The teams that have sent jobs lately have equal shares. A team that sends
    less than its share isn't limited, and what it leaves is there for others:
    a share is enforced only while the class has to wait.

    Attributes:
        teams: Use by team, the one seen longest ago first.

    Examples:
        >>> shares = FairShares()
        >>> for _ in range(20):
        ...     shares.observe("flood", 5, tasks_per_s=40.0, now_s=0.0)
        >>> shares.observe("calm", 5, tasks_per_s=40.0, now_s=0.0)
        >>> shares.exceeds("flood", wait_s=0.5, usable_s=1.0, now_s=0.1)
        True
        >>> shares.exceeds("calm", wait_s=0.5, usable_s=1.0, now_s=0.1)
        False
    """

    def __init__(self) -> None:
        self.teams: OrderedDict[str, TeamUse] = OrderedDict()

    def observe(
        self, team: str, tasks: int, tasks_per_s: float, now_s: float
    ) -> None:
        """Adds an accepted job.

        Args:
            team: The caller's team.
            tasks: Number of tasks of the job.
            tasks_per_s: Tasks that all teams of the class can start per second.
            now_s: Current time in seconds.
        """
        use = self._touch(team, now_s)
        share = max(tasks_per_s / len(self.teams), 1e-9)
        use.finish_s = max(now_s, use.finish_s) + tasks / share

    def exceeds(
        self, team: str, wait_s: float, usable_s: float, now_s: float
    ) -> bool:
        """Returns True if a new job of a team is beyond its fair share.

        Args:
            team: The caller's team.
            wait_s: Predicted wait of the job, in seconds.
            usable_s: Wait up to which it would be accepted, in seconds.
            now_s: Current time in seconds.
        """
        use = self._touch(team, now_s)
        is_contended = wait_s > CONTENDED_SHARE * usable_s
        if not is_contended or len(self.teams) < 2:
            return False
        return use.finish_s - now_s > usable_s

    def _touch(self, team: str, now_s: float) -> TeamUse:
        use = self.teams.setdefault(team, TeamUse())
        use.seen_s = now_s
        self.teams.move_to_end(team)
        while True:
            oldest = next(iter(self.teams))
            if self.teams[oldest].seen_s > now_s - ACTIVE_S:
                return use
            del self.teams[oldest]
