"""Placement by the objective: calm load on upstreams of unlike speed.

A quarter of the upstreams is so slow that a job with one task there is late,
while the others have room within some milliseconds.
"""

import pytest

from sardinestair.ids import Incarnation
from sardinestair.placement import (
    Candidate,
    MeetObjective,
    PolicyName,
    WaitingTask,
    make_policy,
)

FAST, SLOW = 1 / 1.2, 1 / 0.55
RUN_S = 0.4


def make_candidate(number, slowdown, credits=0):
    candidate = Candidate(
        Incarnation(bytes([number]) * 16), "quotes", "z", slots=10
    )
    candidate.slowdown_ = slowdown
    candidate.mean_run_s_ = RUN_S * slowdown
    candidate.credits = credits
    return candidate


def make_task(stretch=1.6, **values):
    """Returns a task of a job that has this part of its run time left."""
    return WaitingTask(
        RUN_S, mean_run_s=RUN_S, remaining_s=stretch * RUN_S, **values
    )


def make_objective_policy(fast=3, wait_margin=0.0):
    policy = MeetObjective(wait_margin)
    slow = make_candidate(0, SLOW, credits=1)
    candidates = [make_candidate(n, FAST) for n in range(1, fast + 1)]
    for candidate in [slow, *candidates]:
        policy.update(candidate)
    return policy, slow, candidates


def test_task_waits_for_an_upstream_on_which_its_job_is_in_time():
    policy, slow, _ = make_objective_policy()
    assert policy.select(make_task()) is None
    assert policy.deferrals == 1
    assert not policy.should_start(slow, make_task())


def test_faster_upstream_is_used_once_it_has_credits():
    policy, _, fast = make_objective_policy()
    fast[1].credits = 1
    policy.update(fast[1])
    assert policy.select(make_task()) is fast[1]
    assert policy.should_start(fast[0], make_task())


def test_task_with_time_to_spare_starts_at_once():
    policy, slow, _ = make_objective_policy()
    assert policy.select(make_task(stretch=2.0)) is slow


# Guards against idle slow upstreams in a shortage.
@pytest.mark.parametrize(
    "values", [{"tasks_ahead": 40}, {"tasks_ahead": 4, "share": 0.1}]
)
def test_slow_upstream_is_used_if_the_fast_ones_have_too_much_to_do(values):
    policy, slow, _ = make_objective_policy()
    assert policy.select(make_task(**values)) is slow


def test_task_does_not_wait_until_its_job_is_late():
    policy, slow, _ = make_objective_policy()
    assert policy.select(make_task(stretch=0.85)) is slow


def test_late_task_takes_the_slowest_upstream():
    policy, slow, fast = make_objective_policy()
    fast[0].credits = 1
    policy.update(fast[0])
    assert policy.select(make_task(is_late=True)) is slow


def test_task_without_an_objective_is_placed_as_before():
    policy, slow, _ = make_objective_policy()
    assert policy.select(WaitingTask(RUN_S, mean_run_s=RUN_S)) is slow
    policy, _, _ = make_objective_policy(wait_margin=0.8)
    assert policy.select(WaitingTask(RUN_S, mean_run_s=RUN_S)) is None


def test_completions_of_all_faster_upstreams_count():
    task = make_task(tasks_ahead=60)
    few, slow, _ = make_objective_policy(fast=3)
    many, _, _ = make_objective_policy(fast=40)
    assert few.select(task) is slow
    assert many.select(task) is None


def test_policy_is_chosen_by_its_setting():
    policy = make_policy(PolicyName.MEET_OBJECTIVE, 0.8)
    assert isinstance(policy, MeetObjective)
