"""Admission by feasibility when demand exceeds the room."""

import math

from sardinestair.ids import JobId
from sardinestair.limits.fair_shares import FairShares
from sardinestair.limits.feasibility import (
    ArrivalEstimator,
    GuaranteedShare,
    LoadAhead,
    spread_retry_s,
)

RATE = 100.0


def test_wait_is_infinite_without_room():
    assert math.isinf(LoadAhead(0, 1, 0.0).wait_s)


def test_arrivals_of_more_urgent_classes_lengthen_the_wait():
    calm = LoadAhead(20, 1, RATE, more_urgent_per_s=0.0)
    busy = LoadAhead(20, 1, RATE, more_urgent_per_s=60.0)
    assert busy.wait_s == 2.5 * calm.wait_s


def test_wide_job_waits_for_its_own_tasks():
    assert LoadAhead(0, 31, RATE).wait_s == 0.3


def test_backlog_of_all_entries_counts_if_it_is_longer():
    assert LoadAhead(10, 1, RATE, 0.0, backlog_s=0.5).wait_s == 0.5
    assert LoadAhead(90, 1, RATE, 0.0, backlog_s=0.5).wait_s == 0.9


def test_arrivals_are_forgotten_after_a_burst():
    arrivals = ArrivalEstimator(window_s=0.5)
    for step in range(100):
        arrivals.observe(0, 8, step / 10)
    assert 60 < arrivals.more_urgent_per_s(1, 9.9) < 100
    assert arrivals.more_urgent_per_s(1, 12.0) < 2


def test_guaranteed_share_is_bounded_over_time():
    shares = GuaranteedShare(share=0.05)
    job_s, throughput = 7.0, 30.0
    admitted = sum(
        shares.try_acquire(2, job_s, throughput, step / 100)
        for step in range(6000)
    )
    # 0.05 of 30 s/s over 60 s, and one job beyond that.
    assert 90 <= admitted * job_s <= 90 + 2 * job_s


def test_refused_callers_come_back_at_different_times():
    times = {
        spread_retry_s(JobId(n.to_bytes(16, "big")), 1.0)
        for n in range(0, 65536, 512)
    }
    assert len(times) > 50
    assert min(times) >= 1.0
    assert max(times) <= 2.0


# One team sends five times as much as each of five others.


def play_flood(shares, room_per_s, seconds=4):
    """Returns the refused jobs of the flooding team and of the others."""
    refused = {"flood": 0, "calm": 0}
    for step in range(seconds * 100):
        now_s = step / 100
        team = f"calm-{step % 5}" if step % 2 else "flood"
        if shares.exceeds(team, wait_s=0.2, usable_s=0.3, now_s=now_s):
            refused[team.split("-")[0]] += 1
        else:
            shares.observe(team, 4, room_per_s, now_s)
    return refused


def test_only_the_team_beyond_its_share_is_refused():
    refused = play_flood(FairShares(), room_per_s=300.0)
    assert refused["calm"] == 0
    assert refused["flood"] > 100


def test_no_team_is_refused_while_all_shares_suffice():
    assert play_flood(FairShares(), room_per_s=1500.0) == {
        "flood": 0,
        "calm": 0,
    }


def test_a_single_team_has_no_share_to_exceed():
    shares = FairShares()
    for _ in range(100):
        shares.observe("only", 8, 10.0, 0.0)
    assert not shares.exceeds("only", wait_s=9.0, usable_s=0.3, now_s=0.1)


def test_teams_that_left_are_forgotten():
    shares = FairShares()
    for number in range(1000):
        shares.observe(f"team-{number}", 1, 100.0, number / 10)
    assert len(shares.teams) <= 10
