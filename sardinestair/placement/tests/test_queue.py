"""Small jobs first, large ones in bounded time, and fair shares of teams."""

import pytest

from sardinestair.ids import Incarnation, JobId
from sardinestair.jobs.job import Job
from sardinestair.jobs.work import WorkEstimate
from sardinestair.placement.queue import OrderPolicy, ReadyQueue

SIDECAR = Incarnation(b"s" * 16)
RATE = 10.0


@pytest.fixture
def queue():
    return ReadyQueue()


def make_job(number, tasks=1, team="calm", task_s=1.0):
    payloads = [b"1"] * tasks
    job_id = JobId(number.to_bytes(16, "big"))
    work = WorkEstimate(task_s)
    return Job(job_id, "q", team, "", payloads, 0.0, 99.0, work, b"")


def drain(queue):
    order = []
    while (job := queue.head()) is not None:
        queue.take(job, SIDECAR)
        order.append(job)
    return order


def test_small_job_goes_before_a_large_one(queue):
    large, small = make_job(1, tasks=100), make_job(2)
    queue.add(large, 0.0, RATE)
    queue.add(small, 1.0, RATE)
    assert queue.head() is small


def test_large_job_waits_a_bounded_time(queue):
    large = make_job(1, tasks=100)
    queue.add(large, 0.0, RATE)
    late = make_job(2, team="other")
    queue.add(late, 26.0, RATE)  # a quarter of 100 s later
    assert queue.head() is large


def test_first_come_ignores_size():
    queue = ReadyQueue(OrderPolicy.FIRST_COME)
    large, small = make_job(1, tasks=100), make_job(2)
    queue.add(large, 0.0, RATE)
    queue.add(small, 1.0, RATE)
    assert queue.head() is large


def test_team_that_floods_waits_behind_others(queue):
    for number in range(100):
        queue.add(make_job(number, tasks=2, team="flood"), 0.0, RATE)
    calm = make_job(1000, tasks=2)
    queue.add(calm, 1.0, RATE)
    position = drain(queue).index(calm)
    # Its share of one second's work at most goes first.
    assert position <= 2 * RATE


def test_work_ahead_counts_the_teams_own_flood(queue):
    for number in range(100):
        queue.add(make_job(number, tasks=2, team="flood"), 0.0, RATE)
    own = queue.work_ahead_s("flood", 2.0, 1.0)
    other = queue.work_ahead_s("calm", 2.0, 1.0)
    assert own > 5 * other


def test_task_that_did_not_run_goes_first_again(queue):
    job = make_job(1, tasks=3)
    queue.add(job, 0.0, RATE)
    index = queue.take(job, SIDECAR)
    queue.put_back(job, index)
    assert queue.take(job, SIDECAR) == index
    assert queue.waiting_tasks == 2
