"""Tests of which upstreams a task stays off because of crashes."""

import pytest

from sardinestair.entry.crash_avoidance import CrashAvoidance
from sardinestair.ids import Incarnation, new_job_id
from sardinestair.jobs import CrashHistory, Job
from sardinestair.jobs.work import JobRunTimeEstimator
from sardinestair.links.entry_link import LinkState
from sardinestair.messages import TaskRef
from sardinestair.placement import Candidate
from sardinestair.settings import ServiceSettings

A, B, C, D = (Incarnation(bytes([n]) * 16) for n in range(4))
NOW_S = 100.0


class FakeLink:
    def __init__(self, sidecar):
        self.sidecar = sidecar
        self.state = LinkState.UP
        self.candidate = Candidate(sidecar, "quotes", "z", slots=8)


class FakeState:
    def __init__(self):
        self.links = {sidecar: FakeLink(sidecar) for sidecar in (A, B, C, D)}
        self.settings = ServiceSettings(max_outage_share=0.3)
        self.evacuated = set()

    def is_evacuated(self, link):
        return link.sidecar in self.evacuated


@pytest.fixture
def state():
    return FakeState()


@pytest.fixture
def avoidance(state):
    return CrashAvoidance(CrashHistory(), state)


@pytest.fixture
def job():
    return Job(
        new_job_id(), "quotes", "team", "large", [b""] * 2, NOW_S,
        NOW_S + 60.0, JobRunTimeEstimator(0.1), b"digest",
    )  # fmt: skip


def record_crash(avoidance, job, sidecar):
    ref = TaskRef(job.job_id, 0, 1)
    avoidance.crashes.record(ref, sidecar, age_s=0.1, now_s=NOW_S)


def test_upstreams_are_spared_while_more_are_away_than_may_be(avoidance, state):
    state.links[A].state = LinkState.LEAVING
    assert not avoidance.must_spare_upstreams()
    state.links[B].state = LinkState.LEAVING
    assert avoidance.must_spare_upstreams()


def test_upstreams_in_evacuated_zones_are_not_away(avoidance, state):
    state.links[A].state = state.links[B].state = LinkState.LEAVING
    state.evacuated = {B}
    assert not avoidance.must_spare_upstreams()


def test_upstream_where_the_job_failed_is_avoided(avoidance, job):
    assert avoidance.excluded_upstreams(job, NOW_S) == set()
    job.failed_upstreams.add(A)
    assert avoidance.excluded_upstreams(job, NOW_S) == {A}


def test_nothing_is_avoided_that_would_leave_no_usable_upstream(
    avoidance, state, job
):
    for sidecar in (B, C, D):
        state.links[sidecar].candidate.is_usable = False
    job.failed_upstreams.add(A)
    assert avoidance.excluded_upstreams(job, NOW_S) == set()


def test_suspected_task_stays_off_upstreams_on_probation(avoidance, state, job):
    record_crash(avoidance, job, A)
    avoidance.record_placement(job, 0, state.links[B], NOW_S)
    assert avoidance.excluded_upstreams(job, NOW_S) == {B}
    assert avoidance.excluded_upstreams(job, NOW_S + 3600.0) == set()
    avoidance.forget(B)
    assert avoidance.excluded_upstreams(job, NOW_S) == set()


def test_other_tasks_use_upstreams_on_probation(avoidance, state, job):
    record_crash(avoidance, job, A)
    avoidance.record_placement(job, 0, state.links[B], NOW_S)
    job.waiting.popleft()
    assert avoidance.excluded_upstreams(job, NOW_S) == set()
