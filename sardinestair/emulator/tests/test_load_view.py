"""The shared view of load over real links, during a burst at one entry."""

import pytest

from sardinestair.emulator import BUYBACK, EmulatedSystem
from sardinestair.emulator.experiment import make_tree
from sardinestair.emulator.system import SERVICE, UpstreamModel
from sardinestair.emulator.workload import EmulatedJob

SIDECARS = 4
LARGE_JOBS = 12
BURST_S = 1.0
# A report waits for a heartbeat of the entry and one of the sidecar, each due
# after 0.15 s and sent at the next of the emulation's ticks of 0.1 s.
REPORT_S = 0.5
URGENT, LARGE = BUYBACK[0].priority, BUYBACK[1].priority


@pytest.fixture
def system():
    """A system of three entries, of which the first gets a burst."""
    system = EmulatedSystem(
        3, [UpstreamModel() for _ in range(SIDECARS)], make_tree()
    )
    # An upstream gets few tasks until the first of them has succeeded.
    warm_up = [
        EmulatedJob(BUYBACK[0], 0.1, [0.1] * SIDECARS, 1600, 0.1, 9.0)
        for _ in system.dispatchers
    ]
    system.submit(warm_up)
    for _ in range(LARGE_JOBS):
        job = EmulatedJob(BUYBACK[1], 0.0, [1.8] * 16, 1600, 1.8, 9.0)
        arrive = system.make_arrival(system.dispatchers[0], job)
        system.schedule(BURST_S, arrive)
    return system


def states(system):
    return [dispatcher.services[SERVICE] for dispatcher in system.dispatchers]


def predict(system, priority):
    """Returns the backlog that each entry sees, in seconds."""
    now_s = system.clock.monotonic()
    return [s.load_view.backlog_s(priority, now_s) for s in states(system)]


def test_calm_system_has_no_backlog(system):
    system.run(BURST_S / 2)
    assert predict(system, LARGE) == [0.0, 0.0, 0.0]


def test_burst_at_one_entry_is_seen_by_all_soon(system):
    system.run(BURST_S + REPORT_S)
    burdened, *others = states(system)
    waiting_s = burdened.queue.waiting_by_class.work_until(LARGE)
    assert waiting_s > 100.0
    for other, seen_s in zip(others, predict(system, LARGE)[1:], strict=True):
        assert other.queue.waiting_tasks == 0
        expected_s = waiting_s / other.throughput()
        assert seen_s == pytest.approx(expected_s, rel=0.2)


def test_large_jobs_are_not_ahead_of_urgent_ones(system):
    system.run(BURST_S + REPORT_S)
    assert predict(system, URGENT) == [0.0, 0.0, 0.0]


def test_lost_sidecars_leave_the_view_unknown_rather_than_wrong(system):
    system.run(BURST_S + REPORT_S)
    for link in states(system)[1].links.values():
        link.load.reset()
    assert predict(system, LARGE)[1] is None
