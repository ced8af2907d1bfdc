"""Checks the performance targets on the real programs: `make bench`.

Each case runs the systems that it compares concurrently, and prints each
measured value with its target.
"""

import argparse
import sys
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

import msgspec

from benchmarks.bench_placement import VARIANTS, run_variant
from sardinestair.load import Deployment, LoadReport
from sardinestair.settings import load_yaml

BUYBACK_FILE = "examples/buyback.yaml"
TRAILS_FILE = "examples/trails.yaml"


class TargetCheck(msgspec.Struct, frozen=True):
    """A measured value and its target.

    Attributes:
        name: Description of the value.
        value: The measured value.
        limit: The target.
        is_minimum: True if the target is a minimum, False if a maximum.
    """

    name: str
    value: float
    limit: float
    is_minimum: bool = False

    @property
    def is_met(self) -> bool:
        """True if the target is met."""
        if self.is_minimum:
            return self.value >= self.limit
        return self.value <= self.limit


class Options(msgspec.Struct, frozen=True):
    """Duration and seed of all runs."""

    duration_s: float
    seed: int


class LoadRun(msgspec.Struct, frozen=True):
    """A run of one system under load.

    Attributes:
        deployment: The system and its workload.
        settings: Service settings that replace those of the deployment.
        load: Offered load as a share of capacity.
        flood: Load that an additional team offers, as a share of capacity.
    """

    deployment: Deployment
    settings: dict
    load: float
    flood: float = 0.0


def load_deployment(file: str, **workload) -> Deployment:
    """Reads a deployment and replaces fields of its workload."""
    deployment = load_yaml(file, Deployment).ok
    changed = msgspec.structs.replace(deployment.workload, **workload)
    return msgspec.structs.replace(deployment, workload=changed)


def run_concurrently(runs: list[LoadRun], options: Options) -> list[LoadReport]:
    """Runs several systems concurrently."""

    def run(load_run: LoadRun) -> LoadReport:
        return run_variant(
            load_run.deployment,
            load_run.settings,
            load_run.load,
            options.duration_s,
            options.seed,
            load_run.flood,
        )

    with ThreadPoolExecutor(len(runs)) as pool:
        return list(pool.map(run, runs))


def check_light_load(options: Options) -> list[TargetCheck]:
    """Buyback at 30% load."""
    (report,) = run_concurrently(
        [LoadRun(load_deployment(BUYBACK_FILE), {}, 0.3)], options
    )
    return [
        TargetCheck("30% load, p50", report.stretch.p50, 1.10),
        TargetCheck("30% load, p99", report.stretch.p99, 2.0),
    ]


def compare_with_least_outstanding(
    deployment: Deployment, options: Options
) -> tuple[LoadReport, float]:
    """Compares the default policy with least outstanding, at 70% load.

    Returns:
        The report of the default policy, and its p99 stretch over that of
        least outstanding.
    """
    baseline, report = run_concurrently(
        [
            LoadRun(deployment, VARIANTS["least outstanding"], 0.7),
            LoadRun(deployment, {}, 0.7),
        ],
        options,
    )
    return report, report.stretch.p99 / baseline.stretch.p99


def check_steady_load(options: Options) -> list[TargetCheck]:
    """Buyback at 70% load, compared with least outstanding."""
    deployment = load_deployment(BUYBACK_FILE)
    report, ratio = compare_with_least_outstanding(deployment, options)
    return [
        TargetCheck("70% load, p50", report.stretch.p50, 1.15),
        TargetCheck("70% load, p99 over least outstanding", ratio, 0.5),
    ]


def check_bursts(options: Options) -> list[TargetCheck]:
    """Buyback at 70% load in bursts, compared with least outstanding."""
    deployment = load_deployment(BUYBACK_FILE, burst_factor=3.0)
    _, ratio = compare_with_least_outstanding(deployment, options)
    return [TargetCheck("bursts, p99 over least outstanding", ratio, 0.35)]


def check_large_jobs(options: Options) -> list[TargetCheck]:
    """Jobs of at least 300 tasks, compared with first come."""
    deployment = load_deployment(BUYBACK_FILE, large_share=0.02)
    baseline, report = run_concurrently(
        [
            LoadRun(deployment, VARIANTS["first come"], 0.7),
            LoadRun(deployment, {}, 0.7),
        ],
        options,
    )
    ratio = report.stretch_large.p99 / baseline.stretch_large.p99
    return [TargetCheck("large jobs, p99 over first come", ratio, 1.3)]


def check_wasted_messages(options: Options) -> list[TargetCheck]:
    """Trails, `favour: messages` compared with `favour: response`."""
    deployment = load_deployment(TRAILS_FILE)
    response, report = run_concurrently(
        [
            LoadRun(deployment, {"favour": "response"}, 0.7),
            LoadRun(deployment, {}, 0.7),
        ],
        options,
    )
    ratio = report.stretch.p99 / response.stretch.p99
    return [
        TargetCheck("trails, wasted per task", report.wasted_per_task, 0.02),
        TargetCheck("trails, p99 over favour response", ratio, 1.25),
    ]


def check_failures(options: Options) -> list[TargetCheck]:
    """One upstream fails all tasks, and one kind of job always fails."""
    deployment = load_deployment(BUYBACK_FILE, broken_share=0.05)
    deployment = msgspec.structs.replace(deployment, failing=[0])
    (report,) = run_concurrently([LoadRun(deployment, {}, 0.5)], options)
    return [
        TargetCheck(
            "jobs lost before ejection, worst entry",
            report.lost_before_out,
            3.0,
        ),
        TargetCheck(
            "healthy upstreams ejected", report.good_upstreams_out, 0.0
        ),
    ]


def check_overload(options: Options) -> list[TargetCheck]:
    """Load of 150% of capacity, compared with 90% and 100%."""
    deployment = load_deployment(BUYBACK_FILE, deadline_s=15.0)
    reports = run_concurrently(
        [LoadRun(deployment, {}, load) for load in (0.9, 1.0, 1.5)], options
    )
    best_goodput = max(report.goodput for report in reports)
    return [
        TargetCheck(
            "150% load, goodput over best",
            reports[2].goodput / best_goodput,
            0.95,
            is_minimum=True,
        ),
        TargetCheck(
            "150% load, refusal p99, s", reports[2].refusal_s.p99, 0.05
        ),
    ]


def check_flooding_team(options: Options) -> list[TargetCheck]:
    """One team offers 120% of capacity while the others offer 30%."""
    deployment = load_deployment(BUYBACK_FILE, deadline_s=15.0)
    alone, flooded = run_concurrently(
        [LoadRun(deployment, {}, 0.3), LoadRun(deployment, {}, 0.3, flood=1.2)],
        options,
    )
    ratio = flooded.stretch.p99 / alone.stretch.p99
    return [TargetCheck("another team floods, p99 over alone", ratio, 1.5)]


CASES: dict[str, Callable[[Options], list[TargetCheck]]] = {
    "light": check_light_load,
    "steady": check_steady_load,
    "bursts": check_bursts,
    "large": check_large_jobs,
    "messages": check_wasted_messages,
    "broken": check_failures,
    "overload": check_overload,
    "flood": check_flooding_team,
}


def main() -> int:
    """Runs the cases and returns 0 if all targets are met."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--duration", type=float, default=60.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--only", default=",".join(CASES))
    arguments = parser.parse_args()
    options = Options(arguments.duration, arguments.seed)
    missed = 0
    for name in arguments.only.split(","):
        for check in CASES[name](options):
            missed += not check.is_met
            comparison = ">=" if check.is_minimum else "<="
            result = "met" if check.is_met else "MISSED"
            print(
                f"{check.name:44} {check.value:9.3f} {comparison} "
                f"{check.limit:6.3f}  {result}",
                flush=True,
            )
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
