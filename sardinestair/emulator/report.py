"""Outcomes of the emulated jobs and the value that they earned."""

import enum
from collections import Counter, defaultdict

import msgspec

from sardinestair.emulator.workload import EmulatedJob
from sardinestair.ids import JobId

__all__ = ["JobOutcome", "Report"]

# From the users' specification. A response is in time up to the objective: a
# multiple of the longest task plus a constant. Up to three times the objective
# it is late and has a fifth of its value, after that none.
OBJECTIVE_STRETCH = 1.6
OBJECTIVE_OFFSET_S = 0.06
MAX_LATE_RATIO = 3.0
LATE_VALUE_SHARE = 0.2
# Share of a job's value that is independent of its size; the rest is
# proportional to its work.
FIXED_VALUE_SHARE = 0.3


def response_objective_s(job: EmulatedJob) -> float:
    """Returns the response time up to which a job is in time, in seconds."""
    return OBJECTIVE_STRETCH * max(job.task_run_s) + OBJECTIVE_OFFSET_S


class JobOutcome(enum.Enum):
    """Outcome of a job, as seen by its caller."""

    IN_TIME = "in time"
    LATE = "late"
    TOO_LATE = "too late"
    REFUSED = "refused"
    FAILED = "failed"


class Tally(msgspec.Struct):
    """Totals over a group of jobs.

    Attributes:
        total_value: Value of the jobs if all are answered in time.
        earned_value: Value of their answers.
        jobs: Number of jobs.
        in_time: Number of jobs that were answered in time.
    """

    total_value: float = 0.0
    earned_value: float = 0.0
    jobs: int = 0
    in_time: int = 0


class Report:
    """Aggregates job results by outcome, kind and time.

    Attributes:
        outcomes: Number of jobs by outcome.
        by_kind: Totals by kind.
        by_second: Totals by second of submission.
        by_team: Totals by team.
        run_s: Total duration of all runs, in seconds.
        wasted_run_s: Total duration of unsuccessful runs, in seconds.
        failed_after_acceptance: Number of accepted jobs that got no answer.
        refused_at_once: Number of jobs that were not accepted.
        refused_with_free_room: Number of jobs that were refused while an
            upstream had room for one of their tasks.
        crashes: Number of crashes of upstreams.
        crashing_jobs: Number of jobs with a task that crashes upstreams; they
            count nowhere else.
        starts_of_crashing: Number of runs of each task that crashes upstreams,
            by job and index.
    """

    def __init__(self) -> None:
        self.outcomes: dict[JobOutcome, int] = defaultdict(int)
        self.by_kind: dict[str, Tally] = defaultdict(Tally)
        self.by_second: dict[int, Tally] = defaultdict(Tally)
        self.by_team: dict[str, Tally] = defaultdict(Tally)
        self.run_s = 0.0
        self.wasted_run_s = 0.0
        self.failed_after_acceptance = 0
        self.refused_at_once = 0
        self.refused_with_free_room = 0
        self.crashes = 0
        self.crashing_jobs = 0
        self.starts_of_crashing: Counter[tuple[JobId, int]] = Counter()

    def record(
        self, job: EmulatedJob, outcome: JobOutcome, response_s: float
    ) -> None:
        """Records one job.

        Args:
            job: The job.
            outcome: Outcome; IN_TIME for every successful answer, which is
                then classified by its response time.
            response_s: Response time, in seconds.
        """
        objective_s = response_objective_s(job)
        if outcome is JobOutcome.IN_TIME and response_s > objective_s:
            is_late = response_s <= MAX_LATE_RATIO * objective_s
            outcome = JobOutcome.LATE if is_late else JobOutcome.TOO_LATE
        if job.crashes:
            # Nothing is owed for it.
            self.crashing_jobs += 1
            return
        self.outcomes[outcome] += 1
        mean_work_s = job.kind.mean_tasks * job.kind.mean_task_s
        size_factor = (
            FIXED_VALUE_SHARE
            + (1 - FIXED_VALUE_SHARE) * sum(job.task_run_s) / mean_work_s
        )
        job_value = job.kind.value * size_factor
        value_shares = {
            JobOutcome.IN_TIME: 1.0,
            JobOutcome.LATE: LATE_VALUE_SHARE,
        }
        for tally in (
            self.by_kind[job.kind.name],
            self.by_second[int(job.arrival_s)],
            self.by_team[job.team],
        ):
            tally.jobs += 1
            tally.in_time += outcome is JobOutcome.IN_TIME
            tally.total_value += job_value
            tally.earned_value += job_value * value_shares.get(outcome, 0.0)

    @property
    def earned_share(self) -> float:
        """Earned share of the value of all jobs."""
        total_value = sum(tally.total_value for tally in self.by_kind.values())
        earned_value = sum(
            tally.earned_value for tally in self.by_kind.values()
        )
        return earned_value / total_value if total_value else 1.0

    def earned_share_of(self, kind: str) -> float:
        """Returns the earned share of the value of one kind."""
        tally = self.by_kind[kind]
        return (
            tally.earned_value / tally.total_value if tally.total_value else 1.0
        )

    def share_in_time(self, kind: str) -> float:
        """Returns the share of the jobs of a kind answered in time."""
        tally = self.by_kind[kind]
        return tally.in_time / tally.jobs if tally.jobs else 1.0

    def earned_share_between(self, start_s: int, end_s: int) -> float:
        """Returns the earned share of the jobs submitted in an interval."""
        tallies = [self.by_second[second] for second in range(start_s, end_s)]
        total_value = sum(tally.total_value for tally in tallies)
        earned_value = sum(tally.earned_value for tally in tallies)
        return earned_value / total_value if total_value else 1.0

    @property
    def wasted_share(self) -> float:
        """Share of all run time that was spent on unsuccessful runs."""
        return self.wasted_run_s / self.run_s if self.run_s else 0.0

    @property
    def failed_share(self) -> float:
        """Share of the accepted jobs that got no answer."""
        accepted = sum(self.outcomes.values()) - self.refused_at_once
        return self.failed_after_acceptance / accepted if accepted else 0.0

    def worst_share(self, count: int = 2) -> float:
        """Returns the mean earned share of the worst windows.

        Args:
            count: Number of windows, of two seconds each, to average.
        """
        windows: dict[int, Tally] = defaultdict(Tally)
        for second, tally in self.by_second.items():
            windows[second // 2].total_value += tally.total_value
            windows[second // 2].earned_value += tally.earned_value
        shares = sorted(
            t.earned_value / t.total_value
            for t in windows.values()
            if t.total_value
        )
        worst_shares = shares[:count]
        return sum(worst_shares) / len(worst_shares) if worst_shares else 1.0

    def format_line(self, name: str) -> str:
        """Formats the report as one line of a table."""
        shares = " ".join(
            f"{kind}={self.earned_share_of(kind):.3f}"
            for kind in sorted(self.by_kind)
        )
        outcomes = " ".join(
            f"{outcome.value.replace(' ', '_')}={self.outcomes[outcome]}"
            for outcome in JobOutcome
        )
        return (
            f"{name:24} worth={self.earned_share:.3f} "
            f"worst={self.worst_share():.3f} "
            f"{shares} {outcomes} thrown_away_s={self.wasted_run_s:.1f}"
        )
