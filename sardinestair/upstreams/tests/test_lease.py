"""The end of the lease, as runs that are being stopped limit it."""

import pytest

from sardinestair.clock import ManualClock
from sardinestair.links.timing import MAX_CLOCK_DRIFT
from sardinestair.observability import EventLog, Metrics
from sardinestair.upstreams.lease import RunLease
from sardinestair.upstreams.orders import RunId
from sardinestair.upstreams.run import Run
from sardinestair.upstreams.stops import PendingStops

LEASE_S = 0.45
REMOTE_S = 1000.0


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def lease(clock):
    lease = RunLease(clock, LEASE_S, PendingStops(Metrics(), EventLog("test")))
    lease.observe_clock(REMOTE_S, clock.monotonic())
    return lease


def test_no_end_is_known_before_the_first_report(clock):
    lease = RunLease(clock, LEASE_S, PendingStops(Metrics(), EventLog("test")))
    assert lease.next_end_s() is None
    assert lease.latest_end_s([]) is None


def test_each_request_renews_it_for_its_whole_duration(clock, lease):
    clock.advance(0.2)
    elapsed_s = 0.2 * (1 - MAX_CLOCK_DRIFT)
    expected_s = REMOTE_S + elapsed_s + LEASE_S
    assert lease.next_end_s() == pytest.approx(expected_s)


def test_stops_that_are_due_are_requested_before_a_renewal(lease):
    run = Run(RunId("j", 0, 1), 0.0)
    lease.before_renewal = lambda: lease.pending_stops.add(run, REMOTE_S + 0.1)
    assert lease.next_end_s() == REMOTE_S + 0.1
    assert lease.is_ending


def test_starts_in_progress_may_renew_it(lease):
    lease.extend(REMOTE_S + 0.2)  # Less than a lease since the last report.
    assert lease.latest_end_s([]) == REMOTE_S + LEASE_S
    assert lease.latest_end_s([REMOTE_S + 0.6]) == REMOTE_S + 0.6


def test_end_of_an_earlier_incarnation_is_forgotten(lease):
    lease.extend(REMOTE_S + 60.0)
    lease.restart()
    assert lease.latest_end_s([]) == REMOTE_S + LEASE_S
