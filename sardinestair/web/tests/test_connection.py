"""Disconnects of callers are noticed, and of the right caller only."""

import asyncio
import socket
import threading
import time

import pytest

from sardinestair.observability import EventLog
from sardinestair.web import HttpServer, Response, WebApp
from sardinestair.web import server as server_module

TIMEOUT_S = 20
REQUEST = b"GET /%d HTTP/1.1\r\nHost: x\r\n\r\n"
# Together more than an entry reads before it answers the first one.
REQUESTS_AHEAD = 2000
# Closing a socket with this option resets its connection.
RESET = b"\1\0\0\0\0\0\0\0"


class Handler:
    """Answers once the test allows it; records disconnects by request."""

    def __init__(self):
        self.connections = {}
        self.left = []
        self.release = threading.Event()

    async def handle(self, request, number):
        connection = request.connection
        connection.on_disconnect(lambda: self.left.append(number))
        self.connections[number] = connection
        while not self.release.is_set():
            await asyncio.sleep(0.005)
        return Response(number.encode())


@pytest.fixture
def handler():
    return Handler()


@pytest.fixture
def server(handler):
    rules = [("/<number>", ["GET"], handler.handle)]
    server = HttpServer("127.0.0.1", 0, WebApp(rules, 1, EventLog("test")))
    server.start()
    yield server
    handler.release.set()
    server.stop()


@pytest.fixture
def call(server, handler):
    """Sends a request; returns the caller's socket once it is handled."""

    def call(number):
        caller = socket.create_connection(("127.0.0.1", server.port), TIMEOUT_S)
        caller.sendall(REQUEST % number)
        wait_until(lambda: str(number) in handler.connections)
        return caller

    return call


def wait_until(condition):
    deadline_s = time.monotonic() + TIMEOUT_S
    while not condition():
        assert time.monotonic() < deadline_s
        time.sleep(0.005)


def settle(server):
    """Lets the loop handle what has arrived."""
    for _ in range(5):
        server.event_loop.call(lambda: None)
        time.sleep(0.005)


def test_open_connection_is_not_reported(server, handler, call):
    caller = call(1)
    settle(server)
    assert handler.left == []
    assert not server.event_loop.call(handler.connections["1"].has_left)
    caller.close()


@pytest.mark.parametrize("is_reset", [False, True])
def test_disconnect_is_reported_once(server, handler, call, is_reset):
    caller = call(1)
    if is_reset:
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    caller.close()
    wait_until(lambda: handler.left)
    settle(server)
    assert handler.left == ["1"]


# Guards against two runs of a task at the same time (rule TWICE): the entry
# didn't notice the reset of a connection with many requests sent ahead.
@pytest.mark.parametrize("is_reset", [True, False])
def test_disconnect_behind_requests_sent_ahead_is_reported(
    server, handler, call, is_reset, monkeypatch
):
    monkeypatch.setattr(server_module, "TIME_CHECK_INTERVAL_S", 0.05)
    caller, other = call(1), call(2)
    for connection in (caller, other):
        connection.sendall(REQUEST % 3 * REQUESTS_AHEAD)
    wait_until(
        lambda: all(c.is_reading_paused for c in handler.connections.values())
    )
    assert handler.left == []
    if is_reset:
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    caller.close()
    wait_until(lambda: handler.left)
    settle(server)
    assert handler.left == ["1"]
    other.close()


def test_only_the_caller_that_left_is_reported(server, handler, call):
    """A later caller may get the descriptor of an earlier one."""
    callers = [call(number) for number in range(10)]
    callers[3].close()
    wait_until(lambda: handler.left)
    later = call(11)
    settle(server)
    assert handler.left == ["3"]
    for caller in (*callers, later):
        caller.close()


def test_caller_that_is_not_watched_is_not_reported(server, handler, call):
    caller = call(1)
    connection = handler.connections["1"]
    server.event_loop.call(lambda: connection.on_disconnect(None))
    caller.close()
    wait_until(lambda: server.event_loop.call(connection.has_left))
    settle(server)
    assert handler.left == []


def test_connections_may_change_while_others_wait(server, handler, call):
    caller = call(0)
    for number in range(1, 200):
        call(number).close()
    wait_until(lambda: len(handler.left) == 199)
    assert "0" not in handler.left
    caller.close()
    wait_until(lambda: "0" in handler.left)


def test_disconnect_before_the_watch_is_reported(server, handler, call):
    caller = call(1)
    connection = handler.connections["1"]
    server.event_loop.call(lambda: connection.on_disconnect(None))
    caller.close()
    wait_until(lambda: server.event_loop.call(connection.has_left))
    settle(server)
    left = []
    server.event_loop.call(
        lambda: connection.on_disconnect(lambda: left.append(True))
    )
    assert left == [True]


# Guards against work for a caller whose disconnect has arrived but has not been
# read yet, as on an entry that is behind.
def test_disconnect_is_visible_before_the_loop_has_read_it(
    server, handler, call
):
    caller = call(1)
    connection = handler.connections["1"]

    def close_and_check():
        caller.close()
        return connection.state.value, connection.has_left()

    assert server.event_loop.call(close_and_check) == ("responding", True)
