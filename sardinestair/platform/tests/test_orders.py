"""Requests to a stand-in for a runner over HTTP."""

import asyncio
import threading

import pytest

from sardinestair.clock import SystemClock
from sardinestair.messages import TaskRef
from sardinestair.platform.names import parse_job_name
from sardinestair.platform.orders import MAX_ORDER_CONNECTIONS, HttpRunClient
from sardinestair.platform.tests.standins import RunnerServer
from sardinestair.standins.runner import RunnerModel
from sardinestair.upstreams.orders import EndKind, Refusal

REF = TaskRef(parse_job_name("5c0e7a21d94b36f8"), 17, 2)
SPEC = b'"0.01"'
BURST = 16
TIMEOUT_S = 20.0


@pytest.fixture
def server():
    server = RunnerServer(RunnerModel(SystemClock()))
    server.http.start()
    yield server
    server.http.stop()


class Client:
    """Calls a `HttpRunClient` in an event loop, and waits for the results."""

    def __init__(self, address):
        self.loop = asyncio.new_event_loop()
        self.client = HttpRunClient(address)
        self.run_id = self.client.run_id

    def start(self, run, payload, until_s, timeout_s, may_send=lambda: True):
        return self.loop.run_until_complete(
            self.client.start(run, payload, until_s, timeout_s, may_send)
        )

    def stop(self, run, timeout_s):
        return self.loop.run_until_complete(self.client.stop(run, timeout_s))

    def report(self, *arguments):
        return self.loop.run_until_complete(self.client.report(*arguments))

    def close(self):
        self.client.close()
        self.loop.run_until_complete(asyncio.sleep(0))
        self.loop.close()


@pytest.fixture
def client(server):
    client = Client(server.address)
    yield client
    client.close()


def until_s(server, seconds=1.0):
    return server.model.clock.monotonic() + seconds


def test_start_names_task_run_and_latest_time(server, client):
    run = client.run_id(REF)
    assert client.start(run, SPEC, until_s(server), 1.0).ok.refusal is None
    path, body = server.requests[0]
    assert path == "/run-start"
    assert body["task"] == "5c0e7a21d94b36f8.0.0.17"
    assert body["run_id"] == 2
    assert body["spec"] == "0.01"
    assert isinstance(body["until_ms"], int)


# Guards against two runs of a task at the same time (rule TWICE): a start that
# was held up on its way reached the runner's next incarnation.
def test_start_for_an_earlier_runner_is_refused_by_the_next_one(server, client):
    client.client.instance = "i-1"
    run = client.run_id(REF)
    server.name = "i-2"
    refused = client.start(run, SPEC, until_s(server), 1.0).ok
    assert refused.refusal is Refusal.OTHER_INCARNATION
    client.client.instance = "i-2"
    assert client.start(run, SPEC, until_s(server), 1.0).ok.refusal is None


@pytest.mark.parametrize("instance", ["i-1\r\nX-A: b", "i-\u0661", "\0"])
def test_id_that_fits_no_header_is_not_sent(server, client, instance):
    client.client.instance = instance
    run = client.run_id(REF)
    assert client.start(run, SPEC, until_s(server), 1.0).ok.refusal is None


def test_end_is_reported_until_acknowledged(server, client):
    run = client.run_id(REF)
    client.start(run, SPEC, until_s(server), 1.0)
    for _ in range(2):
        report = client.report(until_s(server), 0, 0.5, 2.0).ok
        assert [(e.run, e.how) for e in report.ends] == [(run, EndKind.DONE)]
    report = client.report(
        until_s(server), report.ends[0].sequence, 0.0, 1.0
    ).ok
    assert report.ends == []
    assert report.incarnation_ms == 1


def test_active_run_has_its_progress(server, client):
    run = client.run_id(REF)
    client.start(run, b'"30"', until_s(server), 1.0)
    report = client.report(until_s(server), 0, 0.0, 1.0).ok
    assert [(s.run, s.percent) for s in report.active] == [(run, 0)]
    assert client.stop(run, 1.0).is_ok()
    ends = client.report(until_s(server), 0, 0.0, 1.0).ok.ends
    assert ends[0].how is EndKind.STOPPED


def test_refusal_reasons_are_decoded(server, client):
    run = client.run_id(REF)
    client.stop(run, 1.0)
    refused = client.start(run, SPEC, until_s(server), 1.0).ok
    assert refused.refusal is Refusal.OLD_RUN
    other = client.run_id(TaskRef(REF.job, 1, 1))
    refused = client.start(other, SPEC, until_s(server, -1.0), 1.0).ok
    assert refused.refusal is Refusal.TOO_LATE


@pytest.mark.parametrize(
    ("status", "refusal"),
    [
        (400, Refusal.INVALID),
        (421, Refusal.OTHER_INCARNATION),
        (429, Refusal.UNHEALTHY),
        (503, Refusal.UNHEALTHY),
    ],
)
def test_statuses_that_mean_refused(server, client, status, refusal):
    server.status = status
    reply = client.start(client.run_id(REF), SPEC, until_s(server), 1.0)
    assert reply.ok.refusal is refusal


def test_other_status_leaves_the_outcome_unknown(server, client):
    server.status = 500
    reply = client.start(client.run_id(REF), SPEC, until_s(server), 1.0)
    assert reply.error.may_have_executed


def test_unreachable_runner_has_not_executed_the_request():
    client = Client("127.0.0.1:9")
    reply = client.start(client.run_id(REF), SPEC, 1.0, 1.0)
    assert not reply.error.may_have_executed


def test_withdrawn_start_is_not_sent(server, client):
    run = client.run_id(REF)
    reply = client.start(run, SPEC, until_s(server), 1.0, lambda: False)
    assert reply.error.is_withdrawn
    assert not reply.error.may_have_executed
    assert server.requests == []


# Guards against a task that ends its sidecar: a payload that is no JSON string
# raised an error that nothing handled.
@pytest.mark.parametrize("payload", [b"", b"{}", b"\xff", b"[" * 100_000])
def test_payload_that_is_no_string_is_refused(server, client, payload):
    run = client.run_id(REF)
    reply = client.start(run, payload, until_s(server), 1.0)
    assert reply.ok.refusal is Refusal.INVALID
    assert server.requests == []


def test_connection_is_reused(server, client):
    for number in range(1, 20):
        run = client.run_id(TaskRef(REF.job, 0, number))
        client.stop(run, 1.0)
    assert len(client.client.order_transfers.idle_transfers) == 1
    assert len(server.http.connections) == 1


class SlowRunnerServer(RunnerServer):
    """Answers orders once `release` is set, and records their connections."""

    def __init__(self, model):
        self.release = threading.Event()
        self.arrived = threading.Semaphore(0)
        self.ports = set()
        super().__init__(model)

    def start_run(self, request):
        self._hold(request)
        return super().start_run(request)

    def _hold(self, request):
        self.ports.add(request.connection.remote_port)
        self.arrived.release()
        assert self.release.wait(TIMEOUT_S)


class SlowStopServer(SlowRunnerServer):
    """Answers stops once `release` is set, and starts at once."""

    def start_run(self, request):
        return RunnerServer.start_run(self, request)

    def stop_run(self, request):
        self._hold(request)
        return super().stop_run(request)


@pytest.fixture
def slow_stops():
    server = SlowStopServer(RunnerModel(SystemClock()))
    server.http.max_blocking_requests = 4 * BURST
    server.http.start()
    yield server
    server.release.set()
    server.http.stop()


async def stop_runs(client, count):
    """Starts to stop runs; returns the tasks."""
    runs = [client.run_id(TaskRef(REF.job, n, 1)) for n in range(count)]
    return [asyncio.ensure_future(client.stop(r, TIMEOUT_S)) for r in runs]


# Guards against stops that wait for each other until the lease ends all runs of
# the runner: three were sent at a time, however many waited.
def test_many_slow_stops_are_sent_at_a_time(slow_stops):
    client = HttpRunClient(slow_stops.address)

    async def main():
        stops = await stop_runs(client, 4 * BURST)
        arrived = [
            await asyncio.to_thread(slow_stops.arrived.acquire, timeout=5.0)
            for _ in range(BURST)
        ]
        slow_stops.release.set()
        replies = await asyncio.gather(*stops)
        client.close()
        return arrived, replies

    arrived, replies = asyncio.run(main())
    assert all(arrived)
    assert all(reply.is_ok() for reply in replies)


# Guards against tasks of other entries that start late: starts waited behind
# stops for a connection, each up to 50 ms.
def test_starts_do_not_wait_for_stops(slow_stops):
    client = HttpRunClient(slow_stops.address)

    async def main():
        stops = await stop_runs(client, MAX_ORDER_CONNECTIONS)
        for _ in stops:
            await asyncio.to_thread(slow_stops.arrived.acquire, timeout=5.0)
        run = client.run_id(TaskRef(REF.job, BURST, 1))
        latest_s = until_s(slow_stops, TIMEOUT_S)
        start = client.start(run, SPEC, latest_s, TIMEOUT_S, lambda: True)
        try:
            return await asyncio.wait_for(start, 5.0)
        finally:
            slow_stops.release.set()
            await asyncio.gather(*stops)
            client.close()

    assert asyncio.run(main()).is_ok()


# Guards against a connection for each start of a burst: runners close idle
# connections, so that nearly every start opened a new one.
def test_burst_of_starts_shares_few_connections():
    server = SlowRunnerServer(RunnerModel(SystemClock()))
    server.http.start()
    client = HttpRunClient(server.address)

    async def start(index):
        run = client.run_id(TaskRef(REF.job, index, 1))
        latest_s = until_s(server, TIMEOUT_S)
        return await client.start(run, SPEC, latest_s, TIMEOUT_S, lambda: True)

    async def start_burst():
        starts = [asyncio.ensure_future(start(n)) for n in range(BURST)]
        for _ in range(MAX_ORDER_CONNECTIONS):
            await asyncio.to_thread(server.arrived.acquire, timeout=TIMEOUT_S)
        server.release.set()
        replies = await asyncio.gather(*starts)
        client.close()
        return replies

    assert all(reply.is_ok() for reply in asyncio.run(start_burst()))
    server.http.stop()
    assert len(server.ports) <= MAX_ORDER_CONNECTIONS
