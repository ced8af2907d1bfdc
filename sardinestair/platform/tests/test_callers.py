"""Requests of clients: those that have left, and odd header fields."""

import asyncio

import pytest

from sardinestair.clock import ManualClock
from sardinestair.entry import resubmission
from sardinestair.entry.dispatcher import Dispatcher
from sardinestair.entry.submission import EARLIER_RUNS_ACTIVE
from sardinestair.event_loop import EventLoop
from sardinestair.ids import new_incarnation
from sardinestair.observability import EventLog, Metrics
from sardinestair.platform import callers
from sardinestair.platform.callers import ClientApi
from sardinestair.platform.names import parse_job_name
from sardinestair.platform.operator import read_configuration
from sardinestair.platform.tests.test_wire import CONFIGURATION
from sardinestair.store.port import KeyValue, Snapshot
from sardinestair.tests.fakes import FakeContext
from sardinestair.web import Headers, Request, WebApp

BODY = (
    b'{"spec":"x","best_effort":true,'
    b'"phases":[{"count":1,"cpu":500,"mem_mb":64,"est_ms":100}]}'
)


class FakeConnection:
    """A client's connection that the test closes."""

    def __init__(self):
        self.is_open = True
        self.callback = None

    def has_left(self):
        return not self.is_open

    def on_disconnect(self, callback):
        self.callback = callback

    def close(self):
        self.is_open = False
        if self.callback is not None:
            self.callback()


@pytest.fixture
def dispatcher():
    dispatcher = Dispatcher(
        new_incarnation(), "z", ManualClock(), Metrics(), FakeContext()
    )
    snapshot = Snapshot(5, [KeyValue("op/config", CONFIGURATION, 5)])
    dispatcher.configure(read_configuration(snapshot).tree)
    return dispatcher


@pytest.fixture
def event_loop():
    event_loop = EventLoop()
    event_loop.start()
    yield event_loop
    event_loop.stop()


@pytest.fixture
def connection():
    return FakeConnection()


@pytest.fixture
def post(dispatcher, event_loop, connection, monkeypatch):
    """Submits a job; returns the future of the status."""
    monkeypatch.setattr(callers, "RESPONSE_GRACE_S", 0.2)
    api = ClientApi(dispatcher, event_loop)
    app = WebApp(api.rules(), 1 << 18, EventLog("test"))
    route = next(iter(dispatcher.tree.routes.values()))

    def post(deadline_ms="1", body=BODY):
        fields = [("host", route.host), ("x-deadline-ms", deadline_ms)]
        request = Request(
            "POST",
            route.prefix + "5c0e7a21d94b36f8",
            Headers(fields),
            body,
            connection,
        )

        async def respond():
            response = await app.respond(request, asyncio.to_thread)
            return response.status

        return event_loop.run_coroutine(respond())

    return post


# Guards against work for clients that have left: an entry that was behind with
# reading requests started their tasks, and stopped them again.
def test_job_of_a_client_that_has_left_is_not_accepted(
    dispatcher, connection, post
):
    connection.is_open = False
    assert post().result() == 503
    assert not dispatcher.registry.jobs


def test_job_of_a_waiting_client_is_accepted(dispatcher, post):
    post().result()
    assert len(dispatcher.registry.jobs) == 1


# Guards against an entry without memory: the payloads of all tasks were listed
# before the number of tasks was looked at.
@pytest.mark.parametrize("count", [b"10001", b"1000000000000"])
def test_job_of_too_many_tasks_is_refused_without_listing_them(
    dispatcher, post, count
):
    body = BODY.replace(b'"count":1', b'"count":' + count)
    assert post(body=body).result(20) == 503
    assert not dispatcher.registry.jobs


# Guards against an entry that stands still: 22,000 steps took 78 ms.
def test_steps_beyond_a_limit_are_not_decoded(dispatcher, post, monkeypatch):
    made = []
    monkeypatch.setattr(callers, "_find_unsupported", made.append)
    body = b'{"spec":"x","phases":[' + b'{"count":1},' * 20_000
    assert post(body=body + b'{"count":1}]}').result(20) == 503
    assert not made
    assert not dispatcher.registry.jobs


def test_job_of_a_client_that_leaves_is_cancelled(
    dispatcher, event_loop, connection, post
):
    status = post("10000")
    while connection.callback is None:
        event_loop.call(lambda: None)
    event_loop.call(connection.close)
    assert status.result(20) == 200
    assert not dispatcher.count_active_jobs()


def test_duplicate_of_a_cancelled_job_is_answered_as_cancelled(
    dispatcher, post
):
    dispatcher.handle_withdrawn([parse_job_name("5c0e7a21d94b36f8")])
    assert post().result(20) == 200
    assert not dispatcher.registry.jobs


# Guards against a job without a caller: its client left while it waited for
# earlier runs to end, and the job was then accepted.
def test_client_that_leaves_during_earlier_runs_is_not_accepted(
    dispatcher, connection, post, monkeypatch
):
    submissions = []

    def submit(parsed):
        submissions.append(parsed)
        connection.is_open = False
        return resubmission.Error(EARLIER_RUNS_ACTIVE)

    monkeypatch.setattr(dispatcher, "submit", submit)
    assert post().result(20) == 503
    assert len(submissions) == 1


@pytest.mark.parametrize("text", ["nan", "inf", "-inf", "-1", "0", "x", ""])
def test_odd_deadline_counts_as_none(dispatcher, connection, post, text):
    status = post(text)
    while not dispatcher.registry.jobs:
        assert not status.done()
    job = next(iter(dispatcher.registry.jobs.values()))
    assert 0 < job.deadline_s < 1e6
    dispatcher.cancel(job.job_id)
    assert status.result(20) == 200
