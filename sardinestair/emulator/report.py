"""What became of the emulated jobs."""

import enum
from collections import defaultdict

import msgspec

from sardinestair.emulator.workload import EmulatedJob

__all__ = ["Fate", "Report"]

# The users' sheet: in time until this many times the longest task and a
# constant, late until three times that, and worth a fifth then.
STRETCH = 1.6
OBJECTIVE_S = 0.06
LATE_FACTOR = 3.0
LATE_WORTH = 0.2
# A job is worth this share whatever its size, the rest by its work.
FIXED_WORTH = 0.3


class Fate(enum.Enum):
    """What became of a job."""

    IN_TIME = "in time"
    LATE = "late"
    TOO_LATE = "too late"
    REFUSED = "refused"
    FAILED = "failed"


class Tally(msgspec.Struct):
    """Sums over some jobs."""

    owed: float = 0.0
    earned: float = 0.0
    jobs: int = 0


class Report:
    """Counts jobs by what became of them, by kind and by time.

    Attributes:
        fates: Jobs by fate.
        kinds: Sums by kind.
        seconds: Sums by second of submission.
        thrown_away_s: Run time of runs that ended without success.
    """

    def __init__(self) -> None:
        self.fates: dict[Fate, int] = defaultdict(int)
        self.kinds: dict[str, Tally] = defaultdict(Tally)
        self.seconds: dict[int, Tally] = defaultdict(Tally)
        self.thrown_away_s = 0.0

    def record(self, job: EmulatedJob, fate: Fate, response_s: float) -> None:
        """Takes note of one job; answers are judged by their time."""
        objective_s = STRETCH * max(job.tasks_s) + OBJECTIVE_S
        if fate is Fate.IN_TIME and response_s > objective_s:
            is_late = response_s <= LATE_FACTOR * objective_s
            fate = Fate.LATE if is_late else Fate.TOO_LATE
        self.fates[fate] += 1
        mean_s = job.kind.tasks * job.kind.task_s
        size = FIXED_WORTH + (1 - FIXED_WORTH) * sum(job.tasks_s) / mean_s
        owed = job.kind.worth * size
        shares = {Fate.IN_TIME: 1.0, Fate.LATE: LATE_WORTH}
        for tally in (
            self.kinds[job.kind.name],
            self.seconds[int(job.at_s)],
        ):
            tally.jobs += 1
            tally.owed += owed
            tally.earned += owed * shares.get(fate, 0.0)

    @property
    def worth(self) -> float:
        """Share of the worth that was earned."""
        owed = sum(tally.owed for tally in self.kinds.values())
        earned = sum(tally.earned for tally in self.kinds.values())
        return earned / owed if owed else 1.0

    def worth_of(self, kind: str) -> float:
        """Share of the worth of one kind that was earned."""
        tally = self.kinds[kind]
        return tally.earned / tally.owed if tally.owed else 1.0

    def worst(self, count: int = 2) -> float:
        """Mean share of the worst spans of two seconds."""
        spans: dict[int, Tally] = defaultdict(Tally)
        for second, tally in self.seconds.items():
            spans[second // 2].owed += tally.owed
            spans[second // 2].earned += tally.earned
        shares = sorted(t.earned / t.owed for t in spans.values() if t.owed)
        worst = shares[:count]
        return sum(worst) / len(worst) if worst else 1.0

    def line(self, name: str) -> str:
        """Returns one line of a table."""
        kinds = " ".join(
            f"{kind}={self.worth_of(kind):.3f}" for kind in sorted(self.kinds)
        )
        fates = " ".join(
            f"{fate.value.replace(' ', '_')}={self.fates[fate]}"
            for fate in Fate
        )
        return (
            f"{name:24} worth={self.worth:.3f} worst={self.worst():.3f} "
            f"{kinds} {fates} thrown_away_s={self.thrown_away_s:.1f}"
        )
