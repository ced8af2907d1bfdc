"""Measures how cost grows with size, for docs/CAPACITY.md: `make slopes`.

Run it with `python -m benchmarks.bench_slopes`.
"""

import time
import tracemalloc
from typing import Any

import msgspec

from benchmarks.measure import Usage, read_usage
from faults.system import Program, System
from sardinestair.cli.client import ApiClient
from sardinestair.clock import SystemClock
from sardinestair.entry.dispatcher import Dispatcher
from sardinestair.ids import Incarnation, new_incarnation, new_job_id
from sardinestair.jobs.request import JobRequest, ParsedRequest, TaskRequest
from sardinestair.messages import Announce
from sardinestair.observability import Metrics
from sardinestair.placement import (
    Candidate,
    LeastExpectedFinish,
    WaitingTask,
)
from sardinestair.settings import SettingsTree
from sardinestair.settings.edit import edit_node
from sardinestair.settings.tree import resolve_settings
from sardinestair.tests.fakes import FakeContext

IDLE_S = 15.0
PAYLOAD = msgspec.Raw(b'{"isbn": "9780131103627", "condition": "good"}')
TASKS_PER_JOB = 930
FEW_SIDECARS, MANY_SIDECARS = 2, 10


def main() -> None:
    """Runs all measurements and prints them."""
    print_by_size(
        "decision, us", {n: measure_decision_us(n) for n in (11, 100, 1000)}
    )
    print_by_size(
        "queued task, bytes",
        {TASKS_PER_JOB * 20: measure_queued_task_bytes(20)},
    )
    print_by_size(
        "submit with other teams, us",
        {n: measure_submit_us(n) for n in (1, 340)},
    )
    print_by_size(
        "settings node, bytes of tree", {340: measure_tree_bytes(340) / 340}
    )
    print_by_size(
        "effective settings, us", {n: measure_resolve_us(n) for n in (10, 340)}
    )
    few, many = (
        measure_idle_usage(FEW_SIDECARS),
        measure_idle_usage(MANY_SIDECARS),
    )
    print_idle_usage(few, many)


def measure_decision_us(upstreams: int, repeats: int = 3000) -> float:
    """Returns the time to select an upstream and update the policy."""
    policy = LeastExpectedFinish()
    candidates = []
    for number in range(upstreams):
        sidecar = Incarnation(number.to_bytes(16, "big"))
        candidate = Candidate(sidecar, "quotes", "z", 8)
        candidate.slowdown_ = 1.0 + number % 7 / 2
        candidate.credits = number % 2
        candidate.outstanding = 8 - candidate.credits
        candidates.append(candidate)
        policy.update(candidate)
    started_s = time.perf_counter()
    for number in range(repeats):
        chosen = policy.select(WaitingTask(0.3, number % 50))
        policy.update(chosen or candidates[number % upstreams])
    return (time.perf_counter() - started_s) / repeats * 1e6


def make_dispatcher(upstreams: int) -> Dispatcher:
    """Returns a dispatcher with upstreams that grant no credits."""
    context: Any = FakeContext()
    dispatcher = Dispatcher(
        new_incarnation(), "z", SystemClock(), Metrics(), context
    )
    tree = edit_node(SettingsTree(), "root/quotes", {}, []).ok
    limits = {"max_queued_tasks": 1_000_000, "max_queued_bytes": 1 << 30}
    dispatcher.configure(edit_node(tree, "root", limits, []).ok)
    for number in range(upstreams):
        sidecar = Incarnation(number.to_bytes(16, "big"))
        dispatcher.handle_announcement(
            Announce(sidecar, "tcp://127.0.0.1:1", "z", "quotes", 8, False, 0)
        )
    return dispatcher


def make_request(team: str, tasks: int) -> ParsedRequest:
    """Returns a job whose payloads are not shared with other jobs."""
    payloads = [TaskRequest(msgspec.Raw(bytes(PAYLOAD))) for _ in range(tasks)]
    request = JobRequest("quotes", team, payloads, deadline_s=300.0)
    request.declared_task_s = 0.001
    return ParsedRequest(new_job_id(), request, b"")


def measure_queued_task_bytes(jobs: int) -> float:
    """Returns the memory of one queued task, including its payload."""
    dispatcher = make_dispatcher(11)
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    for _ in range(jobs):
        submitted = dispatcher.submit(make_request("team", TASKS_PER_JOB))
        assert submitted.is_ok(), submitted
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return (after - before) / (jobs * TASKS_PER_JOB)


def measure_submit_us(teams: int, repeats: int = 1000) -> float:
    """Returns the time to accept a job of one task."""
    dispatcher = make_dispatcher(11)
    requests = [
        make_request(f"team{number % teams}", 1) for number in range(repeats)
    ]
    started_s = time.perf_counter()
    for request in requests:
        dispatcher.submit(request)
    return (time.perf_counter() - started_s) / repeats * 1e6


def make_tree(nodes: int) -> SettingsTree:
    """Returns a tree with a number of service nodes."""
    tree = SettingsTree()
    for number in range(nodes):
        values = {"deadline_s": 5.0, "wait_margin": 0.7}
        tree = edit_node(tree, f"root/service{number}", values, []).ok
    return tree


def measure_tree_bytes(nodes: int) -> int:
    """Returns the size of a tree in JSON, as entries exchange it."""
    return len(msgspec.json.encode(make_tree(nodes)))


def measure_resolve_us(nodes: int, repeats: int = 2000) -> float:
    """Returns the time to resolve the settings of a kind in a zone."""
    tree = make_tree(nodes)
    started_s = time.perf_counter()
    for _ in range(repeats):
        resolve_settings(tree, "service1", "leinster", "payout")
    return (time.perf_counter() - started_s) / repeats * 1e6


class IdleUsage(msgspec.Struct, frozen=True):
    """Resource usage of an idle system; CPU, bytes and calls per second."""

    entry: Usage
    sidecar: Usage
    loopback_bytes: float
    store_calls: float


def measure_idle_usage(sidecars: int) -> IdleUsage:
    """Returns the usage of one entry and one sidecar of an idle system."""
    system = System(entries=3, upstreams=sidecars, speeds=[1.0] * sidecars)
    try:
        system.start()
        time.sleep(5.0)
        pids = [_pid(system.entries[0]), _pid(system.sidecars[0])]
        before = [read_usage(pid) for pid in pids]
        bytes_before, calls_before = _read_counters(system)
        time.sleep(IDLE_S)
        after = [read_usage(pid) for pid in pids]
        bytes_after, calls_after = _read_counters(system)
    finally:
        system.stop()
    return IdleUsage(
        _usage_between(before[0], after[0]),
        _usage_between(before[1], after[1]),
        (bytes_after - bytes_before) / IDLE_S,
        (calls_after - calls_before) / IDLE_S,
    )


def _pid(program: Program) -> int:
    assert program.process is not None
    return program.process.pid


def _usage_between(before: Usage, after: Usage) -> Usage:
    core_share = (after.cpu_s - before.cpu_s) / IDLE_S
    return Usage(core_share, after.resident_mb, after.threads)


def _read_counters(system: System) -> tuple[int, int]:
    with open("/proc/net/dev", encoding="utf-8") as stream:
        line = next(x for x in stream if x.strip().startswith("lo:"))
    calls = ApiClient(system.store_url).call("GET", "/standin/calls").ok
    return int(line.split()[1]), sum(calls.values())


def print_by_size(name: str, values: dict[int, float]) -> None:
    """Prints a measurement by size."""
    cells = "  ".join(f"{n}: {value:.1f}" for n, value in values.items())
    print(f"{name:34} {cells}", flush=True)


def print_idle_usage(few: IdleUsage, many: IdleUsage) -> None:
    """Prints the usage of idle processes, and the traffic per sidecar."""
    added_sidecars = MANY_SIDECARS - FEW_SIDECARS
    for role in ("entry", "sidecar"):
        small, large = getattr(few, role), getattr(many, role)
        print(
            f"idle {role:8} core {small.cpu_s:.4f} -> {large.cpu_s:.4f}, "
            f"MB {small.resident_mb:.1f} -> {large.resident_mb:.1f}, "
            f"threads {small.threads} -> {large.threads}"
        )
    per_sidecar = (many.loopback_bytes - few.loopback_bytes) / added_sidecars
    print(f"loopback bytes/s per sidecar       {per_sidecar:.0f}")
    print(f"store calls/s, three entries       {many.store_calls:.2f}")


if __name__ == "__main__":
    main()
