"""Upstreams whose capacity shrinks, also to nothing, and grows again."""

import pytest

from sardinestair.ids import Incarnation
from sardinestair.limits.resources import Resources
from sardinestair.placement import Candidate
from sardinestair.placement.policies import (
    LeastExpectedFinish,
    LeastOutstanding,
    WaitingTask,
)

NEED = Resources(1600, 64, 0)
FULL = Resources(16000, 65536, 0)
EMPTY = Resources(0, 65536, 0)


def make_candidate(capacity, sidecar=b"s", slowdown=1.0):
    candidate = Candidate(
        Incarnation(sidecar * 16), "quotes", "z", capacity.cpu_millis, capacity
    )
    candidate.slowdown_ = slowdown
    return candidate


def resize(candidate, capacity):
    candidate.resize(capacity.cpu_millis, capacity)


# Guards against entries that answer every job with 500 (rule RECOVER): the link
# to a sidecar was opened while its upstream had no processor.
def test_upstream_found_without_capacity_runs_nothing():
    assert make_candidate(EMPTY).concurrency == 0.0


def test_upstream_found_without_capacity_is_used_once_it_has_grown():
    candidate = make_candidate(EMPTY)
    resize(candidate, FULL)
    assert candidate.concurrency == make_candidate(FULL).concurrency
    for _ in range(200):
        candidate.observe_units(1600)
    assert candidate.concurrency == pytest.approx(10.0, rel=0.01)


def test_learned_size_of_tasks_survives_a_shrunk_capacity():
    candidate = make_candidate(FULL)
    for _ in range(200):
        candidate.observe_units(1600)
    resize(candidate, EMPTY)
    assert candidate.concurrency == 0.0
    resize(candidate, FULL)
    assert candidate.concurrency == pytest.approx(10.0, rel=0.01)


# Guards against an entry that ends itself, as the only faster upstream has
# shrunk to nothing.
@pytest.mark.parametrize("fast_capacity", [EMPTY, Resources(1, 65536, 0)])
def test_no_task_waits_for_an_upstream_without_capacity(fast_capacity):
    fast, slow = make_candidate(FULL, b"f"), make_candidate(FULL, b"s", 2.0)
    policy = LeastExpectedFinish()
    resize(fast, fast_capacity)
    slow.credits = 16000
    policy.update(fast)
    policy.update(slow)
    task = WaitingTask(expected_run_s=0.1, need=NEED)
    assert policy.select(task) is slow


def test_load_without_capacity_is_defined():
    policy = LeastOutstanding()
    candidate = make_candidate(EMPTY)
    candidate.credits = 1
    candidate.outstanding = 3
    policy.update(candidate)
    assert policy.select(WaitingTask(expected_run_s=0.1)) is candidate
