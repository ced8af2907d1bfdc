"""Tests that overdue tasks at a slow upstream are detected and moved."""

import pytest

from sardinestair.entry.tests.test_attempts import A, B, Entry
from sardinestair.messages import Stop, TaskState
from sardinestair.placement import RunTimeEstimator

TASK_RUN_S = 0.1


@pytest.fixture
def entry():
    entry = Entry(max_attempts=2)
    yield entry


def learn_run_time(entry):
    """Sets the learned run time of the default kind of job."""
    times = RunTimeEstimator()
    for _ in range(50):
        times.observe(TASK_RUN_S)
    entry.dispatcher.services["quotes"].run_times_["default"] = times


def stops(link):
    return [m for m in link.outbox if isinstance(m, Stop)]


def slow_and_idle_links(entry):
    slow = entry.in_flight()[0][0]
    return entry.links[slow], entry.links[A if slow == B else B]


def advance(entry, seconds):
    entry.clock.advance(seconds)
    entry.dispatcher.run_periodic_checks()


def test_overdue_task_raises_speed_factor_of_its_upstream(entry):
    learn_run_time(entry)
    entry.submit(tasks=4)
    link, _ = slow_and_idle_links(entry)
    advance(entry, 0.2)
    assert link.candidate.slowdown_ == 1.0
    advance(entry, 0.2)
    assert link.candidate.slowdown_ > 1.5


def test_overdue_task_is_moved_if_attempts_remain(entry):
    learn_run_time(entry)
    job = entry.submit(tasks=2).ok
    link, other = slow_and_idle_links(entry)
    assert other.outstanding == {}
    advance(entry, 0.5)
    assert stops(link)
    index = stops(link)[0].tasks[0].index
    assert job.in_flight[index] == link.sidecar  # Until its run ends.
    entry.report_outcome(index, TaskState.INTERRUPTED, b"moved")
    assert entry.in_flight()[index][0] == other.sidecar


def test_overdue_task_that_completes_is_accepted(entry):
    learn_run_time(entry)
    job = entry.submit(tasks=1).ok
    advance(entry, 0.4)
    entry.report_outcome(0, TaskState.DONE)
    assert job.done.result().is_ok()


def test_task_without_remaining_attempts_is_not_moved():
    entry = Entry(max_attempts=1)
    learn_run_time(entry)
    entry.submit(tasks=4)
    link, _ = slow_and_idle_links(entry)
    for _ in range(4):
        advance(entry, 1.0)
    assert stops(link) == []


def test_no_task_is_moved_if_all_upstreams_are_equally_slow(entry):
    learn_run_time(entry)
    entry.submit(tasks=4)
    for link in entry.links.values():
        link.candidate.slowdown_ = 8.0
    advance(entry, 3.0)
    assert all(stops(link) == [] for link in entry.links.values())
