"""The relay forwards, delays, drops and resets as each fault requires."""

import socket
from concurrent.futures import ThreadPoolExecutor

import pytest

from faults.relay import Direction, Relay

WAIT_S = 20
SHORT_S = 0.1


@pytest.fixture
def target():
    with socket.create_server(("127.0.0.1", 0)) as listener:
        listener.settimeout(WAIT_S)
        yield listener


@pytest.fixture
def relay(target):
    relay = Relay(target.getsockname()[1])
    yield relay
    relay.close()


@pytest.fixture
def ends(relay, target):
    """Returns the two ends of a connection through the relay."""
    client = socket.create_connection(("127.0.0.1", relay.port), WAIT_S)
    server, _ = target.accept()
    server.settimeout(WAIT_S)
    with client, server:
        for source, sink in ((client, server), (server, client)):
            # Once a byte has arrived, the relay forwards in this direction.
            source.sendall(b"x")
            assert sink.recv(1) == b"x"
        yield client, server


def test_bytes_pass_both_ways(ends):
    client, server = ends
    client.sendall(b"there")
    assert server.recv(5) == b"there"
    server.sendall(b"back")
    assert client.recv(4) == b"back"


def test_block_holds_back_one_direction_until_it_heals(relay, ends):
    client, server = ends
    relay.block(Direction.TO_TARGET)
    client.sendall(b"held")
    server.sendall(b"free")
    assert client.recv(4) == b"free"
    server.settimeout(SHORT_S)
    with pytest.raises(TimeoutError):
        server.recv(4)
    server.settimeout(WAIT_S)
    relay.heal()
    assert server.recv(4) == b"held"


def test_silent_connection_stays_open_and_new_ones_work(relay, ends, target):
    client, server = ends
    relay.silence()
    client.sendall(b"lost")
    server.settimeout(SHORT_S)
    with pytest.raises(TimeoutError):
        server.recv(4)
    with socket.create_connection(("127.0.0.1", relay.port), WAIT_S) as new:
        other, _ = target.accept()
        with other:
            new.sendall(b"heard")
            assert other.recv(5) == b"heard"


def test_reset_ends_open_connections(relay, ends):
    with ThreadPoolExecutor(2) as readers:
        read = [readers.submit(end.recv, 1) for end in ends]
        relay.reset()
        for end in read:
            try:
                assert end.result(WAIT_S) == b""
            except ConnectionError:
                pass
