"""Announcements to one entry: intervals, replies, reconnection and the end."""

import msgspec
import pytest
import zmq

from sardinestair.clock import ManualClock
from sardinestair.ids import Incarnation
from sardinestair.membership.announcer import MAX_MISSED_REPLIES, Announcer
from sardinestair.messages import Announce, AnnounceReply
from sardinestair.tests.fakes import FakeContext, FakeSocket

SIDECAR = Incarnation(b"s" * 16)
INTERVAL_S = 0.5
REPLY = msgspec.msgpack.encode(
    AnnounceReply(Incarnation(b"e" * 16), ["127.0.0.1:1"], 0, b"")
)


class ClosableSocket(FakeSocket):
    """Raises an error for each use after `close`, as the library does."""

    def __init__(self):
        super().__init__()
        self.is_closed = False

    def close(self, linger=0):
        self.is_closed = True

    def get(self, option):
        if self.is_closed:
            raise zmq.ZMQError(zmq.ENOTSOCK)
        return super().get(option)


class Context(FakeContext):
    def __init__(self):
        self.sockets = []

    def socket(self, _kind):
        self.sockets.append(ClosableSocket())
        return self.sockets[-1]


class Harness:
    def __init__(self):
        self.clock = ManualClock()
        self.clock.advance(100.0)
        self.context = Context()
        self.replies = []
        self.on_reply = self.replies.append
        self.announcer = Announcer(
            "127.0.0.1:1", self.describe, AnnounceReply,
            lambda reply: self.on_reply(reply), INTERVAL_S, self.context,
            self.clock,
        )  # fmt: skip

    def describe(self):
        return Announce(SIDECAR, "tcp://127.0.0.1:2", "z", "q", 8, False, 0)

    @property
    def socket(self):
        return self.context.sockets[-1]

    def sent(self):
        return [
            msgspec.msgpack.decode(data, type=Announce)
            for data in self.socket.take_sent()
        ]


@pytest.fixture
def harness():
    return Harness()


def test_announcements_are_sent_at_their_interval(harness):
    assert harness.announcer.run_once() == INTERVAL_S
    assert len(harness.sent()) == 1
    harness.clock.advance(INTERVAL_S / 2)
    assert harness.announcer.run_once() == INTERVAL_S / 2
    assert harness.sent() == []
    harness.clock.advance(INTERVAL_S / 2)
    harness.announcer.run_once()
    assert len(harness.sent()) == 1


def test_change_is_announced_at_once(harness):
    harness.announcer.run_once()
    harness.sent()
    harness.announcer.notify()
    harness.announcer.run_once()
    assert len(harness.sent()) == 1


def test_connection_without_replies_is_replaced(harness):
    for _ in range(MAX_MISSED_REPLIES + 1):
        harness.announcer.run_once()
        harness.clock.advance(INTERVAL_S)
    assert len(harness.context.sockets) == 2
    assert harness.context.sockets[0].is_closed


def test_connection_with_replies_is_kept(harness):
    for _ in range(3 * MAX_MISSED_REPLIES):
        harness.announcer.run_once()
        harness.socket.inbox.append(REPLY)
        harness.clock.advance(INTERVAL_S)
    assert len(harness.context.sockets) == 1
    assert len(harness.replies) == 3 * MAX_MISSED_REPLIES - 1


# Guards against a sidecar that ends itself: a reply named entries to use in
# place of the one that sent it, and its closed socket was read on.
def test_reply_may_stop_its_announcer(harness):
    harness.announcer.run_once()
    harness.on_reply = lambda _reply: harness.announcer.stop()
    harness.socket.inbox.extend([REPLY, REPLY])
    harness.announcer.run_once()
    assert harness.socket.is_closed
    assert [announce.leaving for announce in harness.sent()] == [False, True]


@pytest.mark.parametrize("data", [b"", b"\xc1", b"\x91" * 100_000, b"\x93"])
def test_reply_that_can_not_be_decoded_is_dropped(harness, data):
    harness.announcer.run_once()
    harness.socket.inbox.extend([data, REPLY])
    harness.announcer.run_once()
    assert len(harness.replies) == 1
