"""Admission and shedding by urgency class under overload."""

import pytest

from sardinestair.entry.class_admission import Applicant, ClassAdmission, Room
from sardinestair.entry.shedding import useless_jobs
from sardinestair.ids import Incarnation, JobId
from sardinestair.jobs import Job
from sardinestair.jobs.work import JobRunTimeEstimator
from sardinestair.limits.credit_priority import is_late_class, priority_of
from sardinestair.links.entry_link import LinkState
from sardinestair.outcomes import RefusalReason
from sardinestair.placement import Candidate, OrderPolicy, ReadyQueue

NOW_S = 500.0
# Three kinds: run time and number of tasks, by priority.
KINDS = {0: (0.12, 8), 1: (0.4, 2), 2: (1.8, 4)}
FULL = Room(tasks_per_s=100.0, throughput=50.0, is_free=False)


def applicant(priority, team="team", number=0):
    run_s, tasks = KINDS[priority]
    objective_s = 1.6 * run_s + 0.06
    return Applicant(
        JobId(number.to_bytes(16, "big")), team, priority, tasks, run_s,
        objective_s, 3 * objective_s,
    )  # fmt: skip


def add_waiting(queue, priority, count, accepted_s=NOW_S):
    run_s, tasks = KINDS[priority]
    for _ in range(count):
        number = len(queue.jobs)
        objective_s = 1.6 * run_s + 0.06
        job = Job(
            JobId(number.to_bytes(16, "big")), "q", "team", str(priority),
            [b""] * tasks, accepted_s, accepted_s + 60.0,
            JobRunTimeEstimator(run_s), b"",
            soft_deadline_s=accepted_s + objective_s,
            useful_until_s=accepted_s + 3 * objective_s, priority=priority,
        )  # fmt: skip
        queue.add(job, accepted_s, 50.0)


@pytest.fixture
def queue():
    return ReadyQueue(OrderPolicy.URGENT_FIRST)


@pytest.fixture
def admission(queue):
    admission = ClassAdmission(queue)
    for priority in KINDS:
        admission.arrivals_.observe(priority, 1, NOW_S - 60.0)
    # The guaranteed shares are used up.
    for priority in (1, 2):
        admission.guaranteed.try_acquire(priority, 1e3, 50.0, NOW_S)
    return admission


def test_all_classes_are_admitted_without_a_queue(admission):
    for priority in KINDS:
        assert admission.admit(applicant(priority), FULL, NOW_S).ok == priority


def test_second_class_is_refused_while_the_urgent_one_is_admitted(
    admission, queue
):
    add_waiting(queue, 1, 20)
    refused = admission.admit(applicant(1), FULL, NOW_S).error
    assert refused.reason is RefusalReason.INFEASIBLE
    assert refused.not_run
    assert admission.admit(applicant(0), FULL, NOW_S).is_ok()


def test_urgent_arrivals_leave_no_room_for_long_jobs(admission, queue):
    add_waiting(queue, 1, 5)
    assert admission.admit(applicant(2), FULL, NOW_S).is_ok()
    for _ in range(6):
        admission.arrivals_.observe(0, 8, NOW_S)
    assert admission.admit(applicant(2), FULL, NOW_S).is_error()


def test_no_job_is_refused_while_room_is_free(admission, queue):
    add_waiting(queue, 0, 100)
    free = Room(100.0, 50.0, is_free=True)
    assert admission.admit(applicant(2), free, NOW_S).ok == 2


def test_job_that_only_slow_upstreams_have_room_for_is_admitted_as_late(
    admission, queue
):
    add_waiting(queue, 0, 100)
    slow_room = Room(100.0, 50.0, is_free=False, is_free_elsewhere=True)
    admitted = admission.admit(applicant(2), slow_room, NOW_S).ok
    assert is_late_class(admitted)
    assert priority_of(admitted) == 2
    assert admission.admit(applicant(2), FULL, NOW_S).is_error()


def test_displaced_class_keeps_a_share_in_the_next_class(admission, queue):
    add_waiting(queue, 1, 100)
    later_s = NOW_S + 10.0
    admission.guaranteed.tokens_[2] = 0.0
    assert admission.admit(applicant(2), FULL, later_s).ok == 1
    assert admission.admit(applicant(2), FULL, later_s).is_error()


class View:
    """What is reported to an entry without a queue."""

    def backlog_s(self, priority, now_s):
        return 0.5 if priority else 0.0


def test_backlog_of_other_entries_counts(admission):
    assert admission.admit(applicant(1), FULL, NOW_S, View()).is_error()
    assert admission.admit(applicant(0), FULL, NOW_S, View()).is_ok()


def test_flooding_team_is_refused_before_others(admission, queue):
    admission.admit(applicant(1, "calm"), FULL, NOW_S)
    for _ in range(20):
        admission.admit(applicant(1, "flood"), FULL, NOW_S)
    add_waiting(queue, 1, 5)
    refused = admission.admit(applicant(1, "flood"), FULL, NOW_S).error
    assert refused.reason is RefusalReason.FAIR_SHARE
    assert admission.admit(applicant(1, "calm"), FULL, NOW_S).is_ok()


class FakeLink:
    """A link to a full upstream with 10 slots."""

    state = LinkState.UP

    def __init__(self, slowdown):
        self.candidate = Candidate(
            Incarnation(b"s" * 16), "quotes", "z", slots=10
        )
        self.candidate.slowdown_ = slowdown
        self.outstanding = {}


def test_room_leaves_out_upstreams_that_are_too_slow():
    links = [FakeLink(slowdown) for slowdown in (1.0, 1.5, 3.0)]
    fast_enough = Room.of(links, 1.0, applicant(2))
    assert fast_enough.throughput == pytest.approx(10 + 10 / 1.5)
    assert Room.of(links, 1.0).throughput == pytest.approx(
        10 + 10 / 1.5 + 10 / 3
    )


# Guards against jobs that are admitted and end late after the restart of many
# upstreams: cold ones get fewer tasks, but were counted as if they were warm.
def test_room_counts_the_share_that_cold_upstreams_get():
    links = [FakeLink(slowdown=1.0), FakeLink(slowdown=1.0)]
    warm = Room.of(links, 1.0)
    links[0].candidate.warm_share = 0.5
    room = Room.of(links, 1.0)
    assert room.throughput == pytest.approx(0.75 * warm.throughput)
    assert room.tasks_per_s == pytest.approx(0.75 * warm.tasks_per_s)


def test_room_of_slow_upstreams_counts_where_the_answer_is_of_use():
    slow, useless = FakeLink(slowdown=3.0), FakeLink(slowdown=9.0)
    useless.candidate.credits = 10
    assert not Room.of([slow, useless], 1.0, applicant(2)).is_free_elsewhere
    slow.candidate.credits = 4
    room = Room.of([slow, useless], 1.0, applicant(2))
    assert room.is_free_elsewhere
    assert not room.is_free


# Shedding of jobs that were accepted before more urgent ones came.


def test_late_job_behind_a_long_backlog_is_answered_at_once(queue):
    add_waiting(queue, 1, 1)
    queue.demote_late(NOW_S + 0.31)
    late = queue.head()
    assert useless_jobs(queue, 100.0, NOW_S + 0.31) == []
    add_waiting(queue, 0, 30, NOW_S + 0.31)
    assert useless_jobs(queue, 100.0, NOW_S + 0.31) == [late]


def test_begun_job_is_not_given_up(queue):
    add_waiting(queue, 1, 1)
    begun = queue.head()
    queue.dequeue(begun, Incarnation(b"s" * 16))
    now_s = NOW_S + 30.0
    queue.demote_late(now_s)
    assert useless_jobs(queue, 100.0, now_s) == []
    assert begun.is_late
