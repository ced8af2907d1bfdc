"""Tests of tasks under which upstreams crash."""

import pytest

from sardinestair.entry.tests.harness import JOB, A, B, Entry
from sardinestair.ids import JobId
from sardinestair.jobs import JobState
from sardinestair.jobs.request import ParsedRequest
from sardinestair.messages import (
    CrashReport,
    Grant,
    Leaving,
    Outcome,
    TaskRef,
    TaskState,
)
from sardinestair.outcomes import ProblemKind


@pytest.fixture
def entry():
    return Entry(max_attempts=3)


def make_crash(ref, age_s, is_confirmed=True):
    return Outcome(
        ref, TaskState.INTERRUPTED, b"crashed", False, age_s, True, is_confirmed
    )


def crash(entry, index=0, age_s=0.01, is_confirmed=True):
    """Lets the upstream of a task crash; returns its sidecar."""
    sidecar, ref = entry.in_flight()[index]
    entry.receive(sidecar, make_crash(ref, age_s, is_confirmed))
    return sidecar


def reported_crash(sidecar, attempt, index=0):
    """Returns the report of a crash under a run of another entry."""
    return sidecar, CrashReport(TaskRef(JOB, index, attempt), 0.01)


# Guards against a task that crashes one upstream after the other: interrupted
# runs counted as no failure, so that nothing bounded its starts.
def test_task_under_which_two_upstreams_crashed_fails_its_job(entry):
    job = entry.submit(tasks=3).ok
    crash(entry)
    assert job.is_active
    crash(entry)
    problem = job.done.result(0).error
    assert (problem.kind, problem.not_run) == (ProblemKind.FAILED, False)


def test_crash_under_another_task_is_no_crash_of_this_one(entry):
    job = entry.submit(tasks=2).ok
    crash(entry, index=0)
    crash(entry, index=1)
    assert job.is_active


# Guards against giving up a task that only ran beside the cause of a crash.
@pytest.mark.parametrize("ages_s", [(0.01, 0.3), (0.3, 0.01)])
def test_crashes_at_different_ages_have_different_causes(entry, ages_s):
    job = entry.submit().ok
    for age_s in ages_s:
        crash(entry, age_s=age_s)
    assert job.is_active


def test_task_under_which_three_upstreams_crashed_fails_its_job(entry):
    """Whatever the ages: its starts must be bounded."""
    job = entry.submit().ok
    for age_s in (0.01, 0.3, 1.5):
        assert job.is_active
        crash(entry, age_s=age_s)
    assert job.state is JobState.FAILED


# Guards against giving up a task after one crash under it (rule LOST): a start
# that never began counted as another.
def test_start_that_may_not_have_begun_is_not_blamed(entry):
    job = entry.submit().ok
    crash(entry, is_confirmed=False)
    crash(entry)
    crash(entry, is_confirmed=False)
    assert job.is_active
    crash(entry)
    assert job.state is JobState.FAILED


# Guards against BUDGET by a task that crashes before its start is answered.
def test_starts_that_may_not_have_begun_are_bounded(entry):
    job = entry.submit().ok
    for _ in range(5):
        assert job.is_active
        crash(entry, is_confirmed=False)
    assert job.state is JobState.FAILED


# Guards against suspects that come together again: the next crash would not
# show which of them was the cause.
def test_suspects_are_kept_apart(entry):
    entry.submit(tasks=2)
    for index in (0, 1):
        crash(entry, index, age_s=0.1)
    found = entry.in_flight()
    assert sorted(sidecar for sidecar, _ref in found.values()) == [A, B]


def test_suspects_need_not_wait_for_each_other(entry):
    """After a power failure all tasks of many upstreams are suspects."""
    entry.submit(tasks=4)
    for index in range(4):
        crash(entry, index, age_s=1.0)
    assert len(entry.in_flight()) == 4


def test_other_tasks_do_not_wait_for_suspects(entry):
    entry.submit(tasks=2)
    crash(entry, 0, age_s=1.0)
    crash(entry, 1, age_s=1.0)
    parsed = entry.parsed(tasks=2)  # An unproven upstream gets two tasks.
    other = ParsedRequest(JobId(b"k" * 16), parsed.request, b"d")
    entry.dispatcher.submit(other)
    assert sum(len(link.outstanding) for link in entry.links.values()) == 4


def test_lapsed_run_is_no_crash(entry):
    """The upstream was only silent, as far as is known."""
    job = entry.submit().ok
    for _ in range(4):
        entry.report_outcome(0, TaskState.INTERRUPTED, b"lapsed")
    assert job.is_active


# Guards against starting the crashing task over again for a caller that missed
# the answer and submits its job again.
def test_job_that_crashed_upstreams_does_not_run_again(entry):
    entry.submit(best_effort=True)
    crash(entry)
    crash(entry)
    again = entry.submit(best_effort=True).ok
    assert again.state is JobState.FAILED
    assert entry.in_flight() == {}


def test_crash_counts_when_the_caller_submits_again(entry):
    job = entry.submit(best_effort=True).ok
    crash(entry)
    entry.dispatcher.handle_caller_disconnect(job)
    entry.report_outcome(0, TaskState.INTERRUPTED)
    again = entry.submit(best_effort=True).ok
    assert again.is_active
    crash(entry)
    assert again.state is JobState.FAILED


# Guards against an entry that starts a crashing task anew after another entry,
# which knew of the crashes, was lost.
def test_crashes_under_runs_of_another_entry_count(entry):
    for sidecar in (A, B):
        entry.receive(*reported_crash(sidecar, attempt=1))
    job = entry.submit(best_effort=True).ok
    assert job.state is JobState.FAILED
    assert not job.done.result(0).error.not_run
    assert entry.in_flight() == {}


def test_repeated_report_of_a_crash_counts_once(entry):
    for _ in range(2):
        entry.receive(*reported_crash(A, attempt=1))
    assert entry.submit().ok.is_active


def test_report_of_the_same_attempt_does_not_end_a_run(entry):
    """Attempts count from 1 at each entry; the run here may be active."""
    entry.submit()
    sidecar, ref = entry.in_flight()[0]
    entry.receive(*reported_crash(sidecar, ref.attempt))
    assert entry.in_flight() == {0: (sidecar, ref)}


def test_reported_crash_fails_a_waiting_job(entry):
    job = entry.submit(tasks=30).ok  # More than there are credits for.
    last = job.waiting[-1]
    for sidecar in (A, B):
        entry.receive(*reported_crash(sidecar, attempt=1, index=last))
    assert job.state is JobState.FAILED


def test_crashes_are_forgotten_after_the_retention(entry):
    for sidecar in (A, B):
        entry.receive(*reported_crash(sidecar, attempt=1))
    entry.clock.advance(entry.dispatcher.registry.retention_s + 1.0)
    entry.dispatcher.run_periodic_checks()
    assert entry.dispatcher.crashes.count(JOB, 0) == 0


# Guards against crashes that take away one upstream after the other: tasks that
# may cause them were started however few were left.
def test_suspects_wait_while_too_many_upstreams_are_away(entry):
    entry.submit()
    sidecar = crash(entry)
    retry = entry.in_flight()[0][0]
    entry.receive(sidecar, Leaving())  # One of two: more than 0.34 of them.
    entry.receive(retry, make_crash(entry.in_flight()[0][1], age_s=0.5))
    assert entry.in_flight() == {}
    entry.receive(sidecar, Grant(32000))
    entry.dispatcher.run_periodic_checks()
    assert 0 in entry.in_flight()


def test_other_tasks_start_while_too_many_upstreams_are_away(entry):
    entry.submit()
    sidecar = crash(entry)
    entry.receive(sidecar, Leaving())
    entry.report_outcome(0, TaskState.INTERRUPTED, b"lapsed")
    waiting = entry.dispatcher.services["quotes"].queue.waiting_tasks
    assert waiting == 1
    other = ParsedRequest(JobId(b"k" * 16), entry.parsed().request, b"d")
    job = entry.dispatcher.submit(other).ok
    assert job.in_flight
