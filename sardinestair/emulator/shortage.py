"""Load patterns in which callers compete for too little room.

Run `python -m sardinestair.emulator.shortage [SEED...]`.
"""

import sys
from collections.abc import Mapping
from typing import Any

import msgspec

from sardinestair.emulator.experiment import make_tree, make_upstreams
from sardinestair.emulator.report import OBJECTIVE_STRETCH, Report
from sardinestair.emulator.system import EmulatedSystem, UpstreamModel
from sardinestair.emulator.workload import (
    BUYBACK,
    EmulatedJob,
    JobKind,
    Workload,
)

__all__ = [
    "ARRIVALS_S",
    "BASELINES",
    "BURST_END_S",
    "BURST_START_S",
    "FLOODING_TEAM",
    "SHORTAGE_PATTERNS",
    "URGENT_KIND",
    "run_shortage",
]

URGENT_KIND, LONG_KIND, _ = BUYBACK
ARRIVALS_S = 10.0
DRAIN_S = 4.0
# Entries don't predict waits in their first seconds.
BURST_START_S = 3
BURST_END_S = 7
TEAMS = 6
FLOODING_TEAM = "team-0"


class ShortagePattern(msgspec.Struct, frozen=True):
    """A pattern of load.

    Attributes:
        load: Work of all jobs outside of bursts, relative to the room.
        burst_factor: How much more often jobs come in the burst.
        burst_kinds: The kinds of job that come more often.
        has_flood: Whether one of several teams sends all that is more.
        loses_upstream: Whether a tenth of the room is lost at once.
    """

    load: float
    burst_factor: float = 1.0
    burst_kinds: tuple[JobKind, ...] = BUYBACK
    has_flood: bool = False
    loses_upstream: bool = False


SHORTAGE_PATTERNS = {
    "demand of 1.2": ShortagePattern(0.6, 2.0),
    "demand of 2": ShortagePattern(0.6, 2.0 / 0.6),
    "burst of long jobs": ShortagePattern(0.8, 2.5, (LONG_KIND,)),
    "burst of urgent jobs": ShortagePattern(0.95, 1.7, (URGENT_KIND,)),
    "one team floods": ShortagePattern(0.7, 1 + 4 / TEAMS, has_flood=True),
    "a tenth is lost": ShortagePattern(0.95, loses_upstream=True),
}


URGENT_FIRST = {"order": "urgent_first"}
BASELINES = {
    "least_slack": {"order": "least_slack"},
    "first_come": {"order": "first_come"},
    "least_outstanding": {
        "order": "first_come",
        "policy": "least_outstanding",
    },
}


def large_room() -> list[UpstreamModel]:
    """Returns the upstreams, twice as many as in the other patterns."""
    return make_upstreams() + make_upstreams()


def room_cores() -> float:
    """Returns the cores on which tasks end in time, as those of a typical one.

    A task takes longer than its objective on an upstream that is slower than
    the stretch of the objective.
    """
    return sum(
        upstream.cpu_millis / 1000 / upstream.speed
        for upstream in large_room()
        if upstream.speed < OBJECTIVE_STRETCH
    )


def demand_cores() -> float:
    """Returns the cores that the specified rates of all kinds occupy."""
    return sum(
        kind.jobs_per_s
        * kind.mean_tasks
        * kind.mean_task_s
        * kind.mean_cpu_millis
        / 1000
        for kind in BUYBACK
    )


def make_jobs(pattern: ShortagePattern, seed: int) -> list[EmulatedJob]:
    """Returns the jobs of a pattern."""
    load_factor = pattern.load * room_cores() / demand_cores()
    jobs = list(Workload(BUYBACK, load_factor, seed).jobs(ARRIVALS_S))
    if pattern.has_flood:
        for index, job in enumerate(jobs):
            job.team = f"team-{index % TEAMS}"
    extra_load = load_factor * (pattern.burst_factor - 1)
    extra = Workload(pattern.burst_kinds, extra_load, seed + 1000)
    if extra_load:
        for job in extra.jobs(BURST_END_S - BURST_START_S):
            job.arrival_s += BURST_START_S
            if pattern.has_flood:
                job.team = FLOODING_TEAM
            jobs.append(job)
    return jobs


def run_shortage(
    name: str, seed: int = 1, defaults: Mapping[str, Any] = URGENT_FIRST
) -> Report:
    """Emulates one pattern of shortage.

    Args:
        name: A name in `SHORTAGE_PATTERNS`.
        seed: Seed of the workload.
        defaults: Settings to override at the root of the tree.
    """
    pattern = SHORTAGE_PATTERNS[name]
    system = EmulatedSystem(3, large_room(), make_tree(dict(defaults)))
    if pattern.loses_upstream:
        system.schedule(BURST_START_S, lambda: system.lose_upstream(1))
        system.schedule(BURST_START_S, lambda: system.lose_upstream(12))
    system.submit(make_jobs(pattern, seed))
    return system.run(ARRIVALS_S + DRAIN_S)


def main() -> None:
    """Prints a line for each pattern and order; arguments are seeds."""
    seeds = [int(argument) for argument in sys.argv[1:]] or [1]
    for name in SHORTAGE_PATTERNS:
        for order, defaults in {
            "urgent_first": URGENT_FIRST,
            **BASELINES,
        }.items():
            for seed in seeds:
                report = run_shortage(name, seed, defaults)
                line = report.format_line(f"{name}, {order}")
                print(
                    f"{line} refused_at_once={report.refused_at_once} "
                    f"failed_share={report.failed_share:.3f} "
                    f"wasted_share={report.wasted_share:.3f}",
                    flush=True,
                )


if __name__ == "__main__":
    main()
