"""Compares policies under several load patterns.

Run `python -m sardinestair.emulator.experiment [NAME=VALUE...]`.
"""

import sys
import time
from typing import Any

import msgspec

from sardinestair.emulator.report import Report
from sardinestair.emulator.system import EmulatedSystem, Fault, UpstreamModel
from sardinestair.emulator.workload import BUYBACK, EmulatedJob, Workload
from sardinestair.settings.tree import (
    WILDCARD,
    KindNode,
    Overrides,
    ServiceNode,
    SettingsTree,
    ZoneNode,
)

__all__ = [
    "CRASH_PATTERN",
    "PATTERNS",
    "make_tree",
    "make_upstreams",
    "run_pattern",
]

SLOW_SPEED, FAST_SPEED = 1 / 0.55, 1 / 1.2
ARRIVALS_S = 18.0
DRAIN_S = 10.0
OUTAGE_PATTERN = "back from dark"
CRASH_PATTERN = "tasks crash upstreams"
# After an outage at the start, the jobs that arrived during it are resubmitted
# within a fraction of a second.
OUTAGE_S = 2.0
RESUBMISSION_S = 0.4
FAULT_START_S = 6.0
FAULT_END_S = 12.0


def make_upstreams() -> list[UpstreamModel]:
    """Returns the upstreams of the specification of the buyback counters."""
    speeds = [SLOW_SPEED if n % 4 == 0 else FAST_SPEED for n in range(11)]
    cpu_millis = [24000 if n % 3 == 2 else 16000 for n in range(11)]
    return [
        UpstreamModel(speed, cpu)
        for speed, cpu in zip(speeds, cpu_millis, strict=True)
    ]


def make_tree(defaults: dict[str, Any] | None = None) -> SettingsTree:
    """Returns a settings tree like that of the platform, with the job kinds.

    Args:
        defaults: Settings to override at the root.
    """
    usual_defaults = {"order": "least_slack", "useful_factor": 3}
    values = {**usual_defaults, **(defaults or {})}
    zone = ZoneNode()
    for kind in BUYBACK:
        zone.kinds[kind.name] = KindNode(
            Overrides(
                max_attempts=kind.max_attempts,
                priority=kind.priority,
                objective_stretch=1.6,
                objective_s=0.06,
            )
        )
    root = msgspec.convert(values, Overrides)
    services = {"quotes": ServiceNode(zones={WILDCARD: zone})}
    return SettingsTree(root, services)


def _change_temporarily(
    system: EmulatedSystem, index: int, parameter: str, value: object
) -> None:
    """Changes an upstream's parameter during the fault interval."""
    upstream = system.upstreams[index]
    normal_value = getattr(upstream, parameter)
    system.schedule(FAULT_START_S, lambda: setattr(upstream, parameter, value))
    system.schedule(
        FAULT_END_S, lambda: setattr(upstream, parameter, normal_value)
    )


def slow_down_upstreams(system: EmulatedSystem) -> None:
    """Slows down two of eleven upstreams by a factor of seven."""
    for index in (1, 5):
        speed = system.upstreams[index].speed
        _change_temporarily(system, index, "speed", 7 * speed)


def stall_tasks(system: EmulatedSystem) -> None:
    """Stalls the tasks of one upstream."""
    _change_temporarily(system, 2, "fault", Fault.STALLED)


def fail_tasks(system: EmulatedSystem) -> None:
    """Makes one upstream fail every task immediately."""
    _change_temporarily(system, 2, "fault", Fault.FAILING)


def remove_upstreams(system: EmulatedSystem) -> None:
    """Removes two of eleven upstreams permanently."""
    for index in (1, 5):
        system.schedule(FAULT_START_S, system.servers[index].leave)


def leave_starts_unanswered(system: EmulatedSystem) -> None:
    """Leaves one start in 25 without a reply."""
    for index in range(len(system.upstreams)):
        _change_temporarily(system, index, "unanswered_share", 0.04)


def _add_crashing_jobs(jobs: list[EmulatedJob]) -> None:
    """Lets one in ten jobs of the first kind crash upstreams for a time."""
    candidates = [
        job
        for job in sorted(jobs, key=lambda job: job.arrival_s)
        if job.kind is BUYBACK[0]
        and FAULT_START_S <= job.arrival_s < FAULT_END_S
    ]
    for job in candidates[::10]:
        job.crashes = True


def inject_nothing(_system: EmulatedSystem) -> None:
    """Injects no fault."""


# By name: the fault to inject, and the load relative to the specified rates.
PATTERNS = {
    "calm": (inject_nothing, 0.7),
    "sheet": (inject_nothing, 1.1),
    "burst of all": (inject_nothing, 1.4),
    "a quarter slow": (slow_down_upstreams, 1.1),
    "tasks stand still": (stall_tasks, 1.1),
    "errors come fast": (fail_tasks, 1.1),
    "orders unanswered": (leave_starts_unanswered, 1.1),
    "upstreams leave": (remove_upstreams, 1.2),
    OUTAGE_PATTERN: (inject_nothing, 1.1),
    CRASH_PATTERN: (inject_nothing, 1.0),
}


def run_pattern(
    pattern: str, seed: int = 1, defaults: dict[str, Any] | None = None
) -> Report:
    """Emulates one pattern.

    Args:
        pattern: A name in `PATTERNS`.
        seed: Seed of the workload.
        defaults: Settings to override at the root of the tree.
    """
    inject, load_factor = PATTERNS[pattern]
    system = EmulatedSystem(3, make_upstreams(), make_tree(defaults))
    inject(system)
    jobs = list(Workload(BUYBACK, load_factor, seed).jobs(ARRIVALS_S))
    if pattern == OUTAGE_PATTERN:
        _shift_outage_arrivals(jobs)
    if pattern == CRASH_PATTERN:
        _add_crashing_jobs(jobs)
    system.submit(jobs)
    return system.run(ARRIVALS_S + DRAIN_S)


def _shift_outage_arrivals(jobs: list[EmulatedJob]) -> None:
    """Compresses the arrivals of the outage into the time of resubmission."""
    for job in jobs:
        if job.arrival_s < OUTAGE_S:
            job.arrival_s *= RESUBMISSION_S / OUTAGE_S
        else:
            job.arrival_s -= OUTAGE_S - RESUBMISSION_S


def main() -> None:
    """Prints a line for each pattern; arguments are settings, NAME=VALUE."""
    pairs = [argument.split("=", 1) for argument in sys.argv[1:]]
    defaults = {name: _parse_value(text) for name, text in pairs}
    for pattern in PATTERNS:
        start_s = time.monotonic()
        line = run_pattern(pattern, 1, defaults).format_line(pattern)
        print(f"{line} took_s={time.monotonic() - start_s:.1f}", flush=True)


def _parse_value(text: str) -> object:
    try:
        return float(text)
    except ValueError:
        return text


if __name__ == "__main__":
    main()
