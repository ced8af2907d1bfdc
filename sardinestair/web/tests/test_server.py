"""The HTTP server: concurrency, listeners, limits and the end of a process."""

import asyncio
import http.client
import re
import resource
import socket
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from sardinestair.observability import EventLog
from sardinestair.web import HttpLimits, HttpServer, Response, WebApp

TIMEOUT_S = 20
CALLERS = 60
MAX_BODY_BYTES = 1024
# Of the server; the test's own ends of the connections are counted as well.
MAX_BYTES_PER_CONNECTION = 10_000
WAIT_REQUEST = b"GET /wait HTTP/1.1\r\nHost: x\r\n\r\n"
ECHO_HEAD = b"POST /echo HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n"


@pytest.fixture
def release():
    return threading.Event()


@pytest.fixture
def requests_started():
    return threading.Semaphore(0)


@pytest.fixture
def app(release, requests_started):
    async def wait(_request):
        requests_started.release()
        while not release.is_set():
            await asyncio.sleep(0.005)
        return Response(b"done")

    def block(_request):
        requests_started.release()
        assert release.wait(TIMEOUT_S)
        return Response(b"done")

    async def echo(request):
        return Response(request.body)

    async def fail(_request):
        raise RuntimeError("unexpected")

    rules = [
        ("/wait", ["GET"], wait),
        ("/block", ["GET"], block),
        ("/echo", ["POST"], echo),
        ("/fail", ["GET"], fail),
    ]
    return WebApp(rules, MAX_BODY_BYTES, EventLog("test"))


@pytest.fixture
def start(app):
    servers = []

    def start(**options):
        server = HttpServer("127.0.0.1", 0, app, **options)
        server.start()
        servers.append(server)
        return server

    yield start
    for server in servers:
        server.stop()


def fetch(port, path="/wait"):
    connection = http.client.HTTPConnection("127.0.0.1", port, TIMEOUT_S)
    try:
        connection.request("GET", path)
        return connection.getresponse().read()
    finally:
        connection.close()


def connect(server, data=b""):
    caller = socket.create_connection(("127.0.0.1", server.port), TIMEOUT_S)
    caller.sendall(data)
    return caller


def read_all(caller):
    data = b""
    while chunk := caller.recv(65536):
        data += chunk
    caller.close()
    return data


def read_response(caller):
    response = http.client.HTTPResponse(caller)
    response.begin()
    return response.status, response.read()


def test_requests_that_wait_need_no_threads(start, release, requests_started):
    server = start()
    before = threading.active_count()
    callers = [connect(server, WAIT_REQUEST) for _ in range(CALLERS)]
    for _ in callers:
        assert requests_started.acquire(timeout=TIMEOUT_S)
    assert threading.active_count() == before
    release.set()
    assert {read_response(c) for c in callers} == {(200, b"done")}
    for caller in callers:
        caller.close()


def test_blocking_handlers_run_concurrently(start, release, requests_started):
    server = start(max_blocking_requests=CALLERS)
    with ThreadPoolExecutor(CALLERS) as executor:
        replies = [
            executor.submit(fetch, server.port, "/block")
            for _ in range(CALLERS)
        ]
        for _ in range(CALLERS):
            assert requests_started.acquire(timeout=TIMEOUT_S)
        release.set()
        assert {reply.result() for reply in replies} == {b"done"}


def test_blocking_handler_does_not_hold_up_others(
    start, release, requests_started
):
    server = start(max_blocking_requests=1)
    blocked = connect(server, WAIT_REQUEST.replace(b"/wait", b"/block"))
    assert requests_started.acquire(timeout=TIMEOUT_S)
    with connect(server, ECHO_HEAD % 2 + b"hi") as other:
        assert read_response(other) == (200, b"hi")
    release.set()
    assert read_response(blocked) == (200, b"done")
    blocked.close()


def test_backlog_from_before_the_start_is_served_concurrently(
    start, release, requests_started
):
    """After an outage, all connections of the backlog arrive at once."""
    listener = socket.create_server(("127.0.0.1", 0), backlog=CALLERS)
    address = listener.getsockname()
    callers = [
        socket.create_connection(address, TIMEOUT_S) for _ in range(CALLERS)
    ]
    for caller in callers:
        caller.sendall(WAIT_REQUEST)
    start(listener=listener)
    for _ in callers:
        assert requests_started.acquire(timeout=TIMEOUT_S)
    release.set()
    for caller in callers:
        assert caller.recv(12) == b"HTTP/1.1 200"
        caller.close()


def test_server_uses_an_existing_listener_with_its_backlog(start, release):
    release.set()
    listener = socket.create_server(("127.0.0.1", 0))
    port = listener.getsockname()[1]
    with socket.create_connection(("127.0.0.1", port), TIMEOUT_S) as caller:
        caller.sendall(WAIT_REQUEST)
        server = start(listener=listener)
        assert server.port == port
        assert caller.recv(12) == b"HTTP/1.1 200"


def await_half_closed(server):
    """Waits until the server knows that its only caller sends no more."""
    deadline_s = time.monotonic() + TIMEOUT_S
    # The server may not have accepted the connection yet.
    while not any(c.is_half_closed for c in list(server.connections)):
        assert time.monotonic() < deadline_s
        time.sleep(0.005)


def test_queued_requests_are_answered_in_order(start, release):
    """The last answer is made when the end of the stream is known."""
    server = start()
    bodies = [b"<%d>" % number for number in range(40)]
    data = b"".join(ECHO_HEAD % len(body) + body for body in bodies)
    caller = connect(server, data + WAIT_REQUEST)
    caller.shutdown(socket.SHUT_WR)
    await_half_closed(server)
    release.set()
    received = read_all(caller)
    assert re.findall(rb"<\d+>", received) == bodies
    assert received.count(b"HTTP/1.1 200 ") == len(bodies) + 1
    assert received.count(b"Connection: close") == 1
    last = received.rindex(b"HTTP/1.1 200 ")
    assert b"Connection: close" in received[last:]
    assert received.endswith(b"done")


def test_stream_that_ends_after_the_answers_ends_the_connection(start):
    """Too late to announce it: HTTP/1.1 lets a server close at any time."""
    server = start()
    bodies = [b"<%d>" % number for number in range(40)]
    data = b"".join(ECHO_HEAD % len(body) + body for body in bodies)
    caller = connect(server, data)
    received = b""
    while received.count(b"<") < len(bodies) or received[-1:] != b">":
        received += caller.recv(65536)
    caller.shutdown(socket.SHUT_WR)
    received += read_all(caller)
    assert re.findall(rb"<\d+>", received) == bodies
    assert received.count(b"HTTP/1.1 200 ") == len(bodies)
    assert b"Connection: close" not in received


def test_request_in_many_pieces_is_answered(start):
    server = start()
    with connect(server) as caller:
        for byte in ECHO_HEAD % 5 + b"hello":
            caller.sendall(bytes([byte]))
        assert read_response(caller) == (200, b"hello")


def test_chunked_body_is_answered(start):
    head = b"POST /echo HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n"
    body = b"\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
    with connect(start(), head + body) as caller:
        assert read_response(caller) == (200, b"abcde")


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"nonsense\r\n\r\n", b"400"),
        (ECHO_HEAD % (MAX_BODY_BYTES + 1) + b"x" * 600, b"413"),
        (
            b"POST /echo HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked"
            b"\r\n\r\n" + b"200\r\n" + b"x" * 512 + b"\r\n" + b"400\r\n",
            b"200 or 413",
        ),
        (b"GET /" + b"x" * 40_000 + b" HTTP/1.1\r\nHost: x\r\n\r\n", b"431"),
        (b"GET /nothing HTTP/1.0\r\n\r\n", b"404"),
        (b"PUT /echo HTTP/1.0\r\n\r\n", b"405"),
        (b"GET /fail HTTP/1.0\r\n\r\n", b"500"),
        (b"GET //[ HTTP/1.0\r\n\r\n", b"404"),
    ],
)
def test_bad_request_is_refused_and_the_server_goes_on(start, data, status):
    server = start()
    with connect(server, data) as caller:
        if status == b"200 or 413":
            caller.sendall(b"x" * 1024)
            status = b"413"
        assert read_all(caller).split()[1] == status
    with connect(server, ECHO_HEAD % 2 + b"hi") as other:
        assert read_response(other) == (200, b"hi")


# Guards against a refusal that is lost: closing a connection with unread data
# resets it, and the caller never reads the response.
def test_refusal_arrives_although_the_caller_goes_on_sending(start):
    server = start()
    with connect(server, ECHO_HEAD % (1 << 30)) as caller:
        for _ in range(200):
            caller.sendall(b"x" * 10_000)
        assert read_response(caller)[0] == 413


def test_incomplete_request_gets_408_and_its_connection_is_closed(start):
    server = start(limits=HttpLimits(request_timeout_s=0.1))
    for data in (b"GET /wai", ECHO_HEAD % 10 + b"half"):
        assert read_all(connect(server, data)).startswith(b"HTTP/1.1 408 ")


def test_time_limit_of_a_request_does_not_end_a_response(
    start, release, requests_started
):
    server = start(limits=HttpLimits(request_timeout_s=0.1, idle_timeout_s=0.1))
    caller = connect(server, WAIT_REQUEST)
    assert requests_started.acquire(timeout=TIMEOUT_S)
    time.sleep(1.5)
    release.set()
    assert read_response(caller) == (200, b"done")
    assert caller.recv(1) == b""  # Closed once it has been idle.
    caller.close()


def check_longest_idle_gives_way(server):
    callers = []
    for _ in range(3):
        # One after the other: responses to several could come in any order.
        callers.append(connect(server, ECHO_HEAD % 1 + b"x"))
        assert read_response(callers[-1]) == (200, b"x")
    callers[0].sendall(ECHO_HEAD % 1 + b"y")
    assert read_response(callers[0]) == (200, b"y")
    with connect(server, ECHO_HEAD % 1 + b"z") as new:
        assert read_response(new) == (200, b"z")
    assert callers[1].recv(1) == b""
    for caller in callers:
        caller.close()


def test_longest_idle_connection_gives_way_to_a_new_one(start):
    check_longest_idle_gives_way(start(limits=HttpLimits(max_connections=3)))


# Guards against eviction of a connection that was just used: the loop's clock
# has a resolution of a millisecond, within which several responses are written.
def test_longest_idle_connection_is_known_within_a_tick_of_the_clock(start):
    server = start(limits=HttpLimits(max_connections=3))
    server.now_s = lambda: 0.0
    check_longest_idle_gives_way(server)


def test_peer_that_reads_nothing_does_not_hold_up_others(app, start):
    large = b"x" * (8 << 20)

    async def send_much(_request):
        return Response(large)

    app.routes.update(
        WebApp([("/large", ["GET"], send_much)], 1, app.log).routes
    )
    server = start(limits=HttpLimits(response_timeout_s=0.1))
    idle_reader = connect(server, b"GET /large HTTP/1.1\r\nHost: x\r\n\r\n")
    with connect(server, ECHO_HEAD % 2 + b"hi") as other:
        assert read_response(other) == (200, b"hi")
    deadline_s = time.monotonic() + TIMEOUT_S
    while len(server.connections) and time.monotonic() < deadline_s:
        time.sleep(0.01)
    assert not server.connections
    idle_reader.close()


def test_answer_is_written_while_the_server_stops(
    start, release, requests_started
):
    server = start()
    caller = connect(server, WAIT_REQUEST)
    assert requests_started.acquire(timeout=TIMEOUT_S)
    with ThreadPoolExecutor(1) as executor:
        stopped = executor.submit(server.stop)
        deadline_s = time.monotonic() + TIMEOUT_S
        while not server.app.is_closing and time.monotonic() < deadline_s:
            time.sleep(0.001)
        release.set()
        data = read_all(caller)
        stopped.result(TIMEOUT_S)
    assert data.startswith(b"HTTP/1.1 200 ")
    assert b"\r\nConnection: close\r\n" in data
    assert data.endswith(b"done")


def test_head_has_the_headers_of_get_and_no_body(start, release):
    release.set()
    with connect(start(), b"HEAD /wait HTTP/1.0\r\n\r\n") as caller:
        data = read_all(caller)
    assert b"Content-Length: 4" in data
    assert data.endswith(b"\r\n\r\n")


def resident_bytes():
    with open("/proc/self/statm", encoding="utf-8") as stream:
        return int(stream.read().split()[1]) * resource.getpagesize()


def wait_for_connections(server, count):
    deadline_s = time.monotonic() + TIMEOUT_S
    while len(server.connections) < count:
        assert time.monotonic() < deadline_s
        time.sleep(0.01)


# Guards against open connections that take the threads of other callers: with
# 400 of them, some callers got no answer within 8 s.
@pytest.mark.parametrize(
    "data",
    [b"", b"POST /echo HTTP/1.1\r\nHo", ECHO_HEAD % 10 + b"half"],
    ids=["nothing", "half a header", "half a body"],
)
def test_silent_connections_leave_others_undisturbed(start, data):
    server = start()
    limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    count = min(1000, (limit - 200) // 2)
    before_bytes = resident_bytes()
    silent = [connect(server, data) for _ in range(count)]
    wait_for_connections(server, count)
    threads = threading.active_count()
    added_bytes = resident_bytes() - before_bytes
    assert added_bytes <= count * MAX_BYTES_PER_CONNECTION
    for _ in range(20):
        with connect(server, ECHO_HEAD % 2 + b"hi") as caller:
            caller.settimeout(TIMEOUT_S)
            assert read_response(caller) == (200, b"hi")
    assert threading.active_count() == threads
    for caller in silent:
        caller.close()
