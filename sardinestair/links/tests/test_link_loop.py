"""The loop that serves all links, over sockets of one process."""

import select
import threading
from collections import deque

import msgspec
import pytest
import zmq

from sardinestair.clock import ManualClock
from sardinestair.ids import Incarnation
from sardinestair.links.entry_link import EntryLink, LinkState
from sardinestair.links.link_loop import (
    IDLE_TICK_S,
    RECONNECT_DELAY_S,
    LinkLoop,
)
from sardinestair.links.timing import LinkTiming
from sardinestair.messages import (
    Announce,
    Demand,
    EntryFrame,
    Resume,
    Resumed,
    SidecarFrame,
)
from sardinestair.observability import LinkUsage

LINKS = 5
RECEIVE_TIMEOUT_MS = 20_000
POLL_TIMEOUT_S = 0.01
MAX_ITERATIONS = 1000
TIMING = LinkTiming()


class Owner:
    def __init__(self):
        self.lock = threading.RLock()
        self.link_usage = LinkUsage()
        self.ready_links = deque()
        self.is_closed = False
        self.epochs = 0
        self.placements = 0

    def next_epoch(self):
        self.epochs += 1
        return self.epochs

    def on_link_ready(self, link):
        self.ready_links.append(link)

    def on_link_changed(self, _link):
        pass

    def unwanted_tasks(self, _link):
        return []

    def backlog_for(self, _link):
        return []

    def demand_for(self, _link):
        return Demand(0, 0.0)

    def place_waiting(self):
        self.placements += 1


class Sidecar:
    """Answers the frames of one link."""

    def __init__(self, context, number):
        self.incarnation = Incarnation(number.to_bytes(16, "big"))
        self.endpoint = f"inproc://sidecar{number}"
        self.socket = context.socket(zmq.ROUTER)
        self.socket.setsockopt(zmq.RCVTIMEO, RECEIVE_TIMEOUT_MS)
        self.socket.bind(self.endpoint)

    def receive(self):
        self.route, data = self.socket.recv_multipart()
        return msgspec.msgpack.decode(data, type=EntryFrame)

    def send(self, epoch, sequence, *messages):
        frame = SidecarFrame(self.incarnation, epoch, sequence, list(messages))
        data = msgspec.msgpack.encode(frame)
        self.socket.send_multipart([self.route, data])

    def accept(self):
        frame = self.receive()
        assert isinstance(frame.messages[0], Resume)
        self.send(frame.epoch, 1, Resumed(True, [], []))
        return frame.epoch


class EpollHandle:
    """Polls the descriptors that the loop watches, for a short time."""

    def __init__(self):
        self.poller = select.epoll()
        self.is_awake = False

    def wake(self):
        self.is_awake = True

    def add(self, descriptor):
        self.poller.register(descriptor, select.EPOLLIN)

    def remove(self, descriptor):
        self.poller.unregister(descriptor)

    def take_readable(self):
        timeout_s = 0.0 if self.is_awake else POLL_TIMEOUT_S
        self.is_awake = False
        return {descriptor for descriptor, _ in self.poller.poll(timeout_s)}


class System:
    def __init__(self, context):
        self.clock = ManualClock()
        self.clock.advance(100.0)
        self.owner = Owner()
        self.loop = LinkLoop(self.owner, self.clock, TIMING)
        self.handle = EpollHandle()
        self.loop.start(self.handle)
        self.sidecars = [Sidecar(context, number) for number in range(LINKS)]
        self.links = [self.add_link(s, context) for s in self.sidecars]

    def add_link(self, sidecar, context):
        announce = Announce(
            sidecar.incarnation, sidecar.endpoint, "z", "q", 8, False, 0
        )
        link = EntryLink(
            self.owner, Incarnation(b"e" * 16), announce, TIMING, self.clock,
            context,
        )  # fmt: skip
        self.loop.add(link)
        return link

    def run_until(self, condition):
        for _ in range(MAX_ITERATIONS):
            if condition():
                return
            self.loop.run_once()
        raise AssertionError("the condition was not met")

    def open(self):
        self.run_until(lambda: len(self.loop.connections) == LINKS)
        self.run_until(lambda: not self.owner.ready_links)
        epochs = [sidecar.accept() for sidecar in self.sidecars]
        self.run_until(self.is_up)
        return epochs

    def is_up(self):
        return all(link.state is LinkState.UP for link in self.links)


@pytest.fixture
def system():
    context = zmq.Context()
    system = System(context)
    yield system
    system.loop.close()
    system.handle.poller.close()
    context.destroy(linger=0)


def test_one_loop_opens_all_links(system):
    system.open()
    assert system.owner.epochs == LINKS


def test_link_is_opened_anew_after_a_gap(system):
    epochs = system.open()
    system.sidecars[0].send(epochs[0], 3)
    link = system.links[0]
    system.run_until(lambda: system.loop.connections[link].socket is None)
    system.clock.advance(RECONNECT_DELAY_S + IDLE_TICK_S)
    system.run_until(lambda: link.epoch > max(epochs))
    assert link.state is LinkState.CONNECTING


def test_silent_link_is_opened_anew(system):
    epochs = system.open()
    system.clock.advance(TIMING.silence_s + TIMING.heartbeat_s)
    system.run_until(
        lambda: all(c.socket is None for c in system.loop.connections.values())
    )
    system.clock.advance(RECONNECT_DELAY_S + IDLE_TICK_S)
    system.run_until(lambda: min(link.epoch for link in system.links) > LINKS)
    assert max(epochs) == LINKS


def test_closed_link_is_dropped_and_logged(system, caplog):
    caplog.set_level("INFO", logger="sardinestair")
    system.open()
    system.links[0].close()
    system.run_until(lambda: system.links[0] not in system.loop.connections)
    assert len(system.loop.connections) == LINKS - 1
    assert "link_closed" in caplog.text


# Guards against a busy loop: sending consumed the signal of a message, and the
# link was served over and over without receiving it.
def test_message_whose_signal_was_consumed_is_received(system):
    epochs = system.open()
    link = system.links[0]
    connection = system.loop.connections[link]
    system.sidecars[0].send(epochs[0], 2)
    assert connection.socket.poll(RECEIVE_TIMEOUT_MS)
    link.cancel([])  # So that a frame is sent.
    system.loop._serve({link})
    assert system.loop.unread == {connection.descriptor}
    assert not system.owner.ready_links
    assert system.handle.poller.poll(0.0) == []
    system.loop.run_once()
    assert link.fence.sequence == 2
    assert not system.loop.unread


# Guards against a peer that ends its entry: a frame that could not be decoded
# raised an error that nothing handled.
@pytest.mark.parametrize(
    "data",
    [b"", b"\xc1", b"\x95", b"\x91" * 100_000, b"\xa2\xff\xfe", b"{}" * 9],
)
def test_link_with_an_invalid_frame_is_opened_anew(system, data):
    epochs = system.open()
    sidecar, link = system.sidecars[0], system.links[0]
    sidecar.socket.send_multipart([sidecar.route, data])
    system.run_until(lambda: system.loop.connections[link].socket is None)
    system.clock.advance(RECONNECT_DELAY_S + IDLE_TICK_S)
    system.run_until(lambda: link.epoch > max(epochs))
