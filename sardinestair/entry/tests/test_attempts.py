"""Tests of retries: when a task may run again, and on which upstream."""

import asyncio
from concurrent.futures import ThreadPoolExecutor

import msgspec
import pytest

from sardinestair.entry.resubmission import submit_after_earlier_runs
from sardinestair.entry.submission import EARLIER_RUNS_ACTIVE, WITHDRAWN
from sardinestair.entry.tests.harness import (
    JOB,
    TIMING,
    A,
    B,
    Entry,
    make_announce,
)
from sardinestair.ids import Incarnation, JobId
from sardinestair.jobs import JobState
from sardinestair.jobs.request import JobRequest, ParsedRequest, TaskRequest
from sardinestair.limits.resources import Resources
from sardinestair.links.entry_link import LinkState, handle_message
from sardinestair.messages import Cancel, Recall, Resumed, TaskState
from sardinestair.outcomes import ProblemKind
from sardinestair.settings import parse_tree
from sardinestair.tests.fakes import FakeSocket
from sardinestair.upstreams.leased import STALLED


@pytest.fixture
def entry():
    entry = Entry(max_attempts=2)
    yield entry


def test_task_is_not_retried_by_default():
    entry = Entry(max_attempts=1)
    job = entry.submit().ok
    entry.report_outcome(0, TaskState.INTERRUPTED, b"lapsed")
    assert job.state is JobState.FAILED
    assert not job.done.result().error.not_run
    assert entry.in_flight() == {}


def test_failed_task_runs_again_elsewhere(entry):
    job = entry.submit().ok
    first = entry.report_outcome(0, TaskState.FAILED, b"failed")
    sidecar, ref = entry.in_flight()[0]
    assert sidecar != first
    assert ref.attempt == 2
    entry.report_outcome(0, TaskState.DONE)
    assert job.state is JobState.COMPLETE


def test_task_that_has_failed_as_often_as_allowed_fails_its_job(entry):
    job = entry.submit().ok
    entry.report_outcome(0, TaskState.FAILED)
    entry.report_outcome(0, TaskState.FAILED)
    assert job.done.result().error.kind is ProblemKind.FAILED


def test_interrupted_runs_do_not_count_as_failures(entry):
    job = entry.submit().ok
    for _ in range(5):
        entry.report_outcome(0, TaskState.INTERRUPTED, b"lapsed")
    assert job.is_active
    entry.report_outcome(0, TaskState.FAILED)
    assert job.is_active


def test_stalled_task_does_not_go_back_to_its_upstream(entry):
    entry.submit()
    first = entry.report_outcome(0, TaskState.INTERRUPTED, STALLED)
    assert entry.in_flight()[0][0] != first


def test_only_upstream_left_gets_the_task_again(entry):
    job = entry.submit().ok
    first = entry.in_flight()[0][0]
    other = A if first == B else B
    entry.links[other].state = LinkState.LEAVING
    entry.dispatcher.services["quotes"].refresh_candidate(
        entry.links[other], 0.0
    )
    assert entry.report_outcome(0, TaskState.FAILED) == first
    assert job.failed_upstreams == {first}
    assert entry.in_flight()[0][0] == first


def test_lost_session_repeats_its_tasks_only_once_they_have_ended(entry):
    entry.submit()
    sidecar, ref = entry.in_flight()[0]
    link = entry.links[sidecar]
    entry.clock.advance(TIMING.lost_s - 0.05)
    link.is_silent()
    assert entry.in_flight()[0] == (sidecar, ref)
    entry.clock.advance(0.1)
    link.is_silent()
    entry.dispatcher.place_waiting()
    assert entry.in_flight()[0][1].attempt == 2


def test_closed_link_loses_its_tasks_only_with_their_session(entry):
    """Runs at the upstream go on while its sidecar restarts."""
    job = entry.submit().ok
    sidecar, ref = entry.in_flight()[0]
    link = entry.links[sidecar]
    entry.dispatcher.remove_sidecar(sidecar)
    assert list(link.outstanding.values()) == [ref]
    assert job.in_flight == {0: sidecar}
    assert not link.is_settled()
    entry.clock.advance(TIMING.lost_s + 0.05)
    assert link.is_settled()
    assert link.outstanding == {}
    assert entry.in_flight()[0][0] != sidecar


def test_pause_of_the_entry_ends_its_sessions(entry):
    entry.submit()
    sidecar, _ref = entry.in_flight()[0]
    entry.clock.advance(30.0)
    entry.links[sidecar].is_silent()
    entry.dispatcher.place_waiting()
    assert entry.in_flight()[0][1].attempt == 2


def test_disconnect_of_the_caller_cancels_its_job(entry):
    job = entry.submit(tasks=3).ok
    entry.dispatcher.handle_caller_disconnect(job)
    assert job.state is JobState.CANCELLED


def test_job_goes_on_while_one_caller_waits(entry):
    job = entry.submit().ok
    assert entry.submit().ok is job
    entry.dispatcher.handle_caller_disconnect(job)
    assert job.is_active
    entry.dispatcher.handle_caller_disconnect(job)
    assert not job.is_active


def test_job_whose_caller_left_runs_again_once_its_runs_have_ended(entry):
    """A caller resubmits 1.3 s after its connection broke."""
    job = entry.submit(best_effort=True).ok
    entry.dispatcher.handle_caller_disconnect(job)
    # The earlier run may still be active, so no second one starts.
    refused = entry.submit(best_effort=True).error
    assert refused is EARLIER_RUNS_ACTIVE
    assert refused.not_run
    entry.report_outcome(0, TaskState.INTERRUPTED)
    again = entry.submit(best_effort=True).ok
    assert again is not job
    assert entry.in_flight()[0][1].attempt == 2


def resubmit(entry):
    parsed = entry.parsed(best_effort=True)
    return asyncio.run(
        submit_after_earlier_runs(entry.dispatcher, parsed, lambda: False)
    )


def test_resubmission_waits_for_the_end_of_earlier_runs(entry):
    job = entry.submit(best_effort=True).ok
    entry.dispatcher.handle_caller_disconnect(job)
    with ThreadPoolExecutor(1) as pool:
        again = pool.submit(resubmit, entry)
        entry.report_outcome(0, TaskState.INTERRUPTED)
        assert again.result(20.0).ok.is_active


def test_resubmission_that_times_out_is_recorded(entry):
    """Otherwise no log line would name the refused request."""
    job = entry.submit(best_effort=True).ok
    entry.dispatcher.handle_caller_disconnect(job)
    dropped = entry.dispatcher.recorder.dropped
    began = entry.clock.now()
    before = len(dropped.since(began))
    with ThreadPoolExecutor(1) as pool:
        again = pool.submit(resubmit, entry)
        while not again.done():
            entry.clock.advance(TIMING.lost_s)
        assert again.result().error is EARLIER_RUNS_ACTIVE
    assert len(dropped.since(began)) == before + 1


def test_cancellation_lost_with_a_connection_is_sent_again(entry):
    """Otherwise the old run would continue beside a new one elsewhere."""
    job = entry.submit().ok
    sidecar, ref = entry.in_flight()[0]
    link = entry.links[sidecar]
    entry.dispatcher.handle_caller_disconnect(job)
    link.open_epoch(FakeSocket())  # Drops unsent messages.
    assert not [m for m in link.outbox if isinstance(m, Cancel)]
    handle_message(Resumed(True, [], [ref]), link)
    assert [m.tasks for m in link.outbox if isinstance(m, Cancel)] == [[ref]]


def test_fail_active_jobs_ends_every_job(entry):
    job = entry.submit().ok
    entry.dispatcher.fail_active_jobs("the entry is stopping")
    assert job.done.result().error.kind is ProblemKind.DRAINING
    assert not job.done.result().error.not_run


# After an outage of all machines, while callers keep submitting.


def entry_without_upstreams():
    """Returns a newly started entry that knows no upstream yet."""
    entry = Entry(max_attempts=2)
    for sidecar in list(entry.links):
        entry.dispatcher.remove_sidecar(sidecar)
    entry.dispatcher.services.clear()
    entry.links.clear()
    return entry


def test_job_waits_for_the_first_upstream_after_a_start():
    entry = entry_without_upstreams()
    job = entry.submit().ok
    assert job.is_active
    entry.clock.advance(0.5)
    entry.connect_sidecar(A)
    entry.dispatcher.place_waiting()
    assert entry.in_flight()[0][0] == A


def test_job_is_refused_once_upstreams_stay_away():
    entry = entry_without_upstreams()
    assert entry.submit().is_ok()
    entry.clock.advance(3.5)
    request = JobRequest(
        "quotes", "team", [TaskRequest(msgspec.Raw(b"{}"))], deadline_s=10.0
    )
    parsed = ParsedRequest(JobId(b"k" * 16), request, b"d")
    refused = entry.dispatcher.submit(parsed).error
    assert refused.not_run
    assert refused.retry_after_s


def test_useless_job_is_shed_as_not_run():
    """In a burst it would otherwise wait until its caller gives up."""
    entry = entry_without_upstreams()
    tree = parse_tree(
        "set: {order: least_slack, objective_s: 0.5, useful_factor: 3}\n"
        "services: {quotes: {}}"
    ).ok
    entry.dispatcher.configure(tree)
    job = entry.submit().ok
    entry.dispatcher.run_periodic_checks()
    for _ in range(20):
        entry.clock.advance(0.1)
        entry.dispatcher.services["quotes"].queue.demote_late(
            entry.clock.monotonic()
        )
        entry.dispatcher.run_periodic_checks()
    problem = job.done.result(0).error
    assert problem.kind is ProblemKind.OVERLOADED
    assert problem.not_run
    assert problem.retry_after_s > 0


# Rolling restart of the entries.


def test_draining_entry_accepts_jobs_that_end_in_time(entry):
    controller = entry.dispatcher.admission_controller
    controller.is_draining = True
    controller.drain_deadline_s = entry.clock.monotonic() + 1.0
    assert entry.submit().is_ok()
    entry.clock.advance(0.6)  # Expected run time 0.3 s, doubled for safety.
    request = JobRequest(
        "quotes", "team", [TaskRequest(msgspec.Raw(b"{}"))], deadline_s=10.0
    )
    parsed = ParsedRequest(JobId(b"k" * 16), request, b"d")
    refused = entry.dispatcher.submit(parsed).error
    assert (refused.kind, refused.not_run) == (ProblemKind.DRAINING, True)


def test_draining_entry_accepts_nothing_by_default(entry):
    entry.dispatcher.admission_controller.is_draining = True
    assert entry.submit().error.kind is ProblemKind.DRAINING


# Guards against placing tasks by a capacity that is no longer in force: only a
# change of the processor's part was noticed.
def test_capacity_that_shrinks_in_memory_alone_is_adopted(entry):
    smaller = Resources(16000, 32, 0)
    for sidecar in (A, B):
        entry.dispatcher.handle_announcement(
            make_announce(sidecar, capacity=smaller)
        )
    entry.submit()  # Needs 64 MB.
    assert entry.in_flight() == {}
    entry.dispatcher.handle_announcement(make_announce(A))
    entry.dispatcher.place_waiting()
    assert entry.in_flight()[0][0] == A


# Guards against a loop: an entry that waits for a faster upstream was granted
# the same credits over and over, as another entry's demand recalled them.
def test_unused_credits_are_requested_once_per_check():
    entry = Entry(max_attempts=1)
    state = entry.dispatcher.services["quotes"]
    link = entry.links[A]
    state.demand.targets = {A, B}
    handle_message(Recall(1600), link)
    assert state.demand.targets == {B}
    assert link not in state.demand.add_targets(2)
    entry.submit(tasks=40)
    entry.dispatcher.run_periodic_checks()
    assert state.queue.waiting_tasks
    assert not state.demand.declined


# Guards against entries that answer every job with 500 (rule RECOVER) after a
# restart while one of their upstreams has no processor.
def test_job_is_served_beside_an_upstream_without_capacity():
    entry = Entry(max_attempts=3)
    empty = Incarnation(b"3" * 16)
    link = entry.dispatcher.handle_announcement(
        make_announce(empty, Resources(0, 65536, 0))
    )
    link.state = LinkState.UP
    assert entry.submit(tasks=4).is_ok()
    sidecars = {sidecar for sidecar, _ in entry.in_flight().values()}
    assert len(entry.in_flight()) == 4
    assert empty not in sidecars


def test_job_waits_while_no_upstream_has_capacity():
    entry = Entry(max_attempts=3)
    for sidecar in (A, B):
        shrunk = make_announce(sidecar, Resources(0, 65536, 0))
        entry.dispatcher.handle_announcement(shrunk)
    assert entry.submit(tasks=4).is_ok()
    assert not entry.in_flight()
    for sidecar in (A, B):
        entry.dispatcher.handle_announcement(make_announce(sidecar))
    with entry.dispatcher.lock:
        entry.dispatcher.place_waiting()
    assert len(entry.in_flight()) == 4


# Guards against tasks that start after their job was cancelled (rule UNASKED):
# a late duplicate of its submission ran the whole job again.
@pytest.mark.parametrize("ending", ["active", "caller left", "failed"])
def test_duplicate_of_a_cancelled_job_does_not_run(entry, ending):
    job = entry.submit(best_effort=True).ok
    if ending == "caller left":
        entry.dispatcher.handle_caller_disconnect(job)
    elif ending == "failed":
        for _ in range(2):
            entry.report_outcome(0, TaskState.FAILED)
        assert job.state is JobState.FAILED
    entry.dispatcher.cancel(job.job_id)
    if entry.in_flight():
        entry.report_outcome(0, TaskState.INTERRUPTED)
    entry.clock.advance(4.0)
    assert entry.submit(best_effort=True).ok is job
    assert not entry.in_flight()


def test_cancelling_reaches_a_duplicate_that_waits_for_earlier_runs(entry):
    job = entry.submit(best_effort=True).ok
    entry.dispatcher.handle_caller_disconnect(job)
    assert entry.submit(best_effort=True).error is EARLIER_RUNS_ACTIVE
    entry.dispatcher.cancel(job.job_id)
    assert entry.submit(best_effort=True).ok is job
    entry.report_outcome(0, TaskState.INTERRUPTED)
    assert not entry.in_flight()


def test_job_that_is_cancelled_at_another_entry_is_stopped(entry):
    job = entry.submit(best_effort=True, tasks=4).ok
    entry.dispatcher.handle_withdrawn([job.job_id])
    assert job.state is JobState.CANCELLED
    refs = {ref.index for _, ref in entry.in_flight().values()}
    cancelled = {
        ref.index
        for link in entry.links.values()
        for message in link.outbox
        if isinstance(message, Cancel)
        for ref in message.tasks
    }
    assert cancelled == refs == {0, 1, 2, 3}


def test_job_that_was_cancelled_at_another_entry_does_not_run(entry):
    entry.dispatcher.handle_withdrawn([JOB])
    assert entry.submit(best_effort=True).error is WITHDRAWN
    assert not entry.in_flight()


# Guards against a job that is shown as failed without a failed run (rule LOST):
# with one attempt, a crash of an upstream counted as the end of the task.
def test_interrupted_run_is_no_attempt_if_it_is_to_be_repeated():
    entry = Entry(max_attempts=1, repeat_interrupted=True)
    job = entry.submit().ok
    entry.report_outcome(0, TaskState.INTERRUPTED, STALLED)
    assert job.is_active
    _, ref = entry.in_flight()[0]
    assert ref.attempt == 2
    entry.report_outcome(0, TaskState.FAILED)
    assert job.state is JobState.FAILED


def test_task_with_one_attempt_is_never_started_again_by_default():
    entry = Entry(max_attempts=1)
    job = entry.submit().ok
    entry.report_outcome(0, TaskState.INTERRUPTED, STALLED)
    assert job.state is JobState.FAILED
    assert not entry.in_flight()
