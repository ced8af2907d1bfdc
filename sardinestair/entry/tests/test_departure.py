"""Tasks at upstreams that leave at short notice."""

import msgspec
import pytest

from sardinestair.entry.departure import STOP_AHEAD_S, should_move
from sardinestair.entry.tests.harness import A, Entry, make_announce
from sardinestair.messages import (
    Grant,
    Leaving,
    Outcome,
    Stop,
    TaskState,
    UpstreamStatus,
)
from sardinestair.placement import RunTimeEstimator
from sardinestair.settings import parse_tree

TASK_RUN_S = 1.8
TREE = (
    "set: {repeat_interrupted: true, move_before_departure: true}\n"
    "services: {quotes: {}}"
)


@pytest.fixture
def entry():
    """An entry that runs one task of 1.8 s, to be moved if it can't end."""
    entry = Entry(max_attempts=1)
    entry.dispatcher.configure(parse_tree(TREE).ok)
    times = RunTimeEstimator()
    for _ in range(50):
        times.observe(TASK_RUN_S)
    entry.dispatcher.service_state("quotes").run_times_["default"] = times
    entry.job = entry.submit().ok
    return entry


def give_notice(entry, leaves_in_s):
    """Lets the upstream of the task leave; returns its link."""
    sidecar = entry.in_flight()[0][0]
    announce = msgspec.structs.replace(
        make_announce(sidecar),
        leaving=True,
        status=UpstreamStatus(leaves_in_s),
    )
    entry.receive(sidecar, Leaving())
    entry.dispatcher.handle_announcement(announce)
    return entry.links[sidecar]


def advance(entry, seconds):
    entry.clock.advance(seconds)
    entry.dispatcher.run_periodic_checks()


def stopped(link):
    return [r for m in link.outbox if isinstance(m, Stop) for r in m.tasks]


# Guards against runs that are lost with an upstream that gave notice: a task of
# 1.8 s was left on an upstream that left in 1.6 s.
def test_task_that_can_not_end_is_moved_at_once(entry):
    advance(entry, 0.1)
    link = give_notice(entry, 1.6)
    assert [ref.index for ref in stopped(link)] == [0]
    entry.report_outcome(0, TaskState.INTERRUPTED, b"moved")
    assert entry.in_flight()[0][0] != link.sidecar
    assert entry.job.failures == [0]


def test_task_that_will_have_ended_stays(entry):
    advance(entry, 0.5)
    link = give_notice(entry, 1.6)
    advance(entry, 1.2)
    assert stopped(link) == []
    entry.report_outcome(0, TaskState.DONE)
    assert entry.job.done.result(0).is_ok()


def test_task_that_takes_longer_than_expected_is_moved_at_the_end(entry):
    advance(entry, 1.0)
    link = give_notice(entry, 1.6)
    advance(entry, 1.3)
    assert stopped(link) == []
    advance(entry, 0.2)
    assert len(stopped(link)) == 1
    advance(entry, 0.05)
    assert len(stopped(link)) == 1


def test_task_is_not_moved_if_its_job_may_not_repeat(entry):
    entry.job.can_repeat = False
    link = give_notice(entry, 0.5)
    advance(entry, 0.5)
    assert stopped(link) == []


def test_task_is_not_moved_if_a_new_run_would_end_too_late(entry):
    entry.job.useful_until_s = entry.clock.monotonic() + TASK_RUN_S - 0.1
    link = give_notice(entry, 0.5)
    assert stopped(link) == []


def test_task_is_not_moved_without_another_upstream(entry):
    other = ({*entry.links} - {entry.in_flight()[0][0]}).pop()
    entry.dispatcher.remove_sidecar(other)
    link = give_notice(entry, 0.5)
    assert stopped(link) == []


def test_task_is_not_moved_unless_configured(entry):
    entry.dispatcher.configure(parse_tree("services: {quotes: {}}").ok)
    link = give_notice(entry, 0.5)
    assert stopped(link) == []


def test_upstream_without_notice_keeps_its_tasks(entry):
    link = give_notice(entry, None)
    advance(entry, 1.0)
    assert stopped(link) == []


def test_upstream_that_serves_again_keeps_its_tasks(entry):
    advance(entry, 0.5)
    link = give_notice(entry, 1.6)
    entry.dispatcher.handle_announcement(make_announce(link.sidecar))
    entry.receive(link.sidecar, Grant(16000))
    advance(entry, 1.5)
    assert stopped(link) == []


def lost_runs(entry):
    entry.dispatcher.metrics.render()
    text = entry.dispatcher.metrics.render()[0].decode()
    return [line for line in text.splitlines() if "runs_lost_with" in line]


def test_lost_run_is_counted_but_a_moved_one_is_not(entry):
    link = give_notice(entry, 0.5)
    entry.report_outcome(0, TaskState.INTERRUPTED, b"moved")
    assert not any("notice" in line for line in lost_runs(entry))
    ref = next(iter(entry.in_flight().values()))[1]
    other = entry.links[entry.in_flight()[0][0]]
    entry.receive(other.sidecar, Leaving())
    entry.receive(
        other.sidecar, Outcome(ref, TaskState.INTERRUPTED, b"", False, 0.1)
    )
    assert any('notice="no"' in line for line in lost_runs(entry))
    assert not entry.dispatcher.departures.moved
    assert link.leaves_at_s is not None


@pytest.mark.parametrize(
    ("leaves_in_s", "left_s", "spread_s", "is_moved"),
    [
        (3.0, 1.8, 0.0, False),  # Ends well before.
        (1.6, 1.8, 0.0, True),  # Can't end.
        (1.7, 1.0, 0.4, False),  # Likely to end.
        (1.7, 1.5, 0.4, True),  # Likely, but a new run takes little longer.
        (1.0, 1.4, 0.4, True),  # Unlikely to end.
        (0.2, 0.0, 0.0, False),  # Overdue, but may still end.
        (STOP_AHEAD_S, 0.0, 0.0, True),  # Last chance to stop it.
    ],
)
def test_move_is_weighed_against_the_chance_to_end(
    leaves_in_s, left_s, spread_s, is_moved
):
    moved = should_move(leaves_in_s, left_s, spread_s, restart_s=1.8)
    assert moved is is_moved


def test_room_of_a_cold_upstream_is_counted_by_its_share():
    entry = Entry(max_attempts=1)
    tree = "set: {cold_share: 0.5}\nservices: {quotes: {}}"
    entry.dispatcher.configure(parse_tree(tree).ok)
    state = entry.dispatcher.service_state("quotes")
    warm = state.throughput()
    for cold_s, expected in ((4.0, 0.75), (2.0, 0.875), (0.0, 1.0)):
        announce = msgspec.structs.replace(
            make_announce(A), status=UpstreamStatus(cold_s=cold_s)
        )
        entry.dispatcher.handle_announcement(announce)
        assert state.throughput() == pytest.approx(warm * expected)
        entry.clock.advance(2.0)
