"""Requests whose client has left before they are handled."""

import io
import socket

import pytest

from sardinestair.clock import ManualClock
from sardinestair.entry.departures import DisconnectWatcher
from sardinestair.entry.dispatcher import Dispatcher
from sardinestair.ids import new_incarnation
from sardinestair.observability import EventLog, Metrics
from sardinestair.platform.callers import ClientApi
from sardinestair.platform.operator import read_configuration
from sardinestair.platform.tests.test_wire import CONFIGURATION
from sardinestair.store.port import KeyValue, Snapshot
from sardinestair.tests.fakes import FakeContext
from sardinestair.web import CONNECTION_KEY, WebApp

BODY = (
    b'{"spec":"x","best_effort":true,'
    b'"phases":[{"count":1,"cpu":500,"mem_mb":64,"est_ms":100}]}'
)


@pytest.fixture
def dispatcher():
    dispatcher = Dispatcher(
        new_incarnation(), "z", ManualClock(), Metrics(), FakeContext()
    )
    snapshot = Snapshot(5, [KeyValue("op/config", CONFIGURATION, 5)])
    dispatcher.configure(read_configuration(snapshot).tree)
    return dispatcher


@pytest.fixture
def watcher():
    watcher = DisconnectWatcher()
    yield watcher
    watcher.wakeup.close()


def post(app, dispatcher, connection):
    """Submits a job; returns the status."""
    route = next(iter(dispatcher.tree.routes.values()))
    statuses = []
    environ = {
        "REQUEST_METHOD": "POST",
        "PATH_INFO": route.prefix + "5c0e7a21d94b36f8",
        "HTTP_HOST": route.host,
        "HTTP_X_DEADLINE_MS": "1",
        "SERVER_NAME": "x",
        "SERVER_PORT": "80",
        "wsgi.url_scheme": "http",
        "wsgi.input": io.BytesIO(BODY),
        "CONTENT_LENGTH": str(len(BODY)),
        CONNECTION_KEY: connection,
    }
    app(environ, lambda status, _headers: statuses.append(status))
    return int(statuses[0].split()[0])


# Guards against work for clients that have left: an entry that was behind with
# reading requests started their tasks, and stopped them again.
def test_job_of_a_client_that_has_left_is_not_accepted(dispatcher, watcher):
    api = ClientApi(dispatcher, watcher)
    app = WebApp(api.rules(), 1 << 18, EventLog("test"))
    ours, theirs = socket.socketpair()
    theirs.close()
    assert post(app, dispatcher, ours) == 503
    assert not dispatcher.registry.jobs
    ours.close()


def test_job_of_a_waiting_client_is_accepted(dispatcher, watcher):
    api = ClientApi(dispatcher, watcher)
    app = WebApp(api.rules(), 1 << 18, EventLog("test"))
    ours, theirs = socket.socketpair()
    post(app, dispatcher, ours)
    assert len(dispatcher.registry.jobs) == 1
    ours.close()
    theirs.close()
