"""Heartbeats that are in order, late, from another incarnation or invalid."""

from concurrent.futures import Future

import msgspec
import pytest

from sardinestair.limits.resources import Resources
from sardinestair.observability import EventLog
from sardinestair.platform.heartbeats import HeartbeatApi
from sardinestair.platform.tests.test_wire import HEARTBEAT
from sardinestair.tests.fakes import send_request
from sardinestair.web import WebApp


class FakeLinkServer:
    def __init__(self):
        self.announced = []
        self.leave_count = 0
        self.leaves_in_s = []

    def submit(self, command):
        result = Future()
        result.set_result(command())
        return result

    def announce(self, announcement):
        self.announced.append(announcement)

    def leave(self, leaves_in_s=None):
        self.leave_count += 1
        self.leaves_in_s.append(leaves_in_s)


@pytest.fixture
def server():
    return FakeLinkServer()


class FakeReports:
    """Incarnation that the runner at the configured address reports."""

    def __init__(self):
        self.born = 0


@pytest.fixture
def reports():
    return FakeReports()


@pytest.fixture
def api(server, reports):
    return HeartbeatApi(server, ttl_s=6.0, reported_born=lambda: reports.born)


@pytest.fixture
def app(api):
    return WebApp(api.rules(), 1 << 20, EventLog("test"))


def send_heartbeat(app, runner="i-1", **changes):
    body = {**msgspec.json.decode(HEARTBEAT), **changes}
    path = f"/instances/{runner}/heartbeat"
    return send_request(app, "POST", path, msgspec.json.encode(body)).status


def test_ready_runner_is_announced_with_its_capacity(app, server):
    assert send_heartbeat(app) == 200
    announcement = server.announced[0]
    assert announcement.service == "huvo11a"
    assert announcement.capacity == Resources(16000, 32768, 0)


@pytest.mark.parametrize(
    ("labels", "rack"), [(["a", "r1-3"], "r1-3"), (["a"], ""), ([], "")]
)
def test_rack_of_a_runner_follows_its_kind(app, server, labels, rack):
    send_heartbeat(app, labels=labels)
    assert server.announced[0].rack == rack


def test_draining_runner_gets_no_new_work(app, server):
    send_heartbeat(app)
    assert send_heartbeat(app, sequence=5, state="draining") == 200
    assert server.leave_count == 1


def test_notice_of_a_draining_runner_is_passed_on(app, server):
    send_heartbeat(app, sequence=5, state="draining", drain_remaining_ms=1600)
    send_heartbeat(app, sequence=6, state="draining")
    assert server.leaves_in_s == [1.6, None]


def test_cold_runner_is_announced_as_cold(app, server):
    send_heartbeat(app, sequence=5, cold_left_ms=2500)
    assert server.announced[0].cold_s == 2.5


def test_late_heartbeat_is_ignored(app, server):
    send_heartbeat(app, sequence=5, state="draining")
    assert send_heartbeat(app, sequence=4) == 200
    assert server.announced == []


def test_heartbeat_of_an_earlier_incarnation_is_ignored(app, server):
    send_heartbeat(app, born=2000, sequence=1)
    assert send_heartbeat(app, born=1000, sequence=9, state="draining") == 200
    assert server.leave_count == 0


def test_new_incarnation_restarts_sequence_numbers(app, server):
    send_heartbeat(app, born=1000, sequence=9)
    send_heartbeat(app, born=2000, sequence=1)
    assert len(server.announced) == 2


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"{",
        b"\xff\xfe",
        b"[]",
        b'{"service": 3}',
        b'{"state":"ready"}',
        b'{"x":' + b"[" * 100_000,
    ],
)
def test_invalid_heartbeat_is_rejected(app, server, data):
    reply = send_request(app, "POST", "/instances/i-1/heartbeat", data)
    assert reply.status == 400
    assert server.announced == []
    assert send_heartbeat(app) == 200


def test_unknown_state_is_rejected(app, server):
    assert send_heartbeat(app, state="asleep") == 400
    assert server.announced == []
    assert server.leave_count == 0


# Guards against runners that get no tasks any more (rule RECOVER): a heartbeat
# of another writer with a state that is not named made the runner's own late.
@pytest.mark.parametrize("runner", ["i-1", "i-other"])
@pytest.mark.parametrize(
    "changes",
    [
        {"state": "asleep"},
        {"service": ""},
        {"address": ""},
        {"address": "10.128.0.9"},
    ],
)
def test_rejected_heartbeat_makes_no_other_late(app, server, runner, changes):
    send_heartbeat(app, born=1000, sequence=1)
    changes = {"born": 9000, "sequence": 50, **changes}
    assert send_heartbeat(app, runner, **changes) == 400
    assert send_heartbeat(app, born=1000, sequence=2) == 200
    assert len(server.announced) == 2
    path = "/instances/i-1/deregister"
    assert send_request(app, "POST", path).status == 200
    assert server.leave_count == 1


# Guards against a sidecar that ends itself, as it can't announce such a number,
# and against a runner that counts as full for want of a field.
@pytest.mark.parametrize(
    "capacity",
    [
        {},
        {"cpu": 16000},
        {"mem_mb": 32768},
        {"cpu": 2**64, "mem_mb": 32768, "gpu": 0},
        {"cpu": 16000, "mem_mb": 2**63, "gpu": 0},
        {"cpu": 16000, "mem_mb": 32768, "gpu": 2**64},
        {"cpu": -1, "mem_mb": 32768, "gpu": 0},
        {"cpu": 1.5, "mem_mb": 32768, "gpu": 0},
    ],
)
def test_capacity_that_can_not_be_is_rejected(app, server, capacity):
    assert send_heartbeat(app, capacity=capacity) == 400
    assert server.announced == []


def test_runner_may_have_no_processor_for_a_time(app, server):
    capacity = {"cpu": 0, "mem_mb": 32768, "gpu": 0}
    assert send_heartbeat(app, capacity=capacity) == 200
    assert server.announced[0].capacity == Resources(0, 32768, 0)


def test_service_may_have_any_name(app, server):
    assert send_heartbeat(app, service="Quote desk") == 200
    assert server.announced[0].service == "Quote desk"


def test_deregistered_runner_gets_no_new_work(app, server):
    assert send_request(app, "POST", "/instances/i-1/deregister").status == 200
    assert server.leave_count == 1


# Guards against work for a runner that has left: a heartbeat that was delayed
# on its way registered it again.
def test_late_heartbeat_of_a_runner_that_has_left_is_ignored(app, server):
    send_heartbeat(app, born=1000, sequence=5)
    send_request(app, "POST", "/instances/i-1/deregister")
    assert send_heartbeat(app, born=1000, sequence=6) == 200
    assert len(server.announced) == 1
    assert send_heartbeat(app, born=2000, sequence=1) == 200
    assert len(server.announced) == 2


def test_late_deregistration_does_not_affect_the_next_runner(app, server):
    send_heartbeat(app, "i-1", born=1000, sequence=5)
    send_heartbeat(app, "i-2", born=2000, sequence=1)
    assert send_request(app, "POST", "/instances/i-1/deregister").status == 200
    assert server.leave_count == 0


# Guards against jobs that are refused for good: a well-formed heartbeat of
# another writer with a later start replaced the runner, whose own were late.
@pytest.mark.parametrize("sender", ["i-1", "i-other"])
@pytest.mark.parametrize(
    "changes",
    [
        {"born": 9000, "service": "not-named"},
        {"born": 999999999999999},
        {"born": 9000, "state": "draining"},
        {"born": 1500, "sequence": 0, "address": "10.9.9.9:1"},
    ],
)
def test_heartbeat_of_an_unreported_incarnation_is_not_applied(
    app, server, reports, sender, changes
):
    reports.born = 1000
    send_heartbeat(app, born=1000, sequence=1)
    assert send_heartbeat(app, sender, **changes) == 200
    assert len(server.announced) == 1
    assert server.leave_count == 0
    assert send_heartbeat(app, born=1000, sequence=2) == 200
    assert len(server.announced) == 2


def test_heartbeat_of_another_writer_before_the_first_report(
    app, server, reports
):
    send_heartbeat(app, "i-other", born=999999999999999)
    reports.born = 1000
    assert send_heartbeat(app, born=1000, sequence=1) == 200
    assert len(server.announced) == 2
    send_heartbeat(app, born=1000, sequence=2, state="draining")
    assert server.leave_count == 1


def test_deregistration_of_another_writer_is_ignored(app, server, reports):
    send_heartbeat(app, "i-other", born=999999999999999)
    reports.born = 1000
    path = "/instances/i-other/deregister"
    assert send_request(app, "POST", path).status == 200
    assert server.leave_count == 0
    send_heartbeat(app, born=1000, sequence=1)
    assert len(server.announced) == 2


def test_heartbeat_of_another_sender_with_the_same_start_is_ignored(
    app, server, reports
):
    reports.born = 1000
    send_heartbeat(app, born=1000, sequence=1)
    changes = {"born": 1000, "sequence": 50, "state": "draining"}
    assert send_heartbeat(app, "i-other", **changes) == 200
    assert server.leave_count == 0
    send_heartbeat(app, born=1000, sequence=2)
    assert len(server.announced) == 2


def test_new_incarnation_is_announced_once_it_is_reported(
    api, app, server, reports
):
    reports.born = 1000
    send_heartbeat(app, born=1000, sequence=9)
    send_heartbeat(app, born=2000, sequence=1, service="other")
    assert len(server.announced) == 1
    reports.born = 2000
    api.handle_reported(2000)
    assert server.announced[1].service == "other"
    send_heartbeat(app, born=1000, sequence=10)
    assert len(server.announced) == 2
    send_heartbeat(app, born=2000, sequence=2)
    assert len(server.announced) == 3


def test_unconfirmed_heartbeat_of_a_third_incarnation_is_not_applied(
    api, app, server, reports
):
    reports.born = 1000
    send_heartbeat(app, born=3000, sequence=1)
    reports.born = 2000
    api.handle_reported(2000)
    assert server.announced == []


def test_starts_are_meant_for_the_runner_whose_heartbeat_is_applied(
    api, app, reports
):
    runners = []
    api.on_runner = runners.append
    reports.born = 1000
    send_heartbeat(app, born=1000, sequence=1)
    send_heartbeat(app, "i-2", born=2000, sequence=1)
    assert runners == ["i-1"]
    reports.born = 2000
    api.handle_reported(2000)
    assert runners == ["i-1", "i-2"]
