"""Deployments and reproducible random workloads, configured by files."""

import random
from collections.abc import Iterator
from typing import Annotated, Any

import msgspec
from msgspec import Meta

__all__ = [
    "Deployment",
    "LoadJob",
    "Workload",
    "generate_jobs",
    "ideal_response_s",
]

Share = Annotated[float, Meta(ge=0, le=1)]
Positive = Annotated[float, Meta(gt=0)]


class Workload(msgspec.Struct, forbid_unknown_fields=True):
    """Random distribution of the jobs.

    Attributes:
        run_s: Least and greatest run time of an ordinary task, in seconds on
            the fastest upstream.
        slow_share: Share of slow tasks.
        slow_s: Least and greatest run time of a slow task, in seconds on the
            fastest upstream.
        single_share: Share of single-task jobs among those that aren't large.
        max_tasks: Greatest number of tasks of an ordinary job.
        large_share: Share of jobs with 300 to 930 tasks.
        declared_error: Greatest factor by which a declared run time is off.
        burst_factor: Rate in bursts divided by the mean rate; 1 for no bursts.
        burst_s: Length of a burst, in seconds.
        burst_interval_s: Time between the starts of bursts, in seconds.
        broken_share: Share of jobs whose tasks always fail.
        teams: Number of teams.
        deadline_s: Deadline of each job, in seconds.
    """

    run_s: tuple[Positive, Positive] = (0.05, 1.0)
    slow_share: Share = 0.02
    slow_s: tuple[Positive, Positive] = (2.0, 5.0)
    single_share: Share = 0.5
    max_tasks: Annotated[int, Meta(ge=2, le=930)] = 60
    large_share: Share = 0.0
    declared_error: Annotated[float, Meta(ge=1)] = 10.0
    burst_factor: Annotated[float, Meta(ge=1)] = 1.0
    burst_s: Positive = 2.0
    burst_interval_s: Positive = 10.0
    broken_share: Share = 0.0
    teams: Annotated[int, Meta(ge=1)] = 4
    deadline_s: Positive = 120.0


class Deployment(msgspec.Struct, forbid_unknown_fields=True):
    """Configuration of a system under load.

    Attributes:
        service: Name of the service.
        speeds: For each upstream, the factor by which its run times are
            multiplied; larger is slower.
        entries: Number of entries.
        slots: Number of slots of each upstream.
        failing: Indices of upstreams that fail every task.
        round_trip_s: Network time in the ideal response time, in seconds.
        workload: Random distribution of the jobs.
        settings: Settings to set at the node of the service.
    """

    service: str
    speeds: Annotated[list[Positive], Meta(min_length=1)]
    entries: Annotated[int, Meta(ge=1, le=8)] = 3
    slots: Annotated[int, Meta(ge=1, le=64)] = 8
    failing: list[int] = []
    round_trip_s: float = 0.003
    workload: Workload = msgspec.field(default_factory=Workload)
    settings: dict[str, Any] = {}

    @property
    def throughput(self) -> float:
        """Seconds of work at run-time factor 1 completed per second."""
        return sum(
            self.slots / speed
            for index, speed in enumerate(self.speeds)
            if index not in self.failing
        )


class LoadJob(msgspec.Struct, frozen=True):
    """A job to submit.

    Attributes:
        arrival_s: Arrival time, in seconds from the start.
        task_run_s: Run time of each task on the fastest upstream, in seconds.
        declared_task_s: Declared run time of a task, in seconds.
        team: The caller's team.
        always_fails: True if all its tasks fail.
    """

    arrival_s: float
    task_run_s: list[float]
    declared_task_s: float
    team: str
    always_fails: bool


def generate_jobs(
    deployment: Deployment, load: float, duration_s: float, seed: int
) -> list[LoadJob]:
    """Generates the jobs of a load run, in order of arrival.

    Args:
        deployment: The system under load.
        load: Offered work divided by the system's throughput.
        duration_s: Duration of the arrivals, in seconds.
        seed: Seed of the random number generators.

    Examples:
        >>> deployment = Deployment("quotes", [1.0, 2.0])
        >>> jobs = generate_jobs(deployment, 0.5, 10.0, seed=1)
        >>> jobs == generate_jobs(deployment, 0.5, 10.0, seed=1)
        True
    """
    rng = random.Random(seed)
    sample_rng = random.Random(seed + 1)
    workload = deployment.workload
    sample_work_s = [
        sum(_draw_task_run_times(sample_rng, workload)) for _ in range(4000)
    ]
    rate = (
        load * deployment.throughput / (sum(sample_work_s) / len(sample_work_s))
    )
    return [
        _make_job(rng, workload, arrival_s)
        for arrival_s in _draw_arrivals(rng, workload, rate, duration_s)
    ]


def ideal_response_s(deployment: Deployment, job: LoadJob) -> float:
    """Returns a lower bound of the response time, for any placement.

    It is the longer of the longest task on the fastest upstream and the whole
    work at full throughput, plus one round trip.
    """
    fastest = min(deployment.speeds)
    longest_s = max(job.task_run_s) * fastest
    total_s = sum(job.task_run_s) / deployment.throughput
    return max(longest_s, total_s) + deployment.round_trip_s


def _draw_arrivals(
    rng: random.Random, workload: Workload, rate: float, duration_s: float
) -> Iterator[float]:
    factor = workload.burst_factor
    burst_share = workload.burst_s / workload.burst_interval_s
    rate_between_bursts = (
        rate * max(0.0, 1 - factor * burst_share) / (1 - burst_share)
    )
    arrival_s = 0.0
    while True:
        in_burst = arrival_s % workload.burst_interval_s < workload.burst_s
        current_rate = rate if factor == 1 else rate_between_bursts
        current_rate = (
            rate * factor if factor > 1 and in_burst else current_rate
        )
        arrival_s += rng.expovariate(max(current_rate, 1e-6))
        if arrival_s >= duration_s:
            return
        yield arrival_s


def _make_job(
    rng: random.Random, workload: Workload, arrival_s: float
) -> LoadJob:
    task_run_s = _draw_task_run_times(rng, workload)
    mean_s = sum(task_run_s) / len(task_run_s)
    error_factor = workload.declared_error ** rng.uniform(-1, 1)
    return LoadJob(
        arrival_s,
        task_run_s,
        mean_s * error_factor,
        f"team{rng.randrange(workload.teams)}",
        rng.random() < workload.broken_share,
    )


def _draw_task_run_times(rng: random.Random, workload: Workload) -> list[float]:
    if rng.random() < workload.large_share:
        size = rng.randint(300, 930)
    elif rng.random() < workload.single_share:
        size = 1
    else:
        size = rng.randint(2, workload.max_tasks)
    return [_draw_run_time(rng, workload) for _ in range(size)]


def _draw_run_time(rng: random.Random, workload: Workload) -> float:
    is_slow = rng.random() < workload.slow_share
    low, high = workload.slow_s if is_slow else workload.run_s
    return low * (high / low) ** rng.random()
