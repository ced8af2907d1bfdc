"""Tests of tasks under which upstreams crash."""

import pytest

from sardinestair.entry.tests.harness import JOB, A, B, Entry
from sardinestair.jobs import JobState
from sardinestair.messages import Outcome, TaskRef, TaskState
from sardinestair.outcomes import ProblemKind


@pytest.fixture
def entry():
    return Entry(max_attempts=3)


def crash(entry, index=0):
    return entry.report_outcome(
        index, TaskState.INTERRUPTED, b"crashed", has_crashed=True
    )


def reported_crash(sidecar, attempt, index=0):
    """Returns the report of a crash under a run of another entry."""
    ref = TaskRef(JOB, index, attempt)
    return sidecar, Outcome(
        ref, TaskState.INTERRUPTED, b"crashed", False, 0.01, True
    )


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
