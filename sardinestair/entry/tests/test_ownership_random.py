"""One id is one job: random submissions, ends and pauses of entries."""

import random

import pytest

from sardinestair.entry.tests.cluster import TICK_S, Cluster
from sardinestair.ids import JobId
from sardinestair.jobs import JobState

SEEDS = 30
RESEND_S = 1.3
MAX_SECONDS = 36.0
FAULTS_END_S = 15.0
JOBS = 6


class Client:
    """Submits one job until it has a response; copies of it come late.

    A response may be lost with its connection. Copies come once a response
    has been sent, at any entry.
    """

    def __init__(self, cluster, rng, number):
        self.cluster, self.rng = cluster, rng
        self.job_id = JobId(bytes(8) + number.to_bytes(8, "big"))
        self.task_s = rng.choice([0.3, 0.6, 1.5, 3.0])
        self.tasks = rng.randint(1, 2)
        self.due_s = cluster.now_s + rng.uniform(0.2, 3.0)
        self.copies_s = []
        self.has_copies = False
        self.caller = None
        self.callers = []
        self.break_s = None
        self.is_done = False

    def _submit(self):
        running = [n.index for n in self.cluster.nodes if n.stopped_s is None]
        caller = self.cluster.submit(
            self.rng.choice(running), self.job_id, self.task_s, self.tasks
        )
        self.callers.append(caller)
        return caller

    def step(self):
        now_s = self.cluster.now_s
        for at_s in [at_s for at_s in self.copies_s if now_s >= at_s]:
            self.copies_s.remove(at_s)
            self._submit()
        if self.is_done:
            return
        if self.caller is None:
            if now_s >= self.due_s:
                self.caller = self._submit()
                self.break_s = None
                if now_s < FAULTS_END_S and self.rng.random() < 0.5:
                    self.break_s = now_s + self.rng.uniform(0.0, 2.5)
            return
        caller = self.caller
        is_lost = caller.node.stopped_s is not None
        is_broken = self.break_s is not None and now_s >= self.break_s
        is_answered = caller.response is not None
        if is_answered and not self.has_copies:
            self._schedule_copies(caller.answered_s)
        if is_lost or is_broken:
            caller.leave()
            self._send_again(now_s)
        elif is_answered and (
            self.break_s is None or caller.response is not JobState.COMPLETE
        ):
            if caller.response is JobState.COMPLETE:
                self.is_done = True
            else:
                self._send_again(now_s)

    def _schedule_copies(self, answered_s):
        self.has_copies = True
        for _ in range(self.rng.randint(0, 3)):
            self.copies_s.append(answered_s + self.rng.uniform(0.3, 4.0))

    def _send_again(self, now_s):
        self.caller = None
        self.due_s = now_s + RESEND_S


def inject_fault(cluster, rng):
    """Ends, restarts or pauses an entry; one at least stays up."""
    running = [n for n in cluster.nodes if n.is_running]
    stopped = [n for n in cluster.nodes if n.stopped_s is not None]
    if stopped and rng.random() < 0.6:
        cluster.restart(rng.choice(stopped).index)
        return 0.3
    if len(running) < 2:
        return 0.3
    node = rng.choice(running)
    if rng.random() < 0.5:
        cluster.freeze(node.index, rng.uniform(0.2, 3.0))
        return 0.5
    if node.exchange.due_s is not None:
        return 2 * TICK_S  # What it has accepted is not known to others yet.
    cluster.kill(node.index)
    return rng.uniform(0.2, 2.0)


def play(seed):
    """Plays a seed; returns overlapping runs and the last responses."""
    rng = random.Random(f"ownership {seed}")
    cluster = Cluster(rng.choice([2, 3, 3, 5]))
    clients = [Client(cluster, rng, number) for number in range(1, JOBS + 1)]
    next_fault_s = cluster.now_s + rng.uniform(0.5, 3.0)
    try:
        while cluster.now_s < MAX_SECONDS and not all(
            client.is_done and not client.copies_s for client in clients
        ):
            cluster.run(TICK_S)
            for client in clients:
                client.step()
            if next_fault_s <= cluster.now_s < FAULTS_END_S:
                delay_s = inject_fault(cluster, rng)
                next_fault_s = cluster.now_s + delay_s
        cluster.run(0.5)
        return cluster.overlaps(), [client.is_done for client in clients]
    finally:
        cluster.close()


# Guards against two runs of a task at the same time (rule TWICE), whichever
# entries the submissions reach, and whichever entries end or stand still.
@pytest.mark.parametrize("seed", range(SEEDS))
def test_no_task_runs_twice_at_the_same_time(seed):
    overlaps, are_done = play(seed)
    assert [
        (first.entry.index, first.ref, second.entry.index, second.start_s)
        for first, second in overlaps
    ] == []
    assert all(are_done)
