"""Stateful property test of the link protocol.

Runs the real dispatcher and link servers over fake sockets, while connections
lose, duplicate and delay frames, sidecars restart and upstreams leave. The
invariants must hold after every step.
"""

from collections import Counter, deque

import msgspec
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from sardinestair.clock import ManualClock
from sardinestair.entry.dispatcher import Dispatcher
from sardinestair.jobs.request import JobRequest, ParsedRequest, TaskRequest
from sardinestair.links.entry_link import LinkState
from sardinestair.messages import EntryFrame, TaskState
from sardinestair.observability import Metrics
from sardinestair.settings import parse_tree
from sardinestair.sidecar.link_server import LinkServer
from sardinestair.tests.fakes import (
    FakeContext,
    FakeSocket,
    FakeUpstream,
)
from sardinestair.upstreams import Announcement

SIDECAR_COUNT = 2
SLOTS = 2
ANNOUNCEMENT = Announcement("quotes", "http://127.0.0.1:1", SLOTS, ttl_s=300)


class Connection:
    """A connection of a link: keeps frames in order, but may lose them."""

    def __init__(self, link, sidecar_index, number):
        self.link = link
        self.sidecar_index = sidecar_index
        self.route = bytes([number % 256, number // 256])
        self.socket = FakeSocket()
        self.to_sidecar = deque()
        self.to_entry = deque()
        self.delivered = []

    def queue_sent(self):
        self.to_sidecar.extend(self.socket.take_sent())


class LinksMachine(RuleBasedStateMachine):
    @initialize()
    def start(self):
        self.clock = ManualClock()
        self.starts = []
        self.jobs = {}
        self.connections = []
        self.connection_count = 0
        self.id_count = 0
        self.created = []
        self.dispatcher = Dispatcher(
            self.make_id(), "z", self.clock, Metrics(), FakeContext()
        )
        self.dispatcher.configure(parse_tree("services: {quotes: {}}").ok)
        self.servers = [self.make_server() for _ in range(SIDECAR_COUNT)]
        for index in range(SIDECAR_COUNT):
            self.connect(index)
        self.deliver_all()

    def deliver_all(self):
        for _ in range(3):
            for index in range(SIDECAR_COUNT):
                self.deliver_to_sidecar(index)
                self.deliver_to_entry(index)

    def make_id(self):
        """Returns ids in a fixed order, so that a run can be reproduced."""
        self.id_count += 1
        return self.id_count.to_bytes(16, "big")

    def make_server(self):
        server = LinkServer(
            "tcp://127.0.0.1:*", "z", self.make_id(), self.clock,
            Metrics(), FakeContext(),
        )  # fmt: skip
        self.created.append(server)
        server.announce(ANNOUNCEMENT)
        server.availability.caller = FakeUpstream(self.starts)
        return server

    def connect(self, index):
        link = self.dispatcher.handle_announcement(
            self.servers[index].description()
        )
        if link is not None:
            self.open_connection(link, index)

    def open_connection(self, link, index):
        self.connections = [c for c in self.connections if c.link is not link]
        self.connection_count += 1
        connection = Connection(link, index, self.connection_count)
        link.open_epoch(connection.socket)
        link.flush(connection.socket)
        connection.queue_sent()
        self.connections.append(connection)

    def flush_server(self, server):
        server._allocate_credits()
        server._flush()
        for route, data in server.socket.take_sent():
            for connection in self.connections:
                if connection.route == route:
                    connection.to_entry.append(data)

    def handle_at_sidecar(self, connection, data):
        server = self.servers[connection.sidecar_index]
        frame = msgspec.msgpack.decode(data, type=EntryFrame)
        server._handle_frame(connection.route, frame)
        self.flush_server(server)

    # Requests of callers.

    @rule(tasks=st.integers(1, 3))
    def submit(self, tasks):
        payloads = [TaskRequest(msgspec.Raw(b"{}")) for _ in range(tasks)]
        request = JobRequest("quotes", "team", payloads, deadline_s=30.0)
        parsed = ParsedRequest(self.make_id(), request, b"")
        submitted = self.dispatcher.submit(parsed)
        if submitted.is_ok():
            self.jobs[parsed.job_id] = submitted.ok
        self.flush_links()

    @precondition(lambda self: self.jobs)
    @rule(number=st.integers(0, 100))
    def cancel(self, number):
        job_ids = sorted(self.jobs)
        self.dispatcher.cancel(job_ids[number % len(job_ids)])
        self.flush_links()

    def flush_links(self):
        for connection in self.connections:
            if connection.link.state is not LinkState.CLOSED:
                connection.link.flush(connection.socket)
                connection.queue_sent()

    # Delivery, loss and duplication of frames.

    @rule(index=st.integers(0, SIDECAR_COUNT - 1), oldest=st.booleans())
    def deliver_to_sidecar(self, index, oldest=False):
        connection = self.find_connection(index, oldest)
        while connection and connection.to_sidecar:
            data = connection.to_sidecar.popleft()
            connection.delivered.append(data)
            self.handle_at_sidecar(connection, data)

    @rule(index=st.integers(0, SIDECAR_COUNT - 1), oldest=st.booleans())
    def deliver_to_entry(self, index, oldest=False):
        connection = self.find_connection(index, oldest)
        if connection is None:
            return
        connection.socket.inbox.extend(connection.to_entry)
        connection.to_entry.clear()
        is_intact = connection.link.receive(connection.socket)
        self.dispatcher.place_waiting()
        self.flush_links()
        if not is_intact and connection.link.state is not LinkState.CLOSED:
            self.open_connection(connection.link, connection.sidecar_index)

    @rule(index=st.integers(0, SIDECAR_COUNT - 1), number=st.integers(0, 100))
    def repeat_frame(self, index, number):
        connection = self.find_connection(index)
        if connection and connection.delivered:
            frames = connection.delivered
            self.handle_at_sidecar(
                connection, frames[-1 - number % len(frames)]
            )

    @rule(index=st.integers(0, SIDECAR_COUNT - 1))
    def lose_frame(self, index):
        connection = self.find_connection(index)
        if connection and connection.to_sidecar:
            connection.to_sidecar.popleft()
        elif connection and connection.to_entry:
            connection.to_entry.popleft()

    @rule(
        index=st.integers(0, SIDECAR_COUNT - 1),
        is_delivered_late=st.booleans(),
        oldest=st.booleans(),
    )
    def force_reconnect(self, index, is_delivered_late, oldest):
        connection = self.find_connection(index, oldest)
        if connection is None:
            return
        in_transit = list(connection.to_sidecar)
        self.open_connection(connection.link, connection.sidecar_index)
        if is_delivered_late:
            # Frames in transit arrive after the new epoch was opened.
            self.deliver_to_sidecar(index, oldest)
            for data in in_transit:
                self.handle_at_sidecar(connection, data)

    def find_connection(self, index, oldest=False):
        """Returns the newest open connection to a sidecar, or the oldest."""
        matching = [
            connection
            for connection in self.connections
            if connection.sidecar_index == index
            and connection.link.state is not LinkState.CLOSED
        ]
        return matching[0 if oldest else -1] if matching else None

    @rule(rounds=st.integers(1, 2), tasks=st.integers(0, 4))
    def exchange(self, rounds, tasks):
        """Delivers all frames and runs tasks, without faults."""
        for _ in range(rounds):
            for index in range(SIDECAR_COUNT):
                self.deliver_to_sidecar(index)
                self.run_tasks(index, tasks)
                self.deliver_to_entry(index)

    @rule(tasks=st.integers(1, 3), count=st.integers(0, 2))
    def submit_and_start(self, tasks, count):
        """Starts a job and ends some tasks, without delivering outcomes."""
        self.submit(tasks)
        for index in range(SIDECAR_COUNT):
            self.deliver_to_sidecar(index)
            self.run_tasks(index, count)

    # Sidecars and upstreams.

    @rule(index=st.integers(0, SIDECAR_COUNT - 1), count=st.integers(1, 4))
    def run_tasks(self, index, count):
        server = self.servers[index]
        for _ in range(min(count, len(server.availability.caller.waiting))):
            server.availability.caller.waiting.popleft()()
        self.flush_server(server)

    @rule(index=st.integers(0, SIDECAR_COUNT - 1))
    def restart_sidecar(self, index):
        self.servers[index] = self.make_server()
        self.connect(index)

    @rule(
        index=st.integers(0, SIDECAR_COUNT - 1),
        state=st.sampled_from(list(TaskState)),
    )
    def change_upstream(self, index, state):
        self.servers[index].availability.caller.state = state

    @rule(index=st.integers(0, SIDECAR_COUNT - 1))
    def leave_and_return(self, index):
        server = self.servers[index]
        server.leave()
        self.flush_server(server)
        server.announce(ANNOUNCEMENT)
        self.flush_server(server)

    @rule(seconds=st.sampled_from([0.1, 0.5, 1.0, 31.0]))
    def pass_time(self, seconds):
        self.clock.advance(seconds)
        self.dispatcher.run_periodic_checks()
        self.flush_links()

    # Invariants.

    @invariant()
    def started_at_most_once(self):
        counts = Counter(getattr(self, "starts", ()))
        assert all(count == 1 for count in counts.values()), counts

    @invariant()
    def results_are_complete_and_correct(self):
        started = {job_id for job_id, _ in getattr(self, "starts", ())}
        for job_id, job in getattr(self, "jobs", {}).items():
            if not job.done.done():
                continue
            answer = job.done.result()
            if answer.is_ok():
                bodies = [a.body.decode() for a in answer.ok]
                expected = [
                    f"{job_id.hex()}/{i}" for i in range(job.task_count)
                ]
                assert bodies == expected
            elif answer.error.not_run:
                assert job_id not in started

    @invariant()
    def slots_are_not_exceeded(self):
        for server in getattr(self, "servers", ()):
            assert server.ledger.occupied_units <= SLOTS

    def teardown(self):
        for server in self.created:
            server.close()


def test_jobs_complete_without_faults():
    """The invariants would hold trivially if no job ran."""
    machine = LinksMachine()
    machine.start()
    machine.submit(3)
    machine.deliver_all()
    for index in range(SIDECAR_COUNT):
        machine.run_tasks(index, 4)
    machine.deliver_all()
    assert len(machine.starts) == 3
    assert all(job.done.result().is_ok() for job in machine.jobs.values())
    machine.teardown()


TestLinks = LinksMachine.TestCase
TestLinks.settings = settings(
    max_examples=400,
    stateful_step_count=50,
    deadline=None,
    derandomize=True,
    database=None,
)


def test_late_start_of_an_earlier_epoch_is_refused():
    machine = LinksMachine()
    machine.start()
    machine.submit(1)
    machine.force_reconnect(0, is_delivered_late=True, oldest=False)
    machine.force_reconnect(1, is_delivered_late=True, oldest=False)
    for index in range(SIDECAR_COUNT):
        machine.run_tasks(index, 4)
    assert machine.starts == []
    machine.deliver_all()
    for index in range(SIDECAR_COUNT):
        machine.run_tasks(index, 4)
    assert len(machine.starts) == 1
    machine.teardown()
