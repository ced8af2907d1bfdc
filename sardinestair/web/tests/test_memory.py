"""The account of memory, without connections."""

import pytest

from sardinestair.observability import EventLog, Metrics
from sardinestair.web.eviction import Activity, Holding
from sardinestair.web.memory import (
    MIN_BUDGET_BYTES,
    Cause,
    MemoryAccount,
    ServerRole,
    budget_bytes,
    connection_limit,
)

LIMIT_BYTES = 8 << 20


class Clock:
    def __init__(self):
        self.time_s = 0.0

    def now_s(self):
        return self.time_s


class FakeConnection:
    """Holds memory until it has to give way."""

    def __init__(self, share, since_s=0.0, activity=Activity.READING):
        self.share = share
        self.held_bytes = 0
        self.activity = activity
        self.since_s = since_s
        self.causes = []

    def holding(self):
        return Holding(
            self,
            self.activity,
            self.held_bytes,
            1 << 30,
            self.since_s,
            self.since_s,
            "10.0.0.1",
        )

    def evict(self, cause):
        self.causes.append(cause)
        self.share.remove(self)


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def metrics():
    return Metrics()


@pytest.fixture
def account(clock, metrics):
    return MemoryAccount(LIMIT_BYTES, 4, clock.now_s, EventLog("test"), metrics)


@pytest.fixture
def share(account):
    return account.shares[ServerRole.CALLERS]


def test_charges_are_replaced_and_released(share):
    connection = FakeConnection(share)
    for held_bytes in (100, 5000, 300):
        share.charge(connection, held_bytes)
        assert share.held_bytes == held_bytes
    share.remove(connection)
    assert (share.held_bytes, share.peak_bytes) == (0, 5000)
    assert not share.holders


def test_full_budget_makes_the_stopped_ones_evict(share, clock):
    stopped = [FakeConnection(share) for _ in range(10)]
    for connection in stopped:
        share.charge(connection, share.limit_bytes // 10)
    clock.time_s = 2.0
    arriving = FakeConnection(share, since_s=2.0)
    share.charge(arriving, share.limit_bytes // 5)
    assert share.held_bytes <= share.limit_bytes
    assert not arriving.causes
    assert {c for each in stopped for c in each.causes} == {Cause.MEMORY}


def test_a_request_is_refused_if_nothing_else_can_evict(share):
    handled = FakeConnection(share, activity=Activity.RUNNING)
    handled.holding = lambda: Holding(
        handled, Activity.RUNNING, 0, 0, 0.0, 0.0, "10.0.0.1"
    )
    share.charge(handled, share.limit_bytes - 100)
    arriving = FakeConnection(share)
    share.charge(arriving, 200)
    assert (arriving.causes, handled.causes) == ([Cause.MEMORY], [])


def test_largest_body_of_a_server_can_always_be_handled(account):
    """As a heartbeat of 4 MB at a sidecar with little memory."""
    share = account.shares[ServerRole.SYSTEM]
    share.make_room_for(4 << 20)
    connection = FakeConnection(share)
    share.charge(connection, 3 * (4 << 20))
    assert not connection.causes


def test_callers_do_not_displace_the_system(account):
    callers, system = account.shares.values()
    heartbeat = FakeConnection(system)
    system.charge(heartbeat, system.limit_bytes // 2)
    for _ in range(40):
        share_bytes = callers.limit_bytes // 4
        callers.charge(FakeConnection(callers), share_bytes)
    assert not heartbeat.causes
    total_bytes = callers.limit_bytes + system.limit_bytes
    assert total_bytes == LIMIT_BYTES


def test_connections_are_limited_by_number_and_memory(account, share):
    connections = [FakeConnection(share) for _ in range(5)]
    for connection in connections:
        share.add(connection)
    assert connections[0].causes == [Cause.CONNECTIONS]
    assert len(share.connections) == 4
    many = MemoryAccount(LIMIT_BYTES, 1 << 20, lambda: 0.0, account.log)
    assert many.shares[ServerRole.CALLERS].max_connections < 1000


def test_new_connection_is_closed_if_all_others_handle_requests(share):
    for _ in range(4):
        share.add(FakeConnection(share, activity=Activity.RUNNING))
    new = FakeConnection(share, activity=Activity.IDLE)
    share.add(new)
    assert new.causes == [Cause.CONNECTIONS]


def test_gauges_and_counters_show_what_is_held(account, share, metrics):
    share.charge(FakeConnection(share), 1234)
    share.report(Cause.BODY, 3)
    text = metrics.render()[0].decode()
    assert 'sardinestair_http_held_bytes{role="callers"} 1234' in text
    assert (
        'sardinestair_http_refused_total{cause="body",role="callers"} 3' in text
    )
    assert 'sardinestair_http_budget_bytes{role="system"} 1048576' in text


def test_a_cause_is_logged_once_a_second_with_its_number(account, clock):
    lines = []
    account.log = type(
        "Log", (), {"warning": lambda _self, _event, **f: lines.append(f)}
    )()
    for _ in range(12):
        clock.time_s += 0.25
        account.report(ServerRole.CALLERS, Cause.MEMORY, 1)
    assert len(lines) == 3
    assert [line["count"] for line in lines] == [1, 4, 4]


def test_budget_follows_the_memory_of_the_machine():
    assert budget_bytes(160) < budget_bytes(300) < 300 << 20
    assert budget_bytes(64) == MIN_BUDGET_BYTES
    assert budget_bytes(None) == 64 << 20


@pytest.mark.parametrize("descriptors", [0, 100, 1638, 1 << 20])
def test_connections_leave_descriptors_for_links(descriptors):
    limit = connection_limit(4096, descriptors)
    assert 1 <= limit <= 4096
    assert limit <= max(1, descriptors - 256)
