"""Several entries that exchange owners of jobs, in virtual time."""

import asyncio
import math

import msgspec

from sardinestair.clock import ManualClock
from sardinestair.entry.ownership_exchange import OwnershipExchange
from sardinestair.entry.resubmission import submit_after_earlier_runs
from sardinestair.entry.submission import WITHDRAWN
from sardinestair.entry.takeover import ElsewhereJob
from sardinestair.entry.tests.harness import TIMING, Entry
from sardinestair.jobs import JobState
from sardinestair.jobs.request import JobRequest, ParsedRequest, TaskRequest
from sardinestair.limits.resources import Resources
from sardinestair.links.entry_link import handle_message
from sardinestair.membership import PauseMonitor, PeerDirectory
from sardinestair.messages import (
    Grant,
    Outcome,
    OwnershipUpdate,
    TaskState,
)

TICK_S = 0.01
DELAY_S = 0.002
HELLO_INTERVAL_S = 1.0
# A session and a lease, with clock drift.
LAPSE_S = TIMING.session_s + TIMING.lease_s * 1.02
STOP_S = 0.05
TASK_UNITS = 1600
CREDITS = 16000


class Run:
    """A run of a task at an upstream."""

    def __init__(self, entry, ref, start_s):
        self.entry, self.ref, self.start_s = entry, ref, start_s
        self.end_s = None
        self.stop_s = None


class Announcer:
    """Sends to one other entry; messages reach it after a delay."""

    interval_s = HELLO_INTERVAL_S

    def __init__(self, cluster, sender, endpoint):
        self.cluster, self.sender, self.endpoint = cluster, sender, endpoint

    def send(self, update):
        data = msgspec.msgpack.encode(update)
        self.cluster.deliver(self.sender, self.endpoint, data)
        return True


class Node:
    """An entry with an event loop of its own, which the cluster drives."""

    def __init__(self, cluster, index):
        self.cluster, self.index = cluster, index
        self.endpoint = f"10.0.0.{index}:1"
        self.entry = Entry(2, True, cluster.clock)
        self.dispatcher = self.entry.dispatcher
        self.dispatcher.directory.own_endpoint = self.endpoint
        self.dispatcher.directory.retention_s = 15.0
        self.dispatcher.registry.retention_s = 15.0
        self.granted = dict.fromkeys(self.entry.links, CREDITS)
        self.peers = PeerDirectory(self.endpoint)
        others = [f"10.0.0.{i}:1" for i in range(cluster.size) if i != index]
        self.peers.learn(others, cluster.now_s)
        self.announcers = {e: Announcer(cluster, self, e) for e in others}
        self.exchange = OwnershipExchange(
            self.dispatcher, self.announcers, self.peers
        )
        self.loop = asyncio.SelectorEventLoop()
        self.loop.time = cluster.clock.monotonic
        self.frozen_until_s = 0.0
        self.stopped_s = None
        self.pauses = PauseMonitor(cluster.now_s)
        self.dispatcher.takeover.is_current = self.is_current
        self.inbox = []
        self.runs = {}

    @property
    def is_running(self):
        now_s = self.cluster.now_s
        return self.stopped_s is None and now_s >= self.frozen_until_s

    def is_current(self):
        return self.pauses.is_current(self.cluster.now_s)

    def receive(self, data):
        update = msgspec.msgpack.decode(data, type=OwnershipUpdate)
        self.exchange.handle_update(update)

    def step(self):
        """Does what is due, as after a wake-up."""
        now_s = self.cluster.now_s
        due = [data for at_s, data in self.inbox if at_s <= now_s]
        self.inbox = [row for row in self.inbox if row[0] > now_s]
        # Requests are read before messages that came during a pause.
        self._run_loop()
        self.pauses.observe_read(now_s)
        for data in due:
            self.receive(data)
        self._step_runs()
        self.dispatcher.run_periodic_checks()
        self._run_loop()
        self.exchange.run_once()

    def _run_loop(self):
        for _ in range(4):
            self.loop.call_soon(self.loop.stop)
            self.loop.run_forever()

    def _step_runs(self):
        now_s = self.cluster.now_s
        for sidecar, link in self.entry.links.items():
            for ref in list(link.outstanding.values()):
                if ref not in self.runs:
                    if now_s - self.frozen_until_s < 2 * TICK_S:
                        # Its session has ended while it stood still.
                        self._report(sidecar, ref, TaskState.NOT_RUN)
                        continue
                    run = self.runs[ref] = Run(self, ref, now_s)
                    self.cluster.runs.append(run)
            for ref in self.dispatcher.unwanted_tasks(link):
                if ref in self.runs:
                    run = self.runs[ref]
                    run.stop_s = run.stop_s or now_s + STOP_S
            for ref in list(link.outstanding.values()):
                if ref in self.runs:
                    self._step_run(sidecar, self.runs[ref], now_s)

    def _step_run(self, sidecar, run, now_s):
        task_s = self.cluster.task_s[run.ref.job]
        if run.end_s is not None:
            self._report(sidecar, run.ref, TaskState.INTERRUPTED)
        elif run.stop_s is not None and now_s >= run.stop_s:
            run.end_s = now_s
            self._report(sidecar, run.ref, TaskState.INTERRUPTED)
        elif now_s >= run.start_s + task_s:
            run.end_s = now_s
            self._report(sidecar, run.ref, TaskState.DONE)

    def _report(self, sidecar, ref, state):
        run_s = self.cluster.task_s[ref.job]
        self.entry.receive(sidecar, Outcome(ref, state, b"", False, run_s))
        self.granted[sidecar] += TASK_UNITS
        grant = Grant(self.granted[sidecar])
        handle_message(grant, self.entry.links[sidecar])

    def lapse_runs(self, since_s):
        """Ends runs that are being stopped, or whose session has ended."""
        for run in self.runs.values():
            limit_s = min(since_s + LAPSE_S, run.stop_s or math.inf)
            if run.end_s is None and self.cluster.now_s >= limit_s:
                run.end_s = limit_s

    def close(self):
        for task in asyncio.all_tasks(self.loop):
            task.cancel()
        self._run_loop()
        self.loop.close()


class Caller:
    """One submission of a job, and its response."""

    def __init__(self, node, job_id, task_s, tasks=1):
        self.node, self.job_id = node, job_id
        self.has_left = False
        self.job = None
        self.response = None
        self.answered_s = None
        request = JobRequest(
            "quotes", "team", [TaskRequest(msgspec.Raw(b"{}"))] * tasks,
            kind=f"k{int(1000 * task_s)}", declared_task_s=task_s,
            deadline_s=20.0, need=Resources(TASK_UNITS, 64, 0),
            best_effort=True,
        )  # fmt: skip
        self.parsed = ParsedRequest(job_id, request, b"d")
        node.loop.create_task(self._serve())

    def leave(self):
        """Breaks the connection; the entry learns of it when it runs."""
        self.has_left = True
        self.node.loop.call_soon(self._disconnect)

    def _disconnect(self):
        if self.job is not None and self.response is None:
            self.node.dispatcher.handle_caller_disconnect(self.job)

    async def _serve(self):
        accepted = await submit_after_earlier_runs(
            self.node.dispatcher, self.parsed, lambda: self.has_left
        )
        if accepted.is_ok() and not isinstance(accepted.ok, ElsewhereJob):
            self.job = accepted.ok
            while self.job.is_active:
                await asyncio.sleep(TICK_S)
            self._respond(self.job.state)
        elif accepted.is_ok():
            self._respond(accepted.ok.state)
        elif accepted.error is WITHDRAWN:
            self._respond(JobState.CANCELLED)
        else:
            self._respond(accepted.error)

    def _respond(self, response):
        self.response = response
        self.answered_s = self.node.cluster.now_s


class Cluster:
    """Entries on one clock.

    Attributes:
        runs: All runs of tasks at the upstreams.
        task_s: Run time of the tasks of each job, in seconds.
    """

    def __init__(self, size):
        self.size = size
        self.clock = ManualClock()
        self.runs = []
        self.task_s = {}
        self.cut = set()
        self.hello_s = 0.0
        self.ended = []
        self.nodes = [Node(self, index) for index in range(size)]
        self.run(6.0)

    @property
    def now_s(self):
        return self.clock.monotonic()

    def deliver(self, sender, endpoint, data):
        for node in self.nodes:
            is_open = frozenset((sender.index, node.index)) not in self.cut
            if node.endpoint == endpoint and is_open:
                node.inbox.append((self.now_s + DELAY_S, data))

    def submit(self, index, job_id, task_s=2.0, tasks=1):
        task_s = self.task_s.setdefault(job_id, task_s)
        return Caller(self.nodes[index], job_id, task_s, tasks)

    def cancel(self, index, job_id):
        """Cancels a job at an entry; returns the time of the response."""
        dispatcher, done = self.nodes[index].dispatcher, []

        async def cancel():
            dispatcher.cancel(job_id)
            await dispatcher.takeover.withdraw(job_id)
            done.append(self.now_s)

        self.nodes[index].loop.create_task(cancel())
        while not done:
            self.run(TICK_S)
        return done[0]

    def kill(self, index):
        self.nodes[index].stopped_s = self.now_s

    def freeze(self, index, seconds):
        node = self.nodes[index]
        node.stopped_at_s = self.now_s
        node.frozen_until_s = self.now_s + seconds

    def restart(self, index):
        """Starts an entry anew at the address of one that has ended."""
        self.ended.append(self.nodes[index])
        self.nodes[index] = Node(self, index)
        self.hello_s = self.now_s

    def run(self, seconds):
        for _ in range(round(seconds / TICK_S)):
            self.clock.advance(TICK_S)
            self._lapse_runs()
            for node in self.nodes:
                if node.is_running:
                    node.step()
            if self.now_s >= self.hello_s:
                self._exchange_hellos()

    def overlaps(self):
        """Returns the pairs of runs of a task at the same time."""
        found = []
        for i, first in enumerate(self.runs):
            for second in self.runs[i + 1 :]:
                same = (first.ref.job, first.ref.index) == (
                    second.ref.job,
                    second.ref.index,
                )
                end_s = self.now_s if first.end_s is None else first.end_s
                if same and second.start_s < end_s - TICK_S / 2:
                    found.append((first, second))
        return found

    def close(self):
        for node in [*self.nodes, *self.ended]:
            node.close()

    def _lapse_runs(self):
        for node in [*self.nodes, *self.ended]:
            if node.stopped_s is not None:
                node.lapse_runs(node.stopped_s)
            elif not node.is_running:
                node.lapse_runs(node.stopped_at_s)

    def _exchange_hellos(self):
        self.hello_s = self.now_s + HELLO_INTERVAL_S
        running = [node for node in self.nodes if node.is_running]
        for sender in running:
            for other in running:
                pair = frozenset((sender.index, other.index))
                if sender is other or pair in self.cut:
                    continue
                now_s = self.now_s
                sender.peers.observe(other.endpoint, "http://x", b"", now_s)
                other.exchange.add_peer(
                    sender.endpoint, sender.dispatcher.incarnation
                )
                received = other.exchange.received_from(
                    sender.endpoint, sender.dispatcher.incarnation
                )
                sender.exchange.observe_reply(
                    other.endpoint, other.dispatcher.incarnation, received
                )
