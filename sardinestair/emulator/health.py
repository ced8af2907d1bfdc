"""Emulates one upstream that fails, flaps or turns slow, and recovers.

Run `python -m sardinestair.emulator.health [SEED]`. It counts the tasks that
start there until the fault is seen, and the time until it is used again.
"""

import sys
from collections.abc import Callable

import msgspec

from sardinestair.emulator.experiment import make_tree
from sardinestair.emulator.system import EmulatedSystem, Fault, UpstreamModel
from sardinestair.emulator.workload import BUYBACK, Workload

__all__ = ["PATTERNS", "HealthResult", "run_health"]

ENTRIES = 6
UPSTREAMS = 8
LOAD_FACTOR = 0.5
POLICY = {"policy": "meet_objective", "shared_speeds": True}
FAULT_START_S = 3.0
FAULT_END_S = 7.0
ARRIVALS_S = 16.0
DRAIN_S = 4.0
# An upstream that flaps changes its state at this interval.
FLAP_S = 0.5
SLOWDOWN = 5.0
SAMPLE_S = 0.25
# Share of the mean starts of the others below which an upstream is avoided, and
# above which it is used.
AVOIDED_SHARE = 0.25
USED_SHARE = 0.5
# Starts are compared over this many samples.
WINDOW = 2


class HealthResult(msgspec.Struct):
    """What a fault of one upstream cost.

    Attributes:
        tasks: Tasks that started there during the fault.
        mean_tasks: Mean of the others in the same time.
        seen_s: Time until it was avoided, in seconds; None if it never was.
        back_s: Time until it was used again after the fault, in seconds; None
            if it wasn't while jobs came.
        jobs_failed: Jobs that were accepted and got no answer.
        in_time: Share of the jobs that were answered in time.
    """

    tasks: int
    mean_tasks: float
    seen_s: float | None
    back_s: float | None
    jobs_failed: int
    in_time: float


def _fail(system: EmulatedSystem) -> None:
    """Fails every task at once, while its health is good."""
    system.upstreams[0].fault = Fault.FAILING


def _fail_half(system: EmulatedSystem) -> None:
    """Fails half of the tasks at once, while its health is good."""
    system.upstreams[0].failing_share = 0.5


def _stall(system: EmulatedSystem) -> None:
    """Ends no task, while its health is good."""
    system.upstreams[0].fault = Fault.STALLED


def _slow(system: EmulatedSystem) -> None:
    """Takes longer for each task."""
    system.upstreams[0].speed = SLOWDOWN


def _flap(system: EmulatedSystem) -> None:
    """Fails and serves by turns."""
    model = system.upstreams[0]

    def turn(is_failing: bool) -> None:
        if system.clock.monotonic() >= system.start_s + FAULT_END_S:
            return
        model.fault = Fault.FAILING if is_failing else Fault.NONE
        system.schedule(FLAP_S, lambda: turn(not is_failing))

    turn(True)


def _go_down_and_up(system: EmulatedSystem) -> None:
    """Leaves and announces itself by turns."""
    server = system.servers[0]
    announcement = server.upstream.announcement
    assert announcement is not None

    def turn(is_leaving: bool) -> None:
        if is_leaving:
            server.leave()
        else:
            server.announce(announcement)
            server.upstream.expires_s = float("inf")
        is_over = system.clock.monotonic() >= system.start_s + FAULT_END_S
        if is_leaving or not is_over:
            system.schedule(FLAP_S, lambda: turn(not is_leaving))

    turn(True)


PATTERNS: dict[str, Callable[[EmulatedSystem], None]] = {
    "health lies: fails": _fail,
    "health lies: fails half": _fail_half,
    "health lies: stalls": _stall,
    "fails by turns": _flap,
    "down by turns": _go_down_and_up,
    "turns slow": _slow,
}


def run_health(pattern: str, seed: int = 1) -> HealthResult:
    """Emulates one pattern.

    Args:
        pattern: A name in `PATTERNS`.
        seed: Seed of the workload.
    """
    models = [UpstreamModel() for _ in range(UPSTREAMS)]
    system = EmulatedSystem(ENTRIES, models, make_tree(POLICY))
    samples: list[list[int]] = []

    def sample() -> None:
        samples.append([each.start_count for each in system.emulated])
        system.schedule(SAMPLE_S, sample)

    def recover() -> None:
        models[0].fault, models[0].speed = Fault.NONE, 1.0
        models[0].failing_share = 0.0

    sample()
    system.schedule(FAULT_START_S, lambda: PATTERNS[pattern](system))
    system.schedule(FAULT_END_S, recover)
    system.submit(list(Workload(BUYBACK, LOAD_FACTOR, seed).jobs(ARRIVALS_S)))
    report = system.run(ARRIVALS_S + DRAIN_S)
    first, last = round(FAULT_START_S / SAMPLE_S), round(FAULT_END_S / SAMPLE_S)
    tasks, mean_tasks = _starts(samples, first, last)
    jobs = sum(tally.jobs for tally in report.by_kind.values())
    in_time = sum(tally.in_time for tally in report.by_kind.values())
    return HealthResult(
        tasks,
        mean_tasks,
        _first_time_s(samples, first, last, lambda x: x < AVOIDED_SHARE),
        _first_time_s(
            samples,
            last,
            round(ARRIVALS_S / SAMPLE_S) - WINDOW,
            lambda x: x > USED_SHARE,
        ),
        report.failed_after_acceptance,
        in_time / jobs,
    )


def _starts(
    samples: list[list[int]], first: int, last: int
) -> tuple[int, float]:
    """Returns the starts at the upstream, and the mean of the others."""
    counts = [
        end - begin
        for begin, end in zip(samples[first], samples[last], strict=True)
    ]
    return counts[0], sum(counts[1:]) / len(counts[1:])


def _first_time_s(
    samples: list[list[int]],
    first: int,
    last: int,
    condition: Callable[[float], bool],
) -> float | None:
    """Returns when the share of starts first meets a condition."""
    for index in range(first, last):
        tasks, mean_tasks = _starts(samples, index, index + WINDOW)
        if mean_tasks and condition(tasks / mean_tasks):
            return (index - first) * SAMPLE_S
    return None


def main() -> None:
    """Prints a line for each pattern."""
    seed = int(sys.argv[1]) if len(sys.argv) > 1 else 1
    for pattern in PATTERNS:
        result = run_health(pattern, seed)
        values = " ".join(
            f"{name}={value if value is None else round(value, 3)}"
            for name, value in msgspec.structs.asdict(result).items()
        )
        print(f"{pattern:24} {values}", flush=True)


if __name__ == "__main__":
    main()
