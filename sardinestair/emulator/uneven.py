"""Emulates uneven demand and unlike upstreams, for several policies.

Run `python -m sardinestair.emulator.uneven [SEED]`.
"""

import itertools
import math
import random
import sys
from collections.abc import Callable, Sequence
from typing import Any

import msgspec

from sardinestair.emulator.experiment import (
    FAST_SPEED,
    SLOW_SPEED,
    make_tree,
)
from sardinestair.emulator.processors import MessageCosts, TimedSystem
from sardinestair.emulator.report import JobOutcome, Report
from sardinestair.emulator.system import UpstreamModel
from sardinestair.emulator.workload import BUYBACK, EmulatedJob, Workload

__all__ = ["PATTERNS", "POLICIES", "Result", "policies_for", "run_uneven"]

ENTRIES = 6
UPSTREAMS = 18
ZONES = ("a", "b", "c")
RACKS = ("r1", "r2", "r3")
CALM_LOAD = 0.66
ARRIVALS_S = 5.0
DRAIN_S = 6.0
# Jobs that come earlier don't count: nothing can be known of the upstreams.
WARM_UP_S = 2.0
FRESH_ENTRY_S = 2.5
# From the users' specification.
ZONE_SWING = 0.55
ZONE_PERIOD_S = 5.0
LONG_RUN_SHARE = 0.03
REMOTE_FACTOR = 3.0
# One job in so many names the first rack.
HOT_RACK_EVERY = 3
ENTRY_SHARES = (6, 3, 1, 1, 1, 1)
# Of each entry, in cores; the ends are from the users' specification.
CORES = (0.387, 0.6, 0.9, 1.3, 1.7, 2.15)
# With these all entries together need about 0.6 of their processors.
COSTS = MessageCosts(0.006, 0.004, 0.0004, 0.0006)
# Set by a policy beside the settings of the services.
COUNT_OWN_DELAY = "count_own_delay"
TIMED_PATTERN = "unlike processors"

POLICIES: dict[str, dict[str, Any]] = {
    "least_outstanding": {"policy": "least_outstanding"},
    "least_expected_finish": {},
    "meet_objective": {"policy": "meet_objective", "shared_speeds": True},
    "own_delay": {
        "policy": "meet_objective",
        "shared_speeds": True,
        COUNT_OWN_DELAY: True,
    },
}
"""Settings of the policies that are compared, by name."""


class Result(msgspec.Struct):
    """What a policy achieved on a pattern, without the warm-up.

    Attributes:
        in_time: Share of the jobs that were answered in time.
        stretch_p50: Median of the response time over the run time of a job's
            longest task on a typical upstream.
        stretch_p99: Its 99th percentile.
        frames_per_task: Frames with messages for each started task.
        speed_errors: Estimated over true slowdown of each upstream at each
            entry, at the end.
        ejections: Number of upstreams that are taken out for failing.
    """

    in_time: float
    stretch_p50: float
    stretch_p99: float
    frames_per_task: float
    speed_errors: list[float]
    ejections: int


class _StretchReport(Report):
    """Also keeps how long each job took that counts.

    Attributes:
        stretches: Response time over that of the longest task, and whether
            the answer was in time.
        counts: Returns True if a job counts.
    """

    def __init__(self) -> None:
        super().__init__()
        self.stretches: list[tuple[float, bool]] = []
        self.counts: Callable[[EmulatedJob], bool] = lambda job: (
            job.arrival_s >= WARM_UP_S
        )

    def record(
        self, job: EmulatedJob, outcome: JobOutcome, response_s: float
    ) -> None:
        in_time = self.outcomes[JobOutcome.IN_TIME]
        super().record(job, outcome, response_s)
        if self.counts(job):
            is_in_time = self.outcomes[JobOutcome.IN_TIME] > in_time
            stretch = response_s / max(job.task_run_s)
            self.stretches.append((stretch, is_in_time))


class _Emulation:
    """An emulated system with the jobs of a calm load.

    Args:
        models: Parameters of the upstreams.
        defaults: Settings of the policy.
        seed: Seed of the workload.
    """

    def __init__(
        self, models: list[UpstreamModel], defaults: dict[str, Any], seed: int
    ):
        self.counts_delay = COUNT_OWN_DELAY in defaults
        self.tree = make_tree(
            {k: v for k, v in defaults.items() if k != COUNT_OWN_DELAY}
        )
        self.system = TimedSystem(ENTRIES, models, self.tree, ZONES)
        self.report = _StretchReport()
        self.system.report = self.report
        room = sum(
            model.cpu_millis / BUYBACK[0].mean_cpu_millis / model.speed
            for model in models
        )
        work = sum(
            kind.jobs_per_s * kind.mean_tasks * kind.mean_task_s
            for kind in BUYBACK
        )
        load_factor = CALM_LOAD * room / work
        jobs = Workload(BUYBACK, load_factor, seed).jobs(ARRIVALS_S)
        self.jobs = sorted(jobs, key=lambda job: job.arrival_s)

    def run(self) -> Result:
        """Runs the system until all jobs have ended."""
        system = self.system
        system.run(ARRIVALS_S + DRAIN_S)
        stretches = sorted(stretch for stretch, _ in self.report.stretches)
        in_time = sum(is_in_time for _, is_in_time in self.report.stretches)
        usages = [server.link_usage for server in system.servers]
        usages += [entry.link_usage for entry in system.dispatchers]
        frames = sum(u.frames_sent - u.idle_frames_sent for u in usages)
        return Result(
            in_time / len(stretches),
            stretches[len(stretches) // 2],
            stretches[len(stretches) * 99 // 100],
            frames / sum(len(job.task_run_s) for job in self.jobs),
            [
                entry.links[server.incarnation].candidate.slowdown_
                / model.speed
                for entry in system.dispatchers
                for server, model in zip(
                    system.servers, system.upstreams, strict=True
                )
            ],
            round(
                sum(
                    count
                    for entry in system.dispatchers
                    for (name, _), count in entry.metrics.counts.items()
                    if name == "upstreams_out_total"
                )
            ),
        )


def _unlike_models(slow_every: int) -> list[UpstreamModel]:
    return [
        UpstreamModel(FAST_SPEED if number % slow_every else SLOW_SPEED)
        for number in range(UPSTREAMS)
    ]


def _run_quarter_slow(defaults: dict[str, Any], seed: int) -> Result:
    """Emulates a quarter of slow upstreams that a calm load doesn't need."""
    emulation = _Emulation(_unlike_models(4), defaults, seed)
    emulation.system.submit(emulation.jobs)
    return emulation.run()


def _run_fresh_entry(defaults: dict[str, Any], seed: int) -> Result:
    """Emulates an entry that starts beside one slow upstream in eight.

    Only its jobs count.
    """
    emulation = _Emulation(_unlike_models(8), defaults, seed)
    system = emulation.system
    late = [job for job in emulation.jobs if job.arrival_s > FRESH_ENTRY_S]
    fresh_arrivals = {job.arrival_s for job in late[:: ENTRIES + 1]}
    emulation.report.counts = lambda job: job.arrival_s in fresh_arrivals
    fresh = system.make_entry(emulation.tree, ZONES[0])
    fresh.admission_controller.share.entry_count = ENTRIES + 1

    def connect() -> None:
        system.dispatchers.append(fresh)
        system.connect(fresh)

    system.schedule(FRESH_ENTRY_S, connect)
    entries = itertools.cycle(list(system.dispatchers))
    for job in emulation.jobs:
        is_fresh = job.arrival_s in fresh_arrivals
        system.submit_to(fresh if is_fresh else next(entries), job)
    return emulation.run()


def _run_long_tail(defaults: dict[str, Any], seed: int) -> Result:
    """Emulates 3 % of runs that take seven times as long."""
    models = [
        UpstreamModel((1.0, 1.0, 1 / 1.3)[n % 3], long_share=LONG_RUN_SHARE)
        for n in range(UPSTREAMS)
    ]
    emulation = _Emulation(models, defaults, seed)
    emulation.system.submit(emulation.jobs)
    return emulation.run()


def _run_zone_swing(defaults: dict[str, Any], seed: int) -> Result:
    """Emulates demand that swings by zone, with shifted phases."""
    emulation = _Emulation(_unlike_models(4), defaults, seed)

    def weights(arrival_s: float) -> list[float]:
        turns = arrival_s / ZONE_PERIOD_S
        return [
            1 + ZONE_SWING * math.sin(2 * math.pi * (turns + n / len(ZONES)))
            for n in range(ENTRIES)
        ]

    _submit_by_share(emulation, seed, weights)
    return emulation.run()


def _submit_by_share(
    emulation: _Emulation,
    seed: int,
    weights: Callable[[float], Sequence[float]],
) -> None:
    """Submits each job to an entry that is drawn by its share then."""
    draw = random.Random(seed)
    dispatchers = emulation.system.dispatchers
    for job in emulation.jobs:
        [entry] = draw.choices(dispatchers, weights(job.arrival_s))
        emulation.system.submit_to(entry, job)


def _run_hot_rack(defaults: dict[str, Any], seed: int) -> Result:
    """Emulates many jobs whose data is on one of three racks."""
    models = [
        UpstreamModel(1.0, rack=RACKS[n // (UPSTREAMS // len(RACKS))])
        for n in range(UPSTREAMS)
    ]
    emulation = _Emulation(
        models, {**defaults, "remote_factor": REMOTE_FACTOR}, seed
    )
    system = emulation.system
    system.remote_factor = REMOTE_FACTOR
    hot_arrivals = {job.arrival_s for job in emulation.jobs[::HOT_RACK_EVERY]}
    system.rack_of = lambda job: (
        RACKS[0] if job.arrival_s in hot_arrivals else ""
    )
    system.submit(emulation.jobs)
    return emulation.run()


def _run_unlike_entries(defaults: dict[str, Any], seed: int) -> Result:
    """Emulates entries that get unlike shares of the jobs."""
    emulation = _Emulation(_unlike_models(4), defaults, seed)
    _submit_by_share(emulation, seed, lambda _arrival_s: ENTRY_SHARES)
    return emulation.run()


def _run_unlike_processors(defaults: dict[str, Any], seed: int) -> Result:
    """Emulates entries of unlike processors that get equal shares of the jobs.

    The smallest can't do what comes to it; all together can.
    """
    emulation = _Emulation(_unlike_models(4), defaults, seed)
    emulation.system.limit_processors(CORES, COSTS, emulation.counts_delay)
    _submit_by_share(emulation, seed, lambda _arrival_s: [1.0] * ENTRIES)
    return emulation.run()


PATTERNS: dict[str, Callable[[dict[str, Any], int], Result]] = {
    "a quarter slow": _run_quarter_slow,
    "fresh entry": _run_fresh_entry,
    "long tail": _run_long_tail,
    "zones in antiphase": _run_zone_swing,
    "hot rack": _run_hot_rack,
    "unlike entries": _run_unlike_entries,
    TIMED_PATTERN: _run_unlike_processors,
}


def policies_for(pattern: str) -> list[str]:
    """Returns the names of the policies that differ on a pattern."""
    return [
        name
        for name, settings in POLICIES.items()
        if pattern == TIMED_PATTERN or COUNT_OWN_DELAY not in settings
    ]


def run_uneven(pattern: str, policy: str, seed: int = 1) -> Result:
    """Emulates one pattern.

    Args:
        pattern: A name in `PATTERNS`.
        policy: A name in `POLICIES`.
        seed: Seed of the workload.
    """
    return PATTERNS[pattern](POLICIES[policy], seed)


def main() -> None:
    """Prints a line for each pattern and policy."""
    seed = int(sys.argv[1]) if len(sys.argv) > 1 else 1
    for pattern in PATTERNS:
        for policy in policies_for(pattern):
            result = run_uneven(pattern, policy, seed)
            print(
                f"{pattern:20} {policy:22} in_time={result.in_time:.3f} "
                f"p50={result.stretch_p50:.2f} p99={result.stretch_p99:.2f} "
                f"frames={result.frames_per_task:.2f} "
                f"slowest={max(result.speed_errors):.2f} "
                f"ejections={result.ejections}",
                flush=True,
            )


if __name__ == "__main__":
    main()
