"""Measures the added latency of a task, and task starts per entry core."""

import time
from concurrent.futures import ThreadPoolExecutor

import msgspec

from benchmarks.measure import percentile, read_usage
from faults.system import System
from sardinestair.cli.client import ApiClient
from sardinestair.transfer import Transfer

CALL_COUNT = 200
TASK_S = 0.05
EMPTY_JOB_COUNT = 60
TASKS_PER_JOB = 930
CALLERS = 4


def measure_added_latency(system: System) -> dict[str, float]:
    """Returns the latency that dispatching adds to a 50 ms task, in ms.

    Direct and dispatched calls alternate.
    """
    port = read_upstream_port(system)
    direct_url = f"http://127.0.0.1:{port}/tasks"
    direct, client = Transfer(), ApiClient(system.urls[0])
    payload = {"run_s": TASK_S, "echo": 1}
    job = {"service": system.service, "team": "b",
           "tasks": [{"payload": payload}]}  # fmt: skip
    body = msgspec.json.encode(payload)
    added_s, direct_s = [], []
    for _ in range(CALL_COUNT):
        direct_start_s = time.perf_counter()
        direct.perform("POST", direct_url, body, 5.0)
        dispatched_start_s = time.perf_counter()
        assert client.call("POST", "/v1/jobs", job).is_ok()
        ended_s = time.perf_counter()
        direct_s.append(dispatched_start_s - direct_start_s)
        added_s.append(
            ended_s - dispatched_start_s - (dispatched_start_s - direct_start_s)
        )
    return {
        "direct_p50_ms": percentile(direct_s, 0.5) * 1000,
        "added_p50_ms": percentile(added_s, 0.5) * 1000,
        "added_p99_ms": percentile(added_s, 0.99) * 1000,
    }


def read_upstream_port(system: System) -> int:
    """Returns the port of the first upstream."""
    call = {"service": system.service, "team": "b",
            "tasks": [{"payload": {}}]}  # fmt: skip
    ApiClient(system.urls[0]).call("POST", "/v1/jobs", call)
    with open(f"{system.start_log}.0", encoding="utf-8") as stream:
        return int(stream.read().split()[-1])


def measure_start_rate(system: System) -> dict[str, float]:
    """Returns the rate of task starts, in total and per entry core."""
    job = {"service": system.service, "team": "b",
           "tasks": [{"payload": {}}] * TASKS_PER_JOB}  # fmt: skip
    process = system.entries[0].process
    assert process is not None
    pid = process.pid

    def submit(_number: int) -> bool:
        client = ApiClient(system.urls[0])
        return client.call("POST", "/v1/jobs", job).is_ok()

    before, started_s = read_usage(pid), time.perf_counter()
    with ThreadPoolExecutor(CALLERS) as pool:
        complete = sum(pool.map(submit, range(EMPTY_JOB_COUNT)))
    elapsed_s = time.perf_counter() - started_s
    after = read_usage(pid)
    tasks = complete * TASKS_PER_JOB
    return {
        "tasks": tasks,
        "starts_per_s": tasks / elapsed_s,
        "entry_cores": (after.cpu_s - before.cpu_s) / elapsed_s,
        "starts_per_core_s": tasks / (after.cpu_s - before.cpu_s),
        "entry_mb": after.resident_mb,
    }


def main() -> None:
    """Runs the benchmark."""
    single = System(entries=1, upstreams=1, speeds=[1.0])
    try:
        single.start()
        print_metrics(measure_added_latency(single))
    finally:
        single.stop()
    many = System(entries=1, upstreams=8, speeds=[1.0] * 8)
    try:
        many.start()
        print_metrics(measure_start_rate(many))
    finally:
        many.stop()


def print_metrics(metrics: dict[str, float]) -> None:
    """Prints one measurement per line."""
    for name, value in metrics.items():
        print(f"{name:20} {value:10.2f}")


if __name__ == "__main__":
    main()
