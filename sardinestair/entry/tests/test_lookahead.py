"""Tests of what is kept of the jobs that placement considers."""

from hypothesis import given, settings
from hypothesis import strategies as st

from sardinestair.entry.lookahead import Lookahead
from sardinestair.ids import Incarnation, JobId
from sardinestair.jobs import CrashHistory, Job
from sardinestair.jobs.work import JobRunTimeEstimator
from sardinestair.messages import TaskRef
from sardinestair.placement import OrderPolicy, ReadyQueue

SIDECAR = Incarnation(b"s" * 16)
STEPS = st.lists(
    st.tuples(
        st.sampled_from(
            ["add", "start", "requeue", "discard", "wait", "shed", "order"]
        ),
        st.integers(0, 7),
    ),
    max_size=60,
)


def make_job(number, choice, now_s):
    """Returns a job whose properties depend on an integer."""
    kind, mean_s = [("check", 0.1), ("quote", 0.4), ("audit", 1.8)][choice % 3]
    return Job(
        JobId(number.to_bytes(16, "big")), "quotes", "team", kind,
        [b""] * (1 + choice), now_s, now_s + 9.0, JobRunTimeEstimator(mean_s),
        b"digest", need=None, soft_deadline_s=now_s + 1.6 * mean_s,
        useful_until_s=now_s + 3 * 1.6 * mean_s, priority=choice % 3,
        rack="r1" if choice == 5 else "",
    )  # fmt: skip


class QueueUse:
    """Uses a queue at random."""

    def __init__(self, order):
        self.queue = ReadyQueue(order)
        self.crashes = CrashHistory()
        self.lookahead = Lookahead(self.queue, self.crashes, lambda: True)
        self.now_s = 100.0
        self.started = []
        self.count = 0

    def pick(self, choice):
        jobs = list(self.queue.jobs)
        return jobs[choice % len(jobs)] if jobs else None

    def add(self, choice):
        self.count += 1
        job = make_job(self.count, choice, self.now_s)
        self.queue.add(job, self.now_s, 10.0)

    def start(self, choice):
        job = self.pick(choice)
        if job is not None:
            self.started.append((job, self.queue.dequeue(job, SIDECAR)))

    def requeue(self, choice):
        if self.started:
            job, index = self.started.pop(choice % len(self.started))
            self.queue.requeue(job, index)

    def discard(self, choice):
        job = self.pick(choice)
        if job is not None:
            self.queue.discard(job)
            self.started = [run for run in self.started if run[0] is not job]

    def wait(self, choice):
        self.now_s += 0.05 * choice
        self.queue.demote_late(self.now_s)

    def shed(self, choice):
        del choice
        self.queue.classes.demote_useless(self.now_s)

    def order(self, choice):
        orders = list(OrderPolicy)
        self.queue.set_order(orders[choice % len(orders)])

    def recomputed(self):
        return Lookahead(self.queue, self.crashes, lambda: True).jobs()


# Guards against jobs that are placed by an order that is no longer true.
@settings(max_examples=200, deadline=None)
@given(order=st.sampled_from(OrderPolicy), steps=STEPS)
def test_kept_jobs_are_those_of_the_queue(order, steps):
    use = QueueUse(order)
    for name, choice in steps:
        getattr(use, name)(choice)
        assert use.lookahead.jobs() == use.recomputed()


def test_jobs_are_chosen_once_until_the_queue_changes():
    use = QueueUse(OrderPolicy.URGENT_FIRST)
    use.add(0)
    first = use.lookahead.jobs()
    assert use.lookahead.jobs() is first
    use.add(1)
    assert use.lookahead.jobs() is not first


def test_task_that_may_have_crashed_an_upstream_waits_while_many_are_away():
    use = QueueUse(OrderPolicy.URGENT_FIRST)
    use.add(2)
    job = use.pick(0)
    assert [waiting.job for waiting in use.lookahead.jobs()] == [job]
    ref = TaskRef(job.job_id, 0, 1)
    use.crashes.record(ref, SIDECAR, age_s=0.1, now_s=use.now_s)
    assert use.lookahead.jobs() == []
    use.lookahead.must_spare = lambda: False
    assert [waiting.job for waiting in use.lookahead.jobs()] == [job]
    use.crashes.evict(use.now_s + use.crashes.retention_s)
    assert [waiting.job for waiting in use.lookahead.jobs()] == [job]
