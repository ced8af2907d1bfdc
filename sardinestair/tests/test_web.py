"""The HTTP server of the programs."""

import http.client
import socket
import threading
from concurrent.futures import ThreadPoolExecutor

import pytest

from sardinestair.observability import EventLog
from sardinestair.web import HttpServer, Response, WebApp

TIMEOUT_S = 20
MOST_THREADS = 60


@pytest.fixture
def release():
    return threading.Event()


@pytest.fixture
def waiting():
    return threading.Semaphore(0)


@pytest.fixture
def app(release, waiting):
    def wait(_request):
        waiting.release()
        assert release.wait(TIMEOUT_S)
        return Response("done")

    return WebApp([("/wait", ["GET"], wait)], 1024, EventLog("test"))


@pytest.fixture
def start(app):
    servers = []

    def start(**options):
        server = HttpServer("127.0.0.1", 0, app, MOST_THREADS, **options)
        server.start()
        servers.append(server)
        return server

    yield start
    for server in servers:
        server.stop()


def fetch(port):
    connection = http.client.HTTPConnection("127.0.0.1", port, TIMEOUT_S)
    try:
        connection.request("GET", "/wait")
        return connection.getresponse().read()
    finally:
        connection.close()


def test_server_starts_with_few_threads(start):
    before = threading.active_count()
    start()
    assert threading.active_count() - before < MOST_THREADS / 2


def test_as_many_requests_wait_at_a_time_as_are_allowed(
    start, release, waiting
):
    server = start()
    with ThreadPoolExecutor(MOST_THREADS) as callers:
        replies = [
            callers.submit(fetch, server.port) for _ in range(MOST_THREADS)
        ]
        for _ in range(MOST_THREADS):
            assert waiting.acquire(timeout=TIMEOUT_S)
        release.set()
        assert {reply.result() for reply in replies} == {b"done"}


def test_server_takes_over_a_listener_with_its_backlog(start, release):
    release.set()
    listener = socket.create_server(("127.0.0.1", 0))
    port = listener.getsockname()[1]
    with socket.create_connection(("127.0.0.1", port), TIMEOUT_S) as caller:
        caller.sendall(b"GET /wait HTTP/1.1\r\nHost: x\r\n\r\n")
        server = start(listener=listener)
        assert server.port == port
        assert caller.recv(12) == b"HTTP/1.1 200"
