"""Random arrivals, sizes and run times of emulated jobs."""

import math
import random
from collections.abc import Iterator

import msgspec

__all__ = ["BUYBACK", "EmulatedJob", "JobKind", "Workload"]


class JobKind(msgspec.Struct, frozen=True):
    """A kind of job, with the means of its random properties.

    Attributes:
        name: Name of the kind.
        jobs_per_s: Mean arrival rate, in jobs per second.
        mean_tasks: Mean number of tasks of a job.
        max_tasks: Greatest number of tasks of a job.
        mean_task_s: Mean run time of a task at a typical upstream, in seconds.
        mean_cpu_millis: Mean CPU need of a task, in thousandths of a core.
        value: Value of an answer in time to a job of mean size.
        max_attempts: Number of failed runs after which a task has failed.
        priority: Priority; 0 is the highest.
    """

    name: str
    jobs_per_s: float
    mean_tasks: float
    max_tasks: int
    mean_task_s: float
    mean_cpu_millis: int
    value: float
    max_attempts: int
    priority: int


# From the users' specification of the buyback counters.
BUYBACK = (
    JobKind("price-check", 17.2, 8, 32, 0.12, 1600, 0.0291, 2, 0),
    JobKind("full-valuation", 3.12, 4, 16, 1.8, 1600, 0.16, 4, 2),
    JobKind("payout-confirm", 50.0, 2, 8, 0.4, 1600, 0.01, 2, 1),
)

# Sigmas of the log-normal distributions in the specification.
TASK_COUNT_SIGMA = 0.4
JOB_RUN_TIME_SIGMA = 0.4
DECLARED_RUN_TIME_SIGMA = 0.4
CPU_SIGMA = 0.2
TASK_RUN_TIME_SIGMA = 0.15
MAX_RUN_TIME_RATIO = 4.0
MAX_CPU_MILLIS = 2300


class EmulatedJob(msgspec.Struct):
    """A randomly generated job.

    Attributes:
        kind: Kind of the job.
        arrival_s: Arrival time, in seconds from the start.
        task_run_s: Run time of each task at a typical upstream, in seconds.
        cpu_millis: CPU need of a task, in thousandths of a core.
        declared_task_s: Declared run time of a task, in seconds.
        deadline_s: How long the caller waits, in seconds.
        always_fails: True if all of its runs fail.
        crashes: True if its first task crashes each upstream that starts it.
        team: The caller's team.
    """

    kind: JobKind
    arrival_s: float
    task_run_s: list[float]
    cpu_millis: int
    declared_task_s: float
    deadline_s: float
    always_fails: bool = False
    crashes: bool = False
    team: str = "clients"


class Workload:
    """Generates jobs with Poisson arrivals, reproducibly for a seed.

    Args:
        kinds: The kinds of job.
        load_factor: Factor by which their arrival rates are multiplied.
        seed: Seed of the random number generators.

    Examples:
        >>> jobs = list(Workload(BUYBACK, 1.0, seed=1).jobs(until_s=1.0))
        >>> jobs == list(Workload(BUYBACK, 1.0, seed=1).jobs(until_s=1.0))
        True
    """

    def __init__(
        self, kinds: tuple[JobKind, ...], load_factor: float, seed: int
    ):
        self.kinds = kinds
        self.load_factor = load_factor
        self.seed = seed

    def jobs(self, until_s: float) -> Iterator[EmulatedJob]:
        """Yields the jobs kind by kind, each kind in order of arrival."""
        for kind_index, kind in enumerate(self.kinds):
            rng = random.Random(f"{self.seed}/{kind_index}")
            arrival_s = rng.expovariate(kind.jobs_per_s * self.load_factor)
            while arrival_s < until_s:
                yield _generate_job(kind, arrival_s, rng)
                arrival_s += rng.expovariate(kind.jobs_per_s * self.load_factor)


def _generate_job(
    kind: JobKind, arrival_s: float, rng: random.Random
) -> EmulatedJob:
    def draw_lognormal(mean: float, sigma: float) -> float:
        return mean * math.exp(rng.gauss(-sigma * sigma / 2, sigma))

    task_count = round(draw_lognormal(kind.mean_tasks, TASK_COUNT_SIGMA))
    job_run_s = draw_lognormal(kind.mean_task_s, JOB_RUN_TIME_SIGMA)
    job_run_s = min(job_run_s, kind.mean_task_s * MAX_RUN_TIME_RATIO)
    task_run_s = [
        draw_lognormal(job_run_s, TASK_RUN_TIME_SIGMA)
        for _ in range(min(max(task_count, 1), kind.max_tasks))
    ]
    cpu_millis = round(draw_lognormal(kind.mean_cpu_millis, CPU_SIGMA))
    return EmulatedJob(
        kind,
        arrival_s,
        task_run_s,
        min(cpu_millis, MAX_CPU_MILLIS),
        draw_lognormal(job_run_s, DECLARED_RUN_TIME_SIGMA),
        rng.uniform(4.0, 10.0),
    )
