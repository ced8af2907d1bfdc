"""Limits on what peers of a ZeroMQ socket make a process hold."""

import socket
import struct

import msgspec
import pytest
import zmq

from sardinestair.links.limits import LinkLimits
from sardinestair.links.sockets import limit_messages, limit_peers

TIMEOUT_MS = 5000
# More than the kernel holds for both ends of a connection.
MAX_SENT_BYTES = 64 << 20
READY = b"\x05READY\x0bSocket-Type\x00\x00\x00\x06DEALER"
HANDSHAKE = (
    (b"\xff" + bytes(8) + b"\x7f\x03\x00" + b"NULL".ljust(20, b"\x00"))
    + bytes(32)
    + bytes([4, len(READY)])
    + READY
)


@pytest.fixture
def context():
    context = zmq.Context()
    yield context
    context.destroy(linger=0)


@pytest.fixture
def server(context):
    socket = context.socket(zmq.ROUTER)
    limit_peers(socket, max_message_bytes=1000, max_messages=10)
    socket.bind("tcp://127.0.0.1:*")
    socket.set(zmq.RCVTIMEO, TIMEOUT_MS)
    return socket


def connect(context, server):
    peer = context.socket(zmq.DEALER)
    peer.set(zmq.RCVTIMEO, TIMEOUT_MS)
    peer.connect(server.get(zmq.LAST_ENDPOINT))
    return peer


def test_message_over_the_limit_is_not_received_and_others_are(context, server):
    connect(context, server).send(b"x" * 100_000)
    connect(context, server).send(b"announcement")
    assert server.recv_multipart()[-1] == b"announcement"
    assert server.poll(100) == 0


def test_replies_to_a_peer_that_reads_none_do_not_hold_up_others(
    context, server
):
    silent = connect(context, server)
    silent.send(b"hello")
    route = server.recv_multipart()[0]
    for _ in range(5000):
        server.send_multipart([route, b"x" * 1000])
    other = connect(context, server)
    other.send(b"announcement")
    route, _ = server.recv_multipart()
    server.send_multipart([route, b"reply"])
    assert other.recv() == b"reply"


def test_frames_are_limited_only_if_the_memory_is_set(context):
    limit_messages(context, None)
    assert context.socket(zmq.ROUTER).get(zmq.MAXMSGSIZE) == -1
    limit_messages(context, 168)
    assert context.socket(zmq.ROUTER).get(zmq.MAXMSGSIZE) == 42 << 20
    limit_messages(context, 64)
    assert context.socket(zmq.ROUTER).get(zmq.MAXMSGSIZE) == 32 << 20


def test_size_of_frames_can_be_set(context):
    limit_messages(context, 168, LinkLimits(max_frame_mb=4))
    assert context.socket(zmq.ROUTER).get(zmq.MAXMSGSIZE) == 4 << 20


def connect_from(address, socket_):
    port = int(socket_.get(zmq.LAST_ENDPOINT).rpartition(b":")[2])
    return socket.create_connection(
        ("127.0.0.1", port), TIMEOUT_MS / 1000, (address, 0)
    )


def shake_hands(peer):
    """Does what ZMTP asks of a peer before it sends messages."""
    peer.sendall(HANDSHAKE)
    data = b""
    # A greeting of 64 bytes, and a command with its size in the second byte.
    while len(data) < 66 or len(data) < 66 + data[65]:
        received = peer.recv(1024)
        assert received
        data += received


def test_only_addresses_of_the_network_may_connect(context):
    limit_messages(context, None, LinkLimits(network="127.0.0.0/31"))
    server = context.socket(zmq.ROUTER)
    server.set(zmq.RCVTIMEO, TIMEOUT_MS)
    server.bind("tcp://127.0.0.1:*")
    for address in ("127.0.0.2", "127.1.0.1"):
        with connect_from(address, server) as stranger:
            assert stranger.recv(64) == b""
    connect(context, server).send(b"announcement")
    assert server.recv_multipart()[-1] == b"announcement"


@pytest.mark.parametrize(
    "data", [b"U" * 100_000, b"GET / HTTP/1.1\r\nHost: x\r\n\r\n" * 1000]
)
def test_data_of_another_protocol_ends_the_connection(context, data):
    """400 connections with 256 KB of it took a process to 297 MB."""
    limit_messages(context, None)
    server = context.socket(zmq.ROUTER)
    server.bind("tcp://127.0.0.1:*")
    stranger = connect_from("127.0.0.1", server)
    with stranger, pytest.raises(ConnectionError):
        for _ in range(MAX_SENT_BYTES // len(data)):
            stranger.sendall(data)
    assert server.poll(100) == 0
    connect(context, server).send(b"announcement")
    assert server.recv_multipart()[-1] == b"announcement"


@pytest.mark.parametrize("network", ["", "10.0.0.0/33", "10.0.0.1/8", "::/0"])
def test_network_that_is_none_is_refused(network):
    with pytest.raises(msgspec.ValidationError):
        msgspec.convert({"network": network}, LinkLimits)


def test_frames_that_are_not_handled_wait_at_their_sender(context, server):
    """Without a limit on their number, all of them would be held here."""
    data = b"x" * 900
    frame = b"\x02" + struct.pack(">Q", len(data)) + data
    with connect_from("127.0.0.1", server) as peer:
        shake_hands(peer)
        peer.settimeout(0.5)
        with pytest.raises(TimeoutError):
            peer.sendall(frame * (MAX_SENT_BYTES // len(frame)))
    assert server.recv_multipart()[-1] == data
