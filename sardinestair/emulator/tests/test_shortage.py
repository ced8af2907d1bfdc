"""Tests what callers get when they compete for too little room.

The bounds are the users' targets: the most urgent class is 0.9 in time while
its own work fits the room, at most 2% of the accepted jobs fail, at most 3% of
the run time is thrown away, and calm service is back within 2 s.
"""

import functools

import pytest

from sardinestair.emulator.shortage import (
    ARRIVALS_S,
    BASELINES,
    BURST_END_S,
    FLOODING_TEAM,
    SHORTAGE_PATTERNS,
    URGENT_KIND,
    run_shortage,
)

MIN_URGENT_SHARE = 0.9
MAX_FAILED_SHARE = 0.02
MAX_WASTED_SHARE = 0.03
MAX_WRONGLY_REFUSED_SHARE = 0.01
MIN_CALM_SHARE = 0.95
RECOVERY_S = 2
# Patterns in which the load is below the room after the burst.
BURSTS = [
    "demand of 1.2",
    "demand of 2",
    "burst of long jobs",
    "one team floods",
]

report_of = functools.cache(run_shortage)


@pytest.mark.parametrize("pattern", SHORTAGE_PATTERNS)
def test_urgent_class_is_served_in_time(pattern):
    report = report_of(pattern)
    share = report.share_in_time(URGENT_KIND.name)
    assert share >= MIN_URGENT_SHARE, report.format_line(pattern)


@pytest.mark.parametrize("pattern", SHORTAGE_PATTERNS)
def test_accepted_jobs_are_answered(pattern):
    report = report_of(pattern)
    line = report.format_line(pattern)
    assert report.failed_share <= MAX_FAILED_SHARE, line
    assert report.wasted_share <= MAX_WASTED_SHARE, line


@pytest.mark.parametrize("pattern", SHORTAGE_PATTERNS)
def test_no_job_is_refused_while_room_is_free(pattern):
    report = report_of(pattern)
    jobs = sum(report.outcomes.values())
    limit = MAX_WRONGLY_REFUSED_SHARE * jobs
    assert report.refused_with_free_room <= limit, report.format_line(pattern)


@pytest.mark.parametrize("pattern", BURSTS)
def test_calm_service_is_back_after_a_burst(pattern):
    report = report_of(pattern)
    share = report.earned_share_between(
        BURST_END_S + RECOVERY_S, int(ARRIVALS_S)
    )
    assert share >= MIN_CALM_SHARE, report.format_line(pattern)


@pytest.mark.parametrize("baseline", BASELINES)
def test_more_worth_than_the_baselines(baseline):
    for pattern in ("demand of 2", "burst of long jobs"):
        other = run_shortage(pattern, 1, BASELINES[baseline])
        assert report_of(pattern).earned_share > other.earned_share, (
            other.format_line(pattern)
        )


def test_other_teams_are_served_beside_one_that_floods():
    report = report_of("one team floods")
    flood = report.by_team[FLOODING_TEAM]
    jobs = sum(tally.jobs for tally in report.by_team.values()) - flood.jobs
    in_time = (
        sum(tally.in_time for tally in report.by_team.values()) - flood.in_time
    )
    assert in_time / jobs >= MIN_URGENT_SHARE
    assert in_time / jobs > flood.in_time / flood.jobs
