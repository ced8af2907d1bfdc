"""Compares placement policies on the real programs.

The systems run concurrently and receive the same jobs. Run it with
`python -m benchmarks.bench_placement`.
"""

import argparse
import sys
import time
from concurrent.futures import ThreadPoolExecutor

import msgspec
import yaml

from faults.system import System
from sardinestair.load import (
    Deployment,
    LoadReport,
    generate_jobs,
    run_load,
    summarize,
)
from sardinestair.load.scrape import read_wasted
from sardinestair.settings import load_yaml

# Early binding: tasks are sent immediately and queue at the upstream.
EARLY_BINDING = {"order": "first_come", "wait_margin": 0.0, "read_ahead": 5000}
VARIANTS: dict[str, dict] = {
    "round robin": {**EARLY_BINDING, "policy": "round_robin"},
    "power of two": {**EARLY_BINDING, "policy": "power_of_two_choices"},
    "least outstanding": {**EARLY_BINDING, "policy": "least_outstanding"},
    "first come": {"order": "first_come", "wait_margin": 0.0},
    "small first": {"wait_margin": 0.0},
    "default": {},
}
WARM_UP_S = 12.0
FLOOD_TEAM = "flood"


def run_variant(
    deployment: Deployment,
    settings: dict,
    load: float,
    duration_s: float,
    seed: int,
    flood: float = 0.0,
) -> LoadReport:
    """Runs one system under load, after a warm-up that is not reported.

    Args:
        deployment: The system and its workload.
        settings: Service settings that replace those of the deployment.
        load: Offered load as a share of capacity.
        duration_s: Duration of the arrivals, in seconds.
        seed: Seed of the generated jobs.
        flood: Load that an additional team offers, as a share of capacity;
            its jobs are not in the report.
    """
    service_node = {"set": {**deployment.settings, **settings}}
    tree = {"services": {deployment.service: service_node}}
    system = System(
        entries=deployment.entries,
        upstreams=len(deployment.speeds),
        speeds=deployment.speeds,
        service=deployment.service,
        tree=yaml.safe_dump(tree),
        slots=deployment.slots,
        failing=tuple(deployment.failing),
    )
    try:
        system.start()
        warm_up = generate_jobs(deployment, 0.5, WARM_UP_S, seed + 100)
        run_load(system.urls, deployment, warm_up)
        before = read_wasted(system.urls)
        jobs = generate_jobs(deployment, load, duration_s, seed)
        flood_jobs = [
            msgspec.structs.replace(job, team=FLOOD_TEAM)
            for job in generate_jobs(deployment, flood, duration_s, seed + 200)
        ]
        jobs = sorted([*jobs, *flood_jobs], key=lambda job: job.arrival_s)
        records = run_load(system.urls, deployment, jobs)
        records = [r for r in records if r.job.team != FLOOD_TEAM]
        after = read_wasted(system.urls)
        healthy_ejections = count_healthy_ejections(system, deployment)
        failed_before_ejection = max(
            map(count_failed_before_ejection, read_entry_logs(system))
        )
    finally:
        system.stop()
    wasted = {kind: n - before.get(kind, 0) for kind, n in after.items()}
    return summarize(records, wasted, healthy_ejections, failed_before_ejection)


def count_healthy_ejections(system: System, deployment: Deployment) -> int:
    """Returns how often entries ejected upstreams that do not fail.

    The log names the sidecar; those of failing upstreams are not counted.
    """
    count = 0
    failing = {read_sidecar_name(system, i) for i in deployment.failing}
    for lines in read_entry_logs(system):
        ejections = [line for line in lines if "event=upstream_out" in line]
        names = [
            line.rpartition("sidecar=")[2].split()[0] for line in ejections
        ]
        count += sum(name not in failing for name in names)
    return count


def count_failed_before_ejection(lines: list[str]) -> int:
    """Returns the number of usual jobs that failed before an ejection."""
    count = 0
    for line in lines:
        if "event=upstream_out" in line:
            return count
        count += "kind=usual state=failed" in line and "status 500" in line
    return count


def read_entry_logs(system: System) -> list[list[str]]:
    """Returns the log lines of each entry."""
    logs = []
    for program in system.entries:
        file = f"{system.folder}/{program.name}.log"
        with open(file, encoding="utf-8") as stream:
            logs.append(stream.readlines())
    return logs


def read_sidecar_name(system: System, index: int) -> str:
    """Returns the name of a sidecar in the logs of the entries."""
    file = f"{system.folder}/{system.sidecars[index].name}.log"
    with open(file, encoding="utf-8") as stream:
        started = next(x for x in stream if "event=sidecar_started" in x)
    return started.partition("sidecar=")[2].split()[0]


def main() -> int:
    """Runs the selected variants and prints a table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--deployment", default="examples/buyback.yaml")
    parser.add_argument("--load", type=float, default=0.7)
    parser.add_argument("--duration", type=float, default=60.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--bursts", type=float, default=1.0)
    parser.add_argument("--large", type=float, default=0.0)
    parser.add_argument("--variants", default=",".join(VARIANTS))
    parser.add_argument(
        "--set",
        action="append",
        default=[],
        help="an additional variant, name:key=value,key=value",
    )
    options = parser.parse_args()
    deployment = load_yaml(options.deployment, Deployment).ok
    workload = msgspec.structs.replace(
        deployment.workload,
        burst_factor=options.bursts,
        large_share=options.large,
    )
    deployment = msgspec.structs.replace(deployment, workload=workload)
    names = [name for name in options.variants.split(",") if name]
    variants = {name: VARIANTS[name] for name in names}
    for text in options.set:
        name, _, pairs = text.partition(":")
        items = [pair.split("=") for pair in pairs.split(",")]
        variants[name] = {key: yaml.safe_load(v) for key, v in items}

    def run(settings: dict) -> LoadReport:
        return run_variant(
            deployment, settings, options.load, options.duration, options.seed
        )

    started_s = time.monotonic()
    with ThreadPoolExecutor(len(variants)) as pool:
        reports = list(pool.map(run, variants.values()))
    print(
        f"load {options.load}, {reports[0].jobs} jobs, "
        f"{reports[0].tasks} tasks, seed {options.seed}, "
        f"{time.monotonic() - started_s:.0f} s"
    )
    print(
        f"{'variant':22} {'p50':>7} {'p90':>7} {'p99':>7} {'large99':>8} "
        f"{'wasted':>7}  statuses"
    )
    for name, report in zip(variants, reports, strict=True):
        s = report.stretch
        print(
            f"{name:22} {s.p50:7.2f} {s.p90:7.2f} {s.p99:7.2f} "
            f"{report.stretch_large.p99:8.2f} {report.wasted_per_task:7.4f}"
            f"  {report.statuses} {report.wasted}"
        )
    return 0


if __name__ == "__main__":
    sys.exit(main())
