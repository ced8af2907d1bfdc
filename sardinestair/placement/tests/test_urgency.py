"""Order by urgency class when more jobs arrive than can be in time."""

import pytest

from sardinestair.ids import Incarnation, JobId
from sardinestair.jobs.job import Job
from sardinestair.jobs.work import JobRunTimeEstimator
from sardinestair.placement.queue import OrderPolicy, ReadyQueue

SIDECAR = Incarnation(b"s" * 16)
# Clocks of entries may be far beyond the offset of a class.
START_S = 1e6
USEFUL_FACTOR = 3


def make_job(number, priority, objective_s, task_s=0.1, tasks=2):
    return Job(
        JobId(number.to_bytes(16, "big")), "q", "team", str(priority),
        [b"1"] * tasks, START_S, START_S + 60.0, JobRunTimeEstimator(task_s),
        b"", soft_deadline_s=START_S + objective_s,
        useful_until_s=START_S + USEFUL_FACTOR * objective_s,
        priority=priority,
    )  # fmt: skip


def make_queue(*jobs, order=OrderPolicy.URGENT_FIRST):
    queue = ReadyQueue(order)
    for job in jobs:
        queue.add(job, START_S, 10.0)
    return queue


def drain(queue):
    order = []
    while (job := queue.head()) is not None:
        queue.dequeue(job, SIDECAR)
        order.append(job)
    return list(dict.fromkeys(order))


@pytest.fixture
def long():
    return make_job(1, priority=2, objective_s=2.0)


@pytest.fixture
def urgent():
    return make_job(2, priority=0, objective_s=5.0)


def test_urgent_job_goes_first_whatever_its_latest_start(long, urgent):
    assert drain(make_queue(long, urgent)) == [urgent, long]


def test_latest_start_decides_within_a_class():
    later, sooner = (make_job(n, 1, objective_s) for n, objective_s in
                     enumerate((3.0, 1.0)))  # fmt: skip
    assert drain(make_queue(later, sooner)) == [sooner, later]


def test_job_that_is_admitted_as_late_goes_behind_all_others(long, urgent):
    urgent.is_late = True
    queue = make_queue(urgent, long)
    assert list(queue.late_jobs(START_S)) == [urgent]
    assert drain(queue) == [long, urgent]


def test_late_urgent_job_goes_behind_all_that_can_be_in_time(long, urgent):
    urgent.soft_deadline_s = START_S + 1.0
    queue = make_queue(long, urgent)
    assert queue.demote_late(START_S + 1.0) == [urgent]
    assert drain(queue) == [long, urgent]


def test_begun_job_is_completed_although_its_latest_start_has_passed(urgent):
    begun = make_job(1, priority=0, objective_s=1.0)
    queue = make_queue(begun, urgent)
    queue.dequeue(begun, SIDECAR)
    assert queue.demote_late(START_S + 1.0) == []
    assert drain(queue) == [begun, urgent]


def test_begun_job_that_lost_a_run_goes_behind(urgent):
    begun = make_job(1, priority=0, objective_s=1.0)
    queue = make_queue(begun, urgent)
    queue.dequeue(begun, SIDECAR)
    queue.requeue(begun, 0)
    queue.dequeue(begun, SIDECAR)
    assert queue.demote_late(START_S + 1.0) == [begun]


def test_begun_job_goes_behind_once_its_answer_is_of_no_use(long):
    begun = make_job(5, priority=0, objective_s=0.5)
    queue = make_queue(begun, long)
    queue.dequeue(begun, SIDECAR)
    queue.demote_late(START_S + 1.0)
    queue.classes.demote_useless(START_S + 1.0)
    assert not begun.is_late
    queue.classes.demote_useless(START_S + 1.45)
    assert drain(queue) == [long, begun]


def test_tasks_ahead_counts_own_and_more_urgent_classes(long, urgent):
    queue = make_queue(long, urgent, make_job(3, 1, 1.0, tasks=4))
    latest_s = START_S + 60.0
    ahead = [queue.tasks_ahead(priority, latest_s) for priority in (0, 1, 2)]
    assert ahead == [2.0, 6.0, 8.0]


def test_tasks_ahead_leaves_out_what_starts_later_and_late_jobs(urgent):
    queue = make_queue(urgent, make_job(3, 0, 0.5))
    assert queue.tasks_ahead(0, START_S + 1.0) == 2.0
    queue.demote_late(START_S + 1.0)
    assert queue.tasks_ahead(0, START_S + 1.0) == 0.0


def test_counts_return_to_zero(long, urgent):
    queue = make_queue(long, urgent)
    queue.demote_late(START_S + 3.0)
    queue.discard(long)
    drain(queue)
    assert not any(queue.classes.waiting_tasks.values())
    assert not any(queue.classes.waiting_jobs.values())


def test_waiting_jobs_are_sorted_again_when_the_order_changes(long, urgent):
    queue = make_queue(long, urgent, order=OrderPolicy.LEAST_SLACK)
    assert queue.head() is long
    queue.set_order(OrderPolicy.URGENT_FIRST)
    assert queue.head() is urgent
    queue.set_order(OrderPolicy.LEAST_SLACK)
    assert queue.head() is long


def test_one_class_is_ordered_as_by_least_slack():
    jobs = [make_job(n, 3, 0.5 + (7 * n % 10) / 10) for n in range(10)]
    orders = []
    for order in (OrderPolicy.LEAST_SLACK, OrderPolicy.URGENT_FIRST):
        for job in jobs:
            job.is_late = False
        queue = make_queue(*jobs, order=order)
        queue.demote_late(START_S + 0.8)
        orders.append([job.job_id for job in queue.jobs])
    assert orders[0] == orders[1]
