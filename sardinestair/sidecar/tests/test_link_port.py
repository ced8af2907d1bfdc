"""Peers that connect to a sidecar's link port and send no frames of a link."""

import socket
import struct

import pytest
import zmq

from sardinestair.clock import ManualClock
from sardinestair.ids import new_incarnation
from sardinestair.links.limits import LinkLimits
from sardinestair.links.sockets import limit_messages
from sardinestair.links.tests.test_sockets import MAX_SENT_BYTES, shake_hands
from sardinestair.observability import Metrics
from sardinestair.sidecar.link_server import LinkServer

TIMEOUT_S = 5.0


@pytest.fixture
def context():
    context = zmq.Context()
    limit_messages(context, 168, LinkLimits(max_frame_mb=1))
    yield context
    context.destroy(linger=0)


@pytest.fixture
def server(context):
    server = LinkServer(
        "tcp://127.0.0.1:*",
        "z",
        new_incarnation(),
        ManualClock(),
        Metrics(),
        context,
    )
    yield server
    server.close()


@pytest.fixture
def peer(server):
    port = int(server.endpoint.rpartition(":")[2])
    with socket.create_connection(("127.0.0.1", port), TIMEOUT_S) as peer:
        shake_hands(peer)
        yield peer


def frame(size, data):
    return b"\x02" + struct.pack(">Q", size) + data


def test_frames_that_come_faster_than_they_are_handled_wait_outside(peer):
    """Their number had no limit."""
    peer.settimeout(0.5)
    small = frame(900, b"x" * 900)
    with pytest.raises(TimeoutError):
        peer.sendall(small * (MAX_SENT_BYTES // len(small)))


def test_frame_over_the_limit_ends_the_connection(peer):
    with pytest.raises(ConnectionError):
        peer.sendall(frame(1 << 40, b"x" * MAX_SENT_BYTES))


def test_frames_of_no_link_have_no_effect(server, peer):
    peer.sendall(frame(300, b"x" * 300) * 200)
    for _ in range(200):
        if server.link_usage.frames_received == 200:
            break
        server.socket.poll(50)
        server.run_once()
    assert server.link_usage.frames_received == 200
    assert not server.sessions.by_entry
