"""Clients that misuse a server, over sockets: bounded memory, jobs go on.

Each crowd is small, and the budget is small accordingly.
"""

import asyncio
import gc
import socket
import struct
import threading
import time

import pytest

from sardinestair.observability import EventLog
from sardinestair.web import (
    HttpLimits,
    HttpServer,
    MemoryAccount,
    Response,
    ServerRole,
    WebApp,
    monitoring_rules,
)
from sardinestair.web.reader import RequestReader

TIMEOUT_S = 10
CROWD = 40
MAX_BODY_BYTES = 64 << 10
BUDGET_BYTES = 1 << 20
# The budget is exceeded by what one read delivers at most.
MAX_READ_BYTES = 256 << 10
PATHS = ["/jobs", "/unknown", "/readyz"]
LINGER_RESET = struct.pack("ii", 1, 0)
LIMITS = HttpLimits(request_timeout_s=1.5, response_timeout_s=1.0)


def head(method, path, *fields):
    lines = [f"{method} {path} HTTP/1.1", "Host: x", *fields, "", ""]
    return "\r\n".join(lines).encode()


def post(path, size):
    return head("POST", path, f"Content-Length: {size}")


def chunked(path):
    return head("POST", path, "Transfer-Encoding: chunked")


KINDS = {
    "one byte short": lambda p: (
        post(p, MAX_BODY_BYTES) + b"x" * (MAX_BODY_BYTES - 1)
    ),
    "tiny chunks": lambda p: chunked(p) + b"1\r\nx\r\n" * 16_000,
    "large chunks": lambda p: (
        chunked(p) + (b"f000\r\n" + b"x" * 0xF000 + b"\r\n")
    ),
    "far over the limit": lambda p: post(p, 1 << 30) + b"x" * 100_000,
    "many fields": lambda p: head("GET", p)[:-2] + b"a:b\r\n" * 14_000,
    "endless field": lambda p: head("GET", p)[:-2] + b"a: " + b"b" * 100_000,
    "POSTs ahead": lambda p: (post(p, 20_000) + b"x" * 20_000) * 10,
    "GETs ahead": lambda p: head("GET", p) * 500,
    "large answers ahead": lambda _p: head("GET", "/large") * 100,
    "empty objects": lambda p: post(p, 60_000) + b"{}," * 20_000,
    "half a header": lambda p: head("POST", p)[:-4],
}


@pytest.fixture
def release():
    return threading.Event()


@pytest.fixture
def app(release):
    async def submit(request):
        return Response(request.body[:2])

    async def run_job(_request):
        while not release.is_set():
            await asyncio.sleep(0.005)
        return Response(b"done")

    async def show_large(_request):
        return Response(b"x" * 100_000)

    rules = [
        ("/jobs", ["GET", "POST"], submit),
        ("/large", ["GET"], show_large),
        ("/slow", ["POST"], run_job),
    ]
    return WebApp(rules, MAX_BODY_BYTES, EventLog("test"))


@pytest.fixture
def server(app):
    server = HttpServer("127.0.0.1", 0, app, limits=LIMITS)
    account = MemoryAccount(
        BUDGET_BYTES, 4 * CROWD, server.now_s, EventLog("test")
    )
    server.share = account.shares[ServerRole.CALLERS]
    monitoring = monitoring_rules(None, lambda: (True, ""))
    app.routes.update(WebApp(monitoring, 1, app.log).routes)
    server.start()
    yield server
    server.stop()


def connect(server):
    caller = socket.create_connection(("127.0.0.1", server.port), TIMEOUT_S)
    caller.settimeout(TIMEOUT_S)
    return caller


def send_what_is_taken(caller, data):
    """Sends as much as the peer takes without being waited for."""
    caller.setblocking(False)
    try:
        caller.send(data)
    except (BlockingIOError, ConnectionError):
        pass


def submit_job(server, body=b"ok"):
    with connect(server) as caller:
        caller.sendall(post("/jobs", len(body)) + body)
        data = caller.recv(65536)
    return data.split(b" ")[1]


def wait_until_released(server):
    deadline_s = time.monotonic() + TIMEOUT_S
    while server.share.held_bytes or server.share.connections:
        assert time.monotonic() < deadline_s
        time.sleep(0.01)


@pytest.mark.parametrize("kind", KINDS)
def test_crowd_is_bounded_and_jobs_are_answered(server, kind):
    crowd = [connect(server) for _ in range(CROWD)]
    for number, caller in enumerate(crowd):
        path = PATHS[number % len(PATHS)]
        send_what_is_taken(caller, KINDS[kind](path))
    for _ in range(5):
        start_s = time.monotonic()
        assert submit_job(server) == b"200"
        assert time.monotonic() - start_s < 1.0
    with connect(server) as balancer:
        balancer.sendall(head("GET", "/readyz"))
        assert balancer.recv(65536).startswith(b"HTTP/1.1 200 ")
    assert server.share.peak_bytes <= BUDGET_BYTES + MAX_READ_BYTES
    for caller in crowd:
        caller.close()
    wait_until_released(server)


@pytest.mark.parametrize("kind", ["one byte short", "large chunks"])
def test_crowd_from_many_addresses_is_bounded(server, kind):
    """Eviction by address alone would find nobody who holds much."""
    crowd = []
    for number in range(CROWD):
        source = (f"127.0.0.{2 + number}", 0)
        caller = socket.create_connection(
            ("127.0.0.1", server.port), TIMEOUT_S, source
        )
        crowd.append(caller)
        send_what_is_taken(caller, KINDS[kind]("/jobs"))
    start_s = time.monotonic()
    assert submit_job(server) == b"200"
    assert time.monotonic() - start_s < 1.0
    assert server.share.peak_bytes <= BUDGET_BYTES + MAX_READ_BYTES
    for caller in crowd:
        caller.close()
    wait_until_released(server)


def test_crowd_that_connects_again_after_each_refusal_is_bounded(server):
    refused = 0
    for _ in range(5):
        crowd = [connect(server) for _ in range(CROWD)]
        for caller in crowd:
            caller.sendall(post("/jobs", 1 << 30))
        for caller in crowd:
            refused += caller.recv(65536).startswith(b"HTTP/1.1 413 ")
            caller.close()
        start_s = time.monotonic()
        assert submit_job(server) == b"200"
        assert time.monotonic() - start_s < 1.0
    assert refused == 5 * CROWD
    assert server.share.peak_bytes <= BUDGET_BYTES
    wait_until_released(server)


@pytest.mark.parametrize("is_reset", [False, True])
def test_half_a_body_is_released_when_its_caller_leaves(server, is_reset):
    crowd = [connect(server) for _ in range(CROWD)]
    for caller in crowd:
        send_what_is_taken(caller, post("/jobs", 20_000) + b"x" * 10_000)
        if is_reset:
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        caller.close()
    assert submit_job(server) == b"200"
    wait_until_released(server)


@pytest.mark.parametrize("is_reset", [False, True])
def test_memory_of_those_that_leave_does_not_wait_for_the_collector(
    server, is_reset
):
    """Bodies of connections that had left took 212 MB, and no account."""
    gc.collect()
    gc.disable()
    try:
        for _ in range(CROWD):
            with connect(server) as caller:
                caller.sendall(post("/jobs", 20_000) + b"x" * 10_000)
                wait_for_charge(server, bool)
                if is_reset:
                    caller.setsockopt(
                        socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET
                    )
            wait_until_released(server)
        kept = [o for o in gc.get_objects() if isinstance(o, RequestReader)]
    finally:
        gc.enable()
    assert not kept


def test_slow_sender_within_the_limits_is_served(server):
    with connect(server) as caller:
        caller.sendall(post("/jobs", 1000))
        for _ in range(10):
            caller.sendall(b"x" * 100)
            time.sleep(0.1)
        assert caller.recv(65536).startswith(b"HTTP/1.1 200 ")


def test_sender_that_trickles_gets_408_as_not_run(server):
    with connect(server) as caller:
        caller.sendall(post("/jobs", 60_000))
        data = caller.recv(65536)
    assert data.startswith(b"HTTP/1.1 408 ")
    assert b'"not_run":true' in data
    wait_until_released(server)


def test_evicted_request_gets_503_as_not_run(server):
    """A crowd that stops just short of the end, beyond the budget."""
    crowd = [connect(server) for _ in range(CROWD)]
    for caller in crowd:
        caller.sendall(KINDS["one byte short"]("/jobs"))
    refused = 0
    for caller in crowd:
        caller.settimeout(0.05)
        try:
            data = caller.recv(65536)
        except TimeoutError:
            continue
        refused += 1
        assert data.startswith(b"HTTP/1.1 503 ")
        assert b"\r\nRetry-After: 1\r\n" in data
        assert b'"not_run":true' in data
    assert 0 < refused < CROWD
    for caller in crowd:
        caller.close()


def test_large_job_is_served_beside_a_crowd_that_has_stopped(server):
    crowd = [connect(server) for _ in range(CROWD)]
    for caller in crowd:
        send_what_is_taken(caller, KINDS["one byte short"]("/jobs"))
    time.sleep(0.6)
    assert submit_job(server, b"x" * MAX_BODY_BYTES) == b"200"
    for caller in crowd:
        caller.close()


def test_answers_sent_for_requests_ahead_arrive_once_they_are_read(server):
    """A slow reader inside the limits gets all answers, in order."""
    count = 30
    with connect(server) as caller:
        caller.sendall(head("GET", "/large") * count)
        time.sleep(0.3)
        received = 0
        while received < count * 100_000:
            received += len(caller.recv(1 << 20))
    wait_until_released(server)


def test_new_connection_is_served_when_a_crowd_has_taken_all(server):
    crowd = [connect(server) for _ in range(5 * CROWD)]
    for caller in crowd:
        send_what_is_taken(caller, b"POST /jobs HTTP/1.1\r\nHo")
    assert submit_job(server) == b"200"
    assert len(server.connections) <= server.share.max_connections
    for caller in crowd:
        caller.close()
    wait_until_released(server)


def wait_for_charge(server, is_charged):
    deadline_s = time.monotonic() + TIMEOUT_S
    while not is_charged(server.share.held_bytes):
        assert time.monotonic() < deadline_s
        time.sleep(0.005)


def test_job_is_charged_until_it_ends_also_if_its_caller_leaves(
    server, release
):
    with connect(server) as caller:
        caller.sendall(post("/slow", 30_000) + b"x" * 30_000)
        wait_for_charge(server, lambda held_bytes: held_bytes >= 90_000)
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    deadline_s = time.monotonic() + TIMEOUT_S
    while server.share.connections and time.monotonic() < deadline_s:
        time.sleep(0.005)
    assert not server.share.connections
    assert server.share.held_bytes >= 90_000
    release.set()
    wait_until_released(server)


def test_jobs_that_run_are_kept_and_further_large_ones_are_refused(
    server, release
):
    running = [connect(server) for _ in range(8)]
    for caller in running:
        caller.sendall(post("/slow", 60_000) + b"x" * 60_000)
        time.sleep(0.02)
    accepted = server.app.active_requests
    assert 0 < accepted < len(running)
    release.set()
    statuses = [caller.recv(65536).split(b" ")[1] for caller in running]
    assert statuses.count(b"200") == accepted
    assert statuses.count(b"503") == len(running) - accepted
    for caller in running:
        caller.close()
    wait_until_released(server)
