"""Stragglers and slow upstreams; a straggler is moved if that ends sooner."""

import pytest

from sardinestair.entry.stragglers import (
    INITIAL_MOVES,
    MIN_LONG_RUNS,
    StragglerPolicy,
)
from sardinestair.entry.tests.harness import A, B, Entry
from sardinestair.entry.tests.test_overdue import advance, learn_run_time, stops

EXPECTED_S = 0.1
LONG_RUN_S = 0.7


def make_policy(long_runs=MIN_LONG_RUNS):
    policy = StragglerPolicy()
    for _ in range(long_runs):
        policy.observe_run(LONG_RUN_S, EXPECTED_S)
    return policy


@pytest.fixture
def entry():
    entry = Entry(max_attempts=2)
    state = entry.dispatcher.services["quotes"]
    state.speeds.is_shared = True
    state.stragglers = make_policy()
    learn_run_time(entry)
    return entry


def links_of_first_task(entry):
    sidecar = entry.in_flight()[0][0]
    return entry.links[sidecar], entry.links[A if sidecar == B else B]


def test_move_needs_evidence_that_long_runs_last():
    assert not make_policy(0).should_move(1.0, 1.0)
    assert make_policy().should_move(1.0, 1.0)


def test_run_is_not_moved_to_an_upstream_on_which_it_ends_later():
    assert not make_policy().should_move(EXPECTED_S, 7 * EXPECTED_S)


def test_usual_runs_are_no_evidence():
    policy = StragglerPolicy()
    for _ in range(100):
        policy.observe_run(2 * EXPECTED_S, EXPECTED_S)
    assert not policy.should_move(1.0, 0.1)


def test_moves_are_limited_to_a_share_of_the_starts():
    policy = make_policy()
    moves = sum(policy.should_move(1.0, 0.1) for _ in range(100))
    assert moves == INITIAL_MOVES


# Pattern: 3 % of the runs take seven times as long.
def test_single_overdue_task_is_moved_and_says_nothing_of_its_upstream(entry):
    entry.submit(tasks=1)
    link, _ = links_of_first_task(entry)
    advance(entry, 0.4)
    assert link.candidate.slowdown_ == 1.0
    assert len(stops(link)) == 1


def test_single_overdue_task_is_not_moved_without_another_upstream(entry):
    entry.submit(tasks=1)
    link, other = links_of_first_task(entry)
    other.candidate.is_usable = False
    advance(entry, 0.4)
    assert stops(link) == []


# Pattern: an upstream turns slow; its tasks are overdue together.
def test_several_overdue_tasks_show_a_slow_upstream(entry):
    entry.submit(tasks=4)
    link, _ = links_of_first_task(entry)
    assert len(link.outstanding) >= 2
    advance(entry, 0.4)
    assert link.candidate.slowdown_ > 1.3


def test_task_that_stays_overdue_alone_is_still_a_straggler(entry):
    entry.dispatcher.services["quotes"].stragglers = make_policy(0)
    entry.submit(tasks=1)
    link, _ = links_of_first_task(entry)
    for _ in range(3):
        advance(entry, 0.4)
    assert link.candidate.slowdown_ == 1.0
    assert stops(link) == []
