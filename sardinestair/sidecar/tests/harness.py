"""An entry of a test that exchanges frames with a sidecar directly."""

import msgspec

from sardinestair.clock import ManualClock
from sardinestair.ids import Incarnation, JobId
from sardinestair.limits.resources import Resources
from sardinestair.links.timing import LinkTiming
from sardinestair.messages import (
    EntryFrame,
    Outcome,
    Resume,
    SidecarFrame,
    Start,
    TaskRef,
)
from sardinestair.observability import Metrics
from sardinestair.sidecar.link_server import LinkServer
from sardinestair.tests.fakes import FakeContext, FakeUpstream
from sardinestair.upstreams import Announcement

TIMING = LinkTiming(0.15, 0.45, lost_s=1.3, session_s=0.75, lease_s=0.45)
ENTRY = Incarnation(b"e" * 16)
SIDECAR = Incarnation(b"s" * 16)
NEED = Resources(1600, 64, 0)
ANNOUNCEMENT = Announcement(
    "quotes", "http://127.0.0.1:1", 8, ttl_s=300,
    capacity=Resources(16000, 65536, 0),
)  # fmt: skip


def ref(index=0):
    return TaskRef(JobId(b"j" * 16), index, 1)


class FakeLeasedUpstream(FakeUpstream):
    is_leased = True

    def __init__(self):
        super().__init__([])
        self.stopped = []
        self.limits_s = []

    def stop(self, ref, reason=b"", within_s=None):
        self.stopped.append((ref, reason))
        self.limits_s.append(within_s)

    def close(self):
        pass


class FakeEntry:
    """An entry that exchanges frames with a sidecar directly."""

    def __init__(self):
        self.clock = ManualClock()
        self.clock.advance(100.0)
        self.upstream = FakeLeasedUpstream()
        self.server = LinkServer(
            "tcp://127.0.0.1:*", "z", SIDECAR, self.clock, Metrics(),
            FakeContext(), TIMING, lambda _announcement, _lost: self.upstream,
        )  # fmt: skip
        self.server.announce(ANNOUNCEMENT)
        self.sequence = 0
        self.echo_s = 0.0
        self.send(Resume(SIDECAR, []))
        self.iterate()

    def send(self, *messages):
        self.sequence += 1
        frame = EntryFrame(ENTRY, 1, self.sequence, list(messages), self.echo_s)
        self.server._handle_frame(b"r", frame)

    def iterate(self, receives=True):
        """Runs one iteration of the sidecar's loop; returns its messages."""
        self.server._tick()
        self.server._allocate_credits()
        self.server._flush()
        messages = []
        for _, data in self.server.socket.take_sent():
            frame = msgspec.msgpack.decode(data, type=SidecarFrame)
            messages += frame.messages
            if receives:
                self.echo_s = frame.sent_s
        return messages

    def start(self, index=0):
        self.send(Start(ref(index), 30.0, b"{}", NEED))


def refused(messages):
    """Returns the bodies of outcomes, for tasks that did not run the reason."""
    return [m.body for m in messages if isinstance(m, Outcome)]
