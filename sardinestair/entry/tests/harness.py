"""An entry with two sidecars whose messages tests write themselves."""

import msgspec

from sardinestair.clock import ManualClock
from sardinestair.entry.dispatcher import Dispatcher
from sardinestair.ids import Incarnation, JobId, new_incarnation
from sardinestair.jobs.request import JobRequest, ParsedRequest, TaskRequest
from sardinestair.limits.resources import Resources
from sardinestair.links.entry_link import LinkState, handle_message
from sardinestair.links.timing import LinkTiming
from sardinestair.messages import Announce, Grant, Outcome
from sardinestair.observability import Metrics
from sardinestair.settings import parse_tree
from sardinestair.tests.fakes import FakeContext

TIMING = LinkTiming(0.15, 0.45, lost_s=1.3, session_s=0.75, lease_s=0.45)
A, B = (Incarnation(bytes([n]) * 16) for n in (1, 2))
JOB = JobId(b"j" * 16)
CAPACITY = Resources(16000, 65536, 0)


def make_announce(sidecar, capacity=CAPACITY):
    return Announce(
        sidecar, "tcp://127.0.0.1:1", "z", "quotes", capacity.cpu_millis,
        False, 0, capacity, True,
    )  # fmt: skip


class Entry:
    def __init__(self, max_attempts, repeat_interrupted=False, clock=None):
        self.clock = clock or ManualClock()
        self.dispatcher = Dispatcher(
            new_incarnation(), "z", self.clock, Metrics(), FakeContext(), TIMING
        )
        limits = (
            f"set: {{max_attempts: {max_attempts}, "
            f"repeat_interrupted: {str(repeat_interrupted).lower()}}}"
        )
        tree = parse_tree(limits + "\nservices: {quotes: {}}").ok
        self.dispatcher.configure(tree)
        self.links = {}
        for sidecar in (A, B):
            self.connect_sidecar(sidecar)

    def connect_sidecar(self, sidecar):
        link = self.links[sidecar] = self.dispatcher.handle_announcement(
            make_announce(sidecar)
        )
        link.state = LinkState.UP
        handle_message(Grant(16000), link)

    def submit(self, tasks=1, best_effort=False):
        return self.dispatcher.submit(self.parsed(tasks, best_effort))

    def parsed(self, tasks=1, best_effort=False):
        request = JobRequest(
            "quotes", "team", [TaskRequest(msgspec.Raw(b"{}"))] * tasks,
            deadline_s=10.0, need=Resources(1600, 64, 0),
            best_effort=best_effort,
        )  # fmt: skip
        return ParsedRequest(JOB, request, b"d")

    def in_flight(self):
        """Returns the sidecar and run of each outstanding task, by index."""
        return {
            ref.index: (sidecar, ref)
            for sidecar, link in self.links.items()
            for ref in link.outstanding.values()
        }

    def report_outcome(self, index, state, body=b""):
        sidecar, ref = self.in_flight()[index]
        self.receive(sidecar, Outcome(ref, state, body, False, 0.1))
        return sidecar

    def receive(self, sidecar, message):
        with self.dispatcher.lock:
            handle_message(message, self.links[sidecar])
            self.dispatcher.place_waiting()
