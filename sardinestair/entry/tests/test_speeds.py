"""Speeds that an entry takes from the announcements of sidecars."""

import pytest

from sardinestair.entry.speeds import HALF_LIFE_S, UpstreamSpeeds
from sardinestair.ids import Incarnation, JobId
from sardinestair.jobs import Job
from sardinestair.jobs.work import JobRunTimeEstimator
from sardinestair.messages import KindSlowdown, UpstreamStatus
from sardinestair.placement import Candidate, RunTimeEstimator

RUN_S = 0.1


def make_candidate():
    return Candidate(Incarnation(b"s" * 16), "quotes", "z", 10)


def make_status(slowdown=2.0, samples=48, age_s=0.0):
    found = [KindSlowdown("quote", slowdown, samples)]
    return UpstreamStatus(slowdowns=found, observed_ago_s=age_s)


def make_job():
    return Job(
        JobId(bytes(16)), "quotes", "tills", "quote", [b""] * 4, 0.0, 5.0,
        JobRunTimeEstimator(RUN_S), b"",
    )  # fmt: skip


# Pattern: a new or restarted entry beside one slow upstream in eight.
def test_new_entry_starts_from_what_the_sidecar_has_seen():
    candidate = make_candidate()
    UpstreamSpeeds(is_shared=True).adopt(candidate, make_status())
    assert candidate.slowdown_ == pytest.approx(2.0, rel=0.05)


@pytest.mark.parametrize(
    ("is_shared", "status"),
    [
        (False, make_status()),
        (True, None),
        (True, UpstreamStatus()),
        (True, make_status(samples=3)),
    ],
)
def test_announcement_is_not_used(is_shared, status):
    candidate = make_candidate()
    UpstreamSpeeds(is_shared).adopt(candidate, status)
    assert candidate.slowdown_ == 1.0


def test_kinds_count_by_their_runs():
    candidate = make_candidate()
    found = [KindSlowdown("a", 2.0, 40), KindSlowdown("b", 20.0, 1)]
    UpstreamSpeeds(True).adopt(candidate, UpstreamStatus(slowdowns=found))
    assert 1.9 < candidate.slowdown_ < 2.2


# Guards against an upstream that is never used again after it was slow: without
# tasks, nothing shows that it has recovered.
def test_old_observations_count_less():
    candidate = make_candidate()
    speeds = UpstreamSpeeds(True)
    speeds.adopt(candidate, make_status(7.0, age_s=12 * HALF_LIFE_S))
    assert candidate.slowdown_ < 1.1


def test_own_tasks_correct_the_announced_speed():
    candidate, speeds = make_candidate(), UpstreamSpeeds(True)
    speeds.adopt(candidate, make_status(1.0))
    for _ in range(6):
        speeds.observe_run(candidate, make_job(), 7 * RUN_S)
    assert candidate.slowdown_ > 2.0


# Pattern: 3 % of the runs take seven times as long.
def test_one_long_run_changes_neither_speed_nor_run_time():
    candidate, speeds = make_candidate(), UpstreamSpeeds(True)
    speeds.adopt(candidate, make_status(1.0))
    assert speeds.observe_run(candidate, make_job(), 7 * RUN_S) < 3 * RUN_S
    assert candidate.slowdown_ < 1.1


def test_reference_lies_between_declared_and_expected_time():
    speeds, run_times = UpstreamSpeeds(True), RunTimeEstimator()
    assert speeds.estimate_job(run_times, 0.4).reference_s == 0.4
    for _ in range(200):
        run_times.observe(0.1)
    work = speeds.estimate_job(run_times, 0.4)
    assert work.reference_s == pytest.approx(0.2)
    assert work.prior_s == run_times.predict(0.4)
    assert speeds.estimate_job(run_times, None).reference_s == 0.1
