"""Announcements of an upstream that leaves, or that is cold after its start."""

import msgspec
import pytest

from sardinestair.observability import EventLog
from sardinestair.sidecar.api import UpstreamApi
from sardinestair.sidecar.policy import SidecarPolicy
from sardinestair.sidecar.tests.harness import (
    ANNOUNCEMENT,
    ENTRY,
)
from sardinestair.tests.fakes import send_request
from sardinestair.web import WebApp

SLOTS = 16000


@pytest.fixture
def notified(entry):
    """A list that grows with each announcement sent out of turn."""
    notified = []
    entry.server.listeners.append(lambda: notified.append(None))
    return notified


def status(entry):
    return entry.server.description().status


def test_notice_is_announced_once_and_counts_down(entry, notified):
    for remaining_s in (1.6, 1.1, 0.6):
        entry.server.leave(remaining_s)
        assert status(entry).leaves_in_s == pytest.approx(remaining_s)
        entry.clock.advance(0.5)
    assert len(notified) == 1
    assert status(entry).leaves_in_s == pytest.approx(0.1)


def test_shortened_notice_is_announced_at_once(entry, notified):
    entry.server.leave(3.0)
    entry.clock.advance(0.5)
    entry.server.leave(0.5)
    assert len(notified) == 2


def test_notice_that_comes_after_the_departure_is_announced(entry, notified):
    entry.server.leave()
    entry.server.leave(1.0)
    assert len(notified) == 2


def test_upstream_that_serves_again_does_not_leave(entry):
    entry.server.leave(1.0)
    entry.server.announce(ANNOUNCEMENT)
    assert status(entry).leaves_in_s is None


@pytest.mark.parametrize(
    ("query", "expected", "leaves_in_s"),
    [
        ("", 200, None),
        ("?leaves_in_s=1.5", 200, 1.5),
        ("?leaves_in_s=-1", 400, None),
        ("?leaves_in_s=nan", 400, None),
        ("?leaves_in_s=x", 400, None),
    ],
)
def test_notice_through_the_api(entry, query, expected, leaves_in_s):
    app = WebApp(UpstreamApi(entry.server).rules(), 1 << 16, EventLog("test"))
    reply = send_request(app, "DELETE", "/v1/upstream" + query)
    assert reply.status == expected
    assert status(entry).leaves_in_s == leaves_in_s


def announce_cold(entry, cold_s):
    entry.server.announce(msgspec.structs.replace(ANNOUNCEMENT, cold_s=cold_s))


# Guards against a log line, an announcement and a new account of the capacity
# for each heartbeat of a cold upstream.
def test_cold_time_that_counts_down_is_no_change(entry, notified):
    for cold_s in (3.0, 2.0, 1.0):
        announce_cold(entry, cold_s)
        assert status(entry).cold_s == pytest.approx(cold_s)
        entry.clock.advance(1.0)
    assert notified == []


def granted(entry):
    """Returns the credits of an entry that connects now."""
    entry.server.ledger.reset_entry(ENTRY)
    entry.server._allocate_credits()
    return entry.server.ledger.holders[ENTRY].held


def test_cold_upstream_gets_a_rising_share(entry):
    entry.server.adopt(1, SidecarPolicy(cold_share=0.5))
    announce_cold(entry, 4.0)
    shares = []
    for cold_s in (3.0, 2.0, 1.0, 0.0):
        shares.append(granted(entry) / SLOTS)
        entry.clock.advance(1.0)
        announce_cold(entry, cold_s)
    shares.append(granted(entry) / SLOTS)
    expected = [0.5, 0.625, 0.75, 0.875, 1.0]
    assert shares == pytest.approx(expected, abs=0.02)


def test_cold_upstream_gets_its_full_share_by_default(entry):
    announce_cold(entry, 4.0)
    assert granted(entry) == SLOTS
