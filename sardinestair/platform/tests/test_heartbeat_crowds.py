"""Heartbeats are applied beside clients that misuse their port."""

import socket
import time

import pytest

from sardinestair.observability import EventLog
from sardinestair.platform.heartbeats import HeartbeatApi
from sardinestair.platform.tests.test_heartbeats import FakeLinkServer
from sardinestair.platform.tests.test_wire import HEARTBEAT
from sardinestair.sidecar.platform_process import MAX_HEARTBEAT_BYTES
from sardinestair.web import (
    HttpLimits,
    HttpServer,
    MemoryAccount,
    ServerRole,
    WebApp,
)
from sardinestair.web.tests import test_hostile

PATH = "/instances/i-1/heartbeat"
CROWD = 40
# The system's share is an eighth.
BUDGET_BYTES = 4 << 20
MAX_CONNECTIONS = 256
TIMEOUT_S = 10
MAX_READ_BYTES = 256 << 10
LIMITS = HttpLimits(request_timeout_s=1.5, response_timeout_s=1.0)
LABELS = b'{"labels":[' + b'"a",' * 15_000 + b'"a"]}'
KINDS = test_hostile.KINDS | {
    "many labels": lambda p: test_hostile.post(p, len(LABELS)) + LABELS,
    "4 MB": lambda p: test_hostile.post(p, 4 << 20) + b"x" * (1 << 20),
}


@pytest.fixture
def link_server():
    return FakeLinkServer()


@pytest.fixture
def server(link_server):
    rules = HeartbeatApi(link_server, ttl_s=6.0).rules()
    app = WebApp(rules, MAX_HEARTBEAT_BYTES, EventLog("test"))
    server = HttpServer("127.0.0.1", 0, app, limits=LIMITS)
    account = MemoryAccount(
        BUDGET_BYTES, MAX_CONNECTIONS, server.now_s, EventLog("test")
    )
    server.share = account.shares[ServerRole.SYSTEM]
    server.share.make_room_for(MAX_HEARTBEAT_BYTES)
    server.start()
    yield server
    server.stop()


@pytest.mark.parametrize("kind", KINDS)
def test_heartbeats_are_applied_beside_a_crowd(server, link_server, kind):
    crowd = [test_hostile.connect(server) for _ in range(CROWD)]
    for caller in crowd:
        test_hostile.send_what_is_taken(caller, KINDS[kind](PATH))
    for sequence in range(5, 10):
        body = HEARTBEAT.replace(b'"sequence":4', b'"sequence":%d' % sequence)
        assert body != HEARTBEAT
        start_s = time.monotonic()
        with socket.create_connection(
            ("127.0.0.1", server.port), TIMEOUT_S
        ) as runner:
            runner.sendall(test_hostile.post(PATH, len(body)) + body)
            assert runner.recv(65536).startswith(b"HTTP/1.1 200 ")
        assert time.monotonic() - start_s < 1.0
    assert len(link_server.announced) == 5
    share = server.share
    assert share.peak_bytes <= share.limit_bytes + MAX_READ_BYTES
    for caller in crowd:
        caller.close()
    test_hostile.wait_until_released(server)
