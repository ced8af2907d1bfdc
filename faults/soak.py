"""Random, overlapping faults under load: `python -m faults.soak`.

Each seed determines the size of a system and the faults injected for some
seconds: processes are killed, paused and stopped gracefully, links are
delayed, reset, silenced and blocked in one direction, the store fails,
settings are changed concurrently, zones are evacuated and used again,
upstreams leave at short notice, crowds of jobs of three priorities ask for more
than there is room for, and clients misuse HTTP. Duplicate starts are checked
while the system runs, all other guarantees at the end.
"""

import argparse
import multiprocessing
import random
import sys
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import msgspec

from faults.callers import Callers
from faults.hostile import run_crowd
from faults.misuse import KINDS, PATHS
from faults.random_faults import (
    KINDS_OF_JOB,
    NOTICE_S,
    RANDOM_FAULTS,
    SOAK_SETTINGS,
)
from faults.relay import Relay
from faults.scenarios import (
    FaultContext,
    have_all_slots,
    have_evacuations_ended,
    have_settings_converged,
)
from faults.system import ZONES, System
from faults.verdicts import (
    Verdict,
    describe_violations,
    evacuated_starts,
    evaluate,
    read_log,
    read_starts,
)

__all__ = ["run_seed", "regression_seeds"]

SEEDS_FILE = Path(__file__).parent / "soak_seeds.txt"
DEFAULT_SECONDS = 8.0
CHECK_INTERVAL_S = 1.0
# Time in which tasks hit by the last fault are detected as lost.
SETTLE_S = 2.0
MAX_CONCURRENT_FAULTS = 4
HOSTILE_CONNECTIONS = 50


class SystemSize(msgspec.Struct, frozen=True):
    """Size of the system and of its load.

    Attributes:
        entries: Number of entries.
        sidecars: Number of sidecars, with one upstream each.
        callers: Number of callers, with one job in flight each.
    """

    entries: int
    sidecars: int
    callers: int


LARGE_SYSTEM = SystemSize(entries=6, sidecars=60, callers=48)


def draw_size(rng: random.Random) -> SystemSize:
    """Draws the size of a system."""
    return SystemSize(rng.randint(2, 4), rng.randint(3, 8), rng.randint(8, 24))


def misuse_http(system: System, rng: random.Random, seconds: float) -> None:
    """Sends crowds of clients that misuse HTTP to random entries in turn."""
    deadline_s = time.monotonic() + seconds
    # A fork would copy the locks of threads that hold them.
    spawned = multiprocessing.get_context("spawn")
    while time.monotonic() < deadline_s:
        crowd = spawned.Process(
            target=run_crowd,
            args=(
                KINDS[rng.choice(sorted(KINDS))],
                rng.choice(system.entry_ports),
                PATHS["entry"],
                HOSTILE_CONNECTIONS,
                rng.uniform(0.5, 3.0),
            ),
        )
        crowd.start()
        crowd.join()


class StartMonitor:
    """Checks for duplicate starts while a system runs.

    Args:
        system: The system under test.
        callers: Its callers.

    Attributes:
        doubled: The highest number found by one check.
    """

    def __init__(self, system: System, callers: Callers):
        self.system = system
        self.callers = callers
        self.doubled = 0
        self.stopping = threading.Event()
        self.thread = threading.Thread(target=self._run)

    def start(self) -> None:
        """Starts checking at regular intervals."""
        self.thread.start()

    def stop(self) -> None:
        """Stops checking and waits for the thread."""
        self.stopping.set()
        self.thread.join()

    def _run(self) -> None:
        while not self.stopping.wait(CHECK_INTERVAL_S):
            starts = read_starts(self.system.start_log)
            records = list(self.callers.records)
            self.doubled = max(self.doubled, evaluate(records, starts).doubled)


def run_seed(
    seed: int, seconds: float = DEFAULT_SECONDS, size: SystemSize | None = None
) -> tuple[Verdict, str]:
    """Runs one seed and checks the guarantees.

    Args:
        seed: Seed of the system, the load and the faults.
        seconds: How long faults are injected, in seconds.
        size: Size of the system; drawn if None.

    Returns:
        Counts of tasks and violations, and the folder with the logs.
    """
    rng = random.Random(f"soak {seed}")
    size = size or draw_size(rng)
    system = System(
        size.entries,
        size.sidecars,
        seed,
        tree=SOAK_SETTINGS,
        notice_s=NOTICE_S,
    )
    relays = {i: Relay(port) for i, port in enumerate(system.link_ports)}
    for index, relay in relays.items():
        system.set_advertised_endpoint(index, relay.endpoint)
    context = FaultContext(system, relays, Verdict(), rng)
    try:
        system.start()
        callers = Callers(system, size.callers, seed, KINDS_OF_JOB)
        monitor = StartMonitor(system, callers)
        callers.start()
        monitor.start()
        # Drawn apart, so that the other faults of a seed stay as they are.
        misuse = threading.Thread(
            target=misuse_http,
            args=(system, random.Random(f"misuse {seed}"), seconds),
        )
        misuse.start()
        _inject_faults(context, rng, seconds)
        misuse.join()
        time.sleep(SETTLE_S)
        failures = [
            check.__name__
            for check in (
                have_settings_converged,
                have_evacuations_ended,
                have_all_slots,
            )
            if not check(system)
        ]
        records = callers.stop()
        for crowd in context.crowds:
            records += crowd.records
        monitor.stop()
    finally:
        system.stop()
        for relay in relays.values():
            relay.close()
    starts = read_starts(system.start_log)
    verdict = evaluate(records, starts)
    for line in [*failures, *describe_violations(records, starts)]:
        print(line)
    verdict.doubled = max(verdict.doubled, monitor.doubled)
    verdict.late_starts = _count_evacuated_starts(context)
    verdict.reverted = len(failures)
    return verdict, system.folder


def _count_evacuated_starts(context: FaultContext) -> int:
    """Counts the starts in zones that were evacuated for long."""
    count = 0
    for index in range(len(context.system.upstreams)):
        names = ("store", f"sidecar{index}", f"upstream{index}")
        hindrances = [h for h in context.hindrances if h.program in names]
        log = Path(f"{context.system.start_log}.{index}")
        starts = read_log(str(log)) if log.exists() else []
        for evacuation in context.evacuations:
            if evacuation.zone == ZONES[index % len(ZONES)]:
                late = evacuated_starts(starts, evacuation, hindrances)
                count += len(late)
                for start in late:
                    print(f"upstream={index} {evacuation} {start}")
    return count


def _inject_faults(
    context: FaultContext, rng: random.Random, seconds: float
) -> None:
    """Injects overlapping faults and waits until all of them have ended."""
    deadline_s = time.monotonic() + seconds
    with ThreadPoolExecutor(MAX_CONCURRENT_FAULTS) as pool:
        running = []
        while time.monotonic() < deadline_s:
            fault_rng = random.Random(rng.random())
            running.append(
                pool.submit(rng.choice(RANDOM_FAULTS), context, fault_rng)
            )
            time.sleep(rng.uniform(0.1, 1.0))
    for fault in running:
        fault.result()


def regression_seeds(file: Path = SEEDS_FILE) -> list[int]:
    """Reads the seeds that failed in the past.

    Args:
        file: One seed a line, followed by the cause; `#` begins a comment.
    """
    lines = file.read_text(encoding="utf-8").splitlines()
    return [
        int(line.split()[0])
        for line in lines
        if line and not line.startswith("#")
    ]


def main() -> int:
    """Runs seeds; returns 0 if no guarantee was violated."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--first", type=int, help="first seed; the current time if absent"
    )
    parser.add_argument("--count", type=int, default=10)
    parser.add_argument("--seconds", type=float, default=DEFAULT_SECONDS)
    parser.add_argument("--large", action="store_true", help="60 sidecars")
    parser.add_argument("--regression", action="store_true")
    options = parser.parse_args()
    first = int(time.time()) if options.first is None else options.first
    seeds = list(range(first, first + options.count))
    if options.regression:
        seeds = regression_seeds()
    broken = 0
    for seed in seeds:
        size = LARGE_SYSTEM if options.large else None
        verdict, folder = run_seed(seed, options.seconds, size)
        counts = " ".join(
            f"{name}={value}"
            for name, value in msgspec.structs.asdict(verdict).items()
        )
        broken += not verdict.is_clean
        outcome = "clean" if verdict.is_clean else f"BROKEN logs={folder}"
        print(f"seed={seed} {counts} {outcome}", flush=True)
    print(f"{len(seeds)} seeds, {broken} broken")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
