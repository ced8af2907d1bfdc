"""Order of the queue, fairness between teams, and demotion of late jobs."""

import pytest

from sardinestair.ids import Incarnation, JobId
from sardinestair.jobs.job import Job
from sardinestair.jobs.work import JobRunTimeEstimator
from sardinestair.limits.credit_priority import demand_class
from sardinestair.placement.queue import OrderPolicy, ReadyQueue

SIDECAR = Incarnation(b"s" * 16)
THROUGHPUT = 10.0


@pytest.fixture
def queue():
    return ReadyQueue()


def make_job(number, tasks=1, team="calm", task_s=1.0):
    payloads = [b"1"] * tasks
    job_id = JobId(number.to_bytes(16, "big"))
    run_time = JobRunTimeEstimator(task_s)
    return Job(job_id, "q", team, "", payloads, 0.0, 99.0, run_time, b"")


def drain(queue):
    order = []
    while (job := queue.head()) is not None:
        queue.dequeue(job, SIDECAR)
        order.append(job)
    return order


def test_small_job_goes_before_a_large_one(queue):
    large, small = make_job(1, tasks=100), make_job(2)
    queue.add(large, 0.0, THROUGHPUT)
    queue.add(small, 1.0, THROUGHPUT)
    assert queue.head() is small


def test_large_job_waits_a_bounded_time(queue):
    large = make_job(1, tasks=100)
    queue.add(large, 0.0, THROUGHPUT)
    small = make_job(2, team="other")
    queue.add(small, 26.0, THROUGHPUT)  # WORK_WEIGHT * 100 s = 25 s
    assert queue.head() is large


@pytest.mark.parametrize(
    "order", [OrderPolicy.FIRST_COME, OrderPolicy.SMALL_FIRST]
)
def test_smaller_priority_number_goes_first(order):
    queue = ReadyQueue(order)
    jobs = [make_job(number) for number in range(3)]
    for job, priority in zip(jobs, (2, 0, 1), strict=True):
        job.priority = priority
        queue.add(job, 0.0, THROUGHPUT)
    assert drain(queue) == [jobs[1], jobs[2], jobs[0]]


def test_work_ahead_counts_kinds_that_are_more_urgent(queue):
    for number in range(2):
        job = make_job(number)
        job.priority = number
        queue.add(job, 0.0, THROUGHPUT)
    ahead = [
        queue.work_ahead_s("new", 1.0, 0.0, priority=priority)
        for priority in (0, 1, 2)
    ]
    assert ahead == [0.0, 1.0, 2.0]


def test_first_come_ignores_size():
    queue = ReadyQueue(OrderPolicy.FIRST_COME)
    large, small = make_job(1, tasks=100), make_job(2)
    queue.add(large, 0.0, THROUGHPUT)
    queue.add(small, 1.0, THROUGHPUT)
    assert queue.head() is large


def test_team_that_floods_waits_behind_others(queue):
    for number in range(100):
        queue.add(make_job(number, tasks=2, team="flood"), 0.0, THROUGHPUT)
    calm = make_job(1000, tasks=2)
    queue.add(calm, 1.0, THROUGHPUT)
    position = drain(queue).index(calm)
    # At most the flooding team's share of one second goes first.
    assert position <= 2 * THROUGHPUT


def test_work_ahead_counts_the_teams_own_flood(queue):
    for number in range(100):
        queue.add(make_job(number, tasks=2, team="flood"), 0.0, THROUGHPUT)
    own = queue.work_ahead_s("flood", 2.0, 1.0)
    other = queue.work_ahead_s("calm", 2.0, 1.0)
    assert own > 5 * other


def test_requeued_task_goes_first(queue):
    job = make_job(1, tasks=3)
    queue.add(job, 0.0, THROUGHPUT)
    index = queue.dequeue(job, SIDECAR)
    queue.requeue(job, index)
    assert queue.dequeue(job, SIDECAR) == index
    assert queue.waiting_tasks == 2


# LEAST_SLACK when more jobs arrive than can meet their objective.


def timed_job(number, soft_deadline_s, task_s=1.0):
    job = make_job(number, task_s=task_s)
    job.soft_deadline_s = soft_deadline_s
    return job


def slack_queue(*jobs):
    queue = ReadyQueue(OrderPolicy.LEAST_SLACK)
    for job in jobs:
        queue.add(job, 0.0, THROUGHPUT)
    return queue


def test_least_slack_goes_first_whatever_came_first():
    long = timed_job(1, soft_deadline_s=5.0, task_s=2.0)
    short = timed_job(2, soft_deadline_s=1.0, task_s=0.5)
    assert drain(slack_queue(long, short)) == [short, long]


def test_late_job_goes_behind_jobs_that_can_be_in_time():
    late = timed_job(1, soft_deadline_s=1.0, task_s=0.5)
    on_time = timed_job(2, soft_deadline_s=3.0, task_s=0.5)
    queue = slack_queue(late, on_time)
    assert queue.head() is late
    assert queue.demote_late(0.6) == [late]
    assert queue.demote_late(0.7) == []
    assert drain(queue) == [on_time, late]


def test_late_jobs_keep_their_order():
    jobs = [timed_job(n, soft_deadline_s=1.0 + n / 10) for n in range(5)]
    queue = slack_queue(*reversed(jobs))
    queue.demote_late(10.0)
    assert drain(queue) == jobs


def test_requeued_task_keeps_the_place_of_its_late_job():
    late = timed_job(1, soft_deadline_s=1.0)
    on_time = timed_job(2, soft_deadline_s=9.0)
    queue = slack_queue(late, on_time)
    queue.demote_late(0.5)
    queue.dequeue(late, SIDECAR)
    queue.requeue(late, 0)
    assert queue.head() is on_time


def test_work_ahead_counts_what_is_more_urgent_only():
    jobs = [timed_job(n, soft_deadline_s=float(n)) for n in range(2, 12)]
    queue = slack_queue(*jobs)
    assert queue.work_ahead_s("calm", 1.0, 0.0, 0.5) == 0.0
    assert queue.work_ahead_s("calm", 1.0, 0.0, 20.0) == 10.0


def test_late_job_not_started_is_no_longer_useful_after_its_time():
    late, started = (
        timed_job(1, soft_deadline_s=1.0),
        timed_job(2, soft_deadline_s=1.0),
    )
    for job in (late, started):
        job.useful_until_s = 3.0
    queue = slack_queue(late, started)
    started.may_have_run = True
    queue.demote_late(0.5)
    assert queue.no_longer_useful(1.9) == []
    assert queue.no_longer_useful(2.1) == [late]


def test_waiting_work_moves_to_the_class_of_late_jobs():
    late = timed_job(1, soft_deadline_s=1.0, task_s=0.5)
    on_time = timed_job(2, soft_deadline_s=3.0, task_s=0.5)
    queue = slack_queue(late, on_time)
    queue.demote_late(0.6)
    late_class = demand_class(late.priority, is_late=True)
    assert queue.waiting_by_class.work_s == {0: 0.5, late_class: 0.5}
    drain(queue)
    assert queue.waiting_by_class.work_s == {}
