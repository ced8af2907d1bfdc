"""Tasks of a leased upstream are stopped when their session expires."""

import pytest

from sardinestair.links.timing import LinkTiming
from sardinestair.messages import Cancel
from sardinestair.sidecar.tests.harness import (
    ENTRY,
    TIMING,
    ref,
    refused,
)


def test_fresh_start_is_taken(entry):
    entry.start()
    assert refused(entry.iterate()) == []
    assert entry.server.ledger.occupied_units == 1600


def test_start_delayed_past_its_session_is_refused(entry):
    # For example, an entry froze with starts in its send buffer.
    entry.clock.advance(TIMING.session_s + 0.05)
    entry.start()
    assert refused(entry.iterate(receives=False)) == [b"session over"]
    assert entry.server.ledger.occupied_units == 0


def test_delayed_frame_does_not_extend_the_session(entry):
    entry.start()
    entry.iterate(receives=False)
    entry.clock.advance(TIMING.session_s + 0.05)
    entry.send()  # Arrives now, with an old echo.
    entry.iterate(receives=False)
    assert entry.upstream.stopped == [(ref(), b"session over")]


def test_echoed_frames_keep_tasks_alive(entry):
    entry.start()
    for _ in range(20):
        entry.clock.advance(0.2)
        entry.iterate()
        entry.send()
    assert entry.upstream.stopped == []


def test_tasks_of_a_silent_entry_are_stopped_once(entry):
    entry.start(0)
    entry.start(1)
    for _ in range(10):
        entry.clock.advance(0.2)
        entry.iterate(receives=False)
    stopped = {stop[0].index for stop in entry.upstream.stopped}
    assert stopped == {0, 1}
    assert len(entry.upstream.stopped) == 2


# Guards against tasks that run twice (rule TWICE): the lease was renewed as
# long as stops took, also for the tasks of a session that was over.
def test_tasks_of_a_silent_entry_end_with_the_lease_at_its_end(entry):
    entry.start()
    late_s = 0.06
    entry.clock.advance(TIMING.session_s + late_s)
    entry.iterate(receives=False)
    limit_s = TIMING.lease_s - late_s
    assert entry.upstream.limits_s == [pytest.approx(limit_s)]


# Guards against tasks that run twice (rule TWICE): the end of a session was
# noticed up to a tick late, for which the time limits have no room.
def test_end_of_a_session_is_noticed_at_once(entry):
    entry.clock.advance(0.07)
    entry.echo_s = entry.clock.monotonic()
    entry.start()
    while not entry.upstream.stopped:
        delay_s = entry.server.sessions.next_due_s() - entry.clock.monotonic()
        entry.clock.advance(max(delay_s, 0.0))
        entry.iterate(receives=False)
    stopped_s = entry.clock.monotonic() - entry.echo_s
    assert stopped_s == pytest.approx(TIMING.session_s)


def test_session_that_is_renewed_and_expires_again_is_stopped_again(entry):
    entry.start(0)
    for _ in range(2):
        entry.clock.advance(TIMING.session_s / 2 + 0.01)
        entry.iterate(receives=False)
        entry.send()  # With an old echo, which keeps the link open.
    entry.echo_s = entry.clock.monotonic() - TIMING.session_s + 0.02
    entry.start(1)
    entry.iterate(receives=False)
    entry.clock.advance(0.03)  # Less than a tick.
    entry.iterate(receives=False)
    assert (ref(1), b"session over") in entry.upstream.stopped


# Guards against a sidecar that ends itself before the first entry has found it.
def test_sidecar_without_sessions_waits_for_its_tick(entry):
    entry.server.sessions.by_entry.clear()
    assert entry.server.run_once() > 0


def test_sidecar_sleeps_after_a_session_without_running_tasks(entry):
    """Its outcomes are kept, but nothing is due any more."""
    entry.start()
    entry.upstream.waiting.popleft()()
    entry.clock.advance(TIMING.session_s + 0.01)
    entry.iterate(receives=False)
    assert not entry.server.sessions.by_entry[ENTRY].is_idle
    assert entry.server.sessions.next_due_s() > entry.clock.monotonic()


def test_queued_task_is_not_started_after_the_session(entry):
    entry.start()
    entry.clock.advance(TIMING.session_s + 0.05)
    entry.upstream.waiting.popleft()()
    assert entry.upstream.starts == []


def test_cancelled_task_is_stopped(entry):
    entry.start()
    entry.send(Cancel([ref()]))
    assert [stop[0] for stop in entry.upstream.stopped] == [ref()]


def test_timing_that_lets_two_runs_overlap_is_refused():
    with pytest.raises(ValueError, match="lost_s must be at least"):
        LinkTiming(0.15, 0.45, lost_s=1.2, session_s=0.75, lease_s=0.45)
