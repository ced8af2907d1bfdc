"""Limits on what peers of a ZeroMQ socket make a process hold."""

import pytest
import zmq

from sardinestair.links.sockets import limit_messages, limit_peers

TIMEOUT_MS = 5000


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
