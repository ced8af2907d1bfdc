"""Placement of tasks that run faster on one rack, and by zone."""

import pytest

from sardinestair.ids import Incarnation
from sardinestair.placement import Candidate, MeetObjective, WaitingTask
from sardinestair.placement.objective import remoteness

RUN_S = 0.4
FACTOR = 3.0


def make_candidate(number, rack="r1", credits=0, zone="z", slowdown=1.0):
    candidate = Candidate(
        Incarnation(bytes([number]) * 16), "quotes", zone, slots=10
    )
    candidate.rack = rack
    candidate.mean_run_s_ = RUN_S
    candidate.credits = credits
    candidate.slowdown_ = slowdown
    return candidate


def make_task(stretch=1.6, rack="r1", **values):
    return WaitingTask(
        RUN_S, mean_run_s=RUN_S, remaining_s=stretch * RUN_S, rack=rack,
        remote_factor=FACTOR, **values,
    )  # fmt: skip


def make_policy(*candidates, zone=""):
    policy = MeetObjective(wait_margin=0.8, zone=zone)
    for candidate in candidates:
        policy.update(candidate)
    return policy


def test_task_takes_its_rack_although_another_upstream_is_faster():
    local = make_candidate(1, credits=1, slowdown=1.5)
    policy = make_policy(local, make_candidate(2, "r2", credits=1))
    assert policy.select(make_task()) is local


def test_task_waits_for_its_rack():
    remote = make_candidate(2, "r2", credits=1)
    policy = make_policy(make_candidate(1), remote)
    assert policy.select(make_task()) is None
    assert not policy.should_start(remote, make_task())
    assert policy.select(make_task(is_late=True)) is None


# Pattern: a hot rack; jobs for it must not wait longer than a run elsewhere
# takes.
def test_tasks_for_a_hot_rack_run_elsewhere_if_they_end_sooner_there():
    remote = make_candidate(2, "r2", credits=1)
    policy = make_policy(make_candidate(1), remote)
    assert policy.select(make_task(tasks_ahead=60)) is remote


@pytest.mark.parametrize("rack", ["", "r9"])
def test_task_without_upstreams_on_its_rack_starts_anywhere(rack):
    remote = make_candidate(2, "r2", credits=1)
    policy = make_policy(make_candidate(1), remote)
    assert policy.select(make_task(stretch=4, rack=rack)) is remote


def test_removed_candidate_leaves_its_rack():
    local, remote = make_candidate(1), make_candidate(2, "r2", credits=1)
    policy = make_policy(local, remote)
    policy.remove(local)
    assert policy.select(make_task(stretch=4)) is remote


@pytest.mark.parametrize(
    ("candidate_rack", "rack", "factor"),
    [("r1", "r1", 1.0), ("r2", "r1", FACTOR), ("", "r1", 1.0), ("r2", "", 1.0)],
)
def test_remoteness(candidate_rack, rack, factor):
    candidate = make_candidate(1, candidate_rack)
    assert remoteness(candidate, rack, FACTOR) == factor


def test_own_zone_goes_first_among_equals():
    own = make_candidate(2, "", credits=1, zone="a", slowdown=1.01)
    other = make_candidate(1, "", credits=1, zone="b")
    task = make_task(rack="")
    assert make_policy(own, other, zone="a").select(task) is own
    own.slowdown_ = 1.2
    assert make_policy(own, other, zone="a").select(task) is other


def test_room_of_other_zones_is_used():
    own = make_candidate(2, "", zone="a")
    other = make_candidate(1, "", credits=1, zone="b")
    assert make_policy(own, other, zone="a").select(make_task(rack="")) is other
