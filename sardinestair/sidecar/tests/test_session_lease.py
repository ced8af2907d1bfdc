"""Tasks of a leased upstream are stopped when their session expires."""

import msgspec
import pytest

from sardinestair.clock import ManualClock
from sardinestair.ids import Incarnation, JobId
from sardinestair.limits.resources import Resources
from sardinestair.links.timing import LinkTiming
from sardinestair.messages import (
    Cancel,
    Demand,
    EntryFrame,
    Grant,
    Outcome,
    Resume,
    SidecarFrame,
    Start,
    TaskRef,
    TaskState,
)
from sardinestair.observability import Metrics
from sardinestair.sidecar.link_server import LinkServer
from sardinestair.tests.fakes import FakeContext, FakeUpstream
from sardinestair.upstreams import Announcement

TIMING = LinkTiming(0.15, 0.45, lost_s=1.3, session_s=0.75, lease_s=0.45)
ENTRY = Incarnation(b"e" * 16)
SIDECAR = Incarnation(b"s" * 16)
NEED = Resources(1600, 64, 0)
ANNOUNCEMENT = Announcement(
    "quotes", "http://127.0.0.1:1", 8, ttl_s=300,
    capacity=Resources(16000, 65536, 0),
)  # fmt: skip


def ref(index=0):
    return TaskRef(JobId(b"j" * 16), index, 1)


class FakeLeasedUpstream(FakeUpstream):
    is_leased = True

    def __init__(self):
        super().__init__([])
        self.stopped = []
        self.limits_s = []

    def stop(self, ref, reason=b"", within_s=None):
        self.stopped.append((ref, reason))
        self.limits_s.append(within_s)

    def close(self):
        pass


class FakeEntry:
    """An entry that exchanges frames with a sidecar directly."""

    def __init__(self):
        self.clock = ManualClock()
        self.clock.advance(100.0)
        self.upstream = FakeLeasedUpstream()
        self.server = LinkServer(
            "tcp://127.0.0.1:*", "z", SIDECAR, self.clock, Metrics(),
            FakeContext(), TIMING, lambda _announcement, _lost: self.upstream,
        )  # fmt: skip
        self.server.announce(ANNOUNCEMENT)
        self.sequence = 0
        self.echo_s = 0.0
        self.send(Resume(SIDECAR, []))
        self.iterate()

    def send(self, *messages):
        self.sequence += 1
        frame = EntryFrame(ENTRY, 1, self.sequence, list(messages), self.echo_s)
        self.server._handle_frame(b"r", frame)

    def iterate(self, receives=True):
        """Runs one iteration of the sidecar's loop; returns its messages."""
        self.server._tick()
        self.server._allocate_credits()
        self.server._flush()
        messages = []
        for _, data in self.server.socket.take_sent():
            frame = msgspec.msgpack.decode(data, type=SidecarFrame)
            messages += frame.messages
            if receives:
                self.echo_s = frame.sent_s
        return messages

    def start(self, index=0):
        self.send(Start(ref(index), 30.0, b"{}", NEED))


@pytest.fixture
def entry():
    return FakeEntry()


def refused(messages):
    return [m.body for m in messages if isinstance(m, Outcome)]


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
        delay_s = entry.server._next_due_s() - entry.clock.monotonic()
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
    entry.server.sessions.clear()
    assert entry.server.run_once() > 0


def test_sidecar_sleeps_after_a_session_without_running_tasks(entry):
    """Its outcomes are kept, but nothing is due any more."""
    entry.start()
    entry.upstream.waiting.popleft()()
    entry.clock.advance(TIMING.session_s + 0.01)
    entry.iterate(receives=False)
    assert not entry.server.sessions[ENTRY].is_idle
    assert entry.server._next_due_s() > entry.clock.monotonic()


def test_no_credit_while_the_lease_is_about_to_end(entry):
    entry.server.ledger.remove_entry(ENTRY)
    entry.server.ledger.reset_entry(ENTRY)
    entry.upstream.is_lease_ending = True
    entry.send(Demand(3200, 0.0, 1600))
    assert not [m for m in entry.iterate() if isinstance(m, Grant)]
    entry.upstream.is_lease_ending = False
    assert [m for m in entry.iterate() if isinstance(m, Grant)]


def test_queued_task_is_not_started_after_the_session(entry):
    entry.start()
    entry.clock.advance(TIMING.session_s + 0.05)
    entry.upstream.waiting.popleft()()
    assert entry.upstream.starts == []


def test_cancelled_task_is_stopped(entry):
    entry.start()
    entry.send(Cancel([ref()]))
    assert [stop[0] for stop in entry.upstream.stopped] == [ref()]


def test_no_credit_before_runs_of_an_earlier_sidecar_have_ended():
    entry = FakeEntry()
    entry.upstream.has_no_orphans = False
    entry.server.ledger.remove_entry(ENTRY)
    entry.server.ledger.reset_entry(ENTRY)
    entry.send(Demand(3200, 0.0, 1600))
    assert not [m for m in entry.iterate() if isinstance(m, Grant)]
    entry.upstream.has_no_orphans = True
    assert [m for m in entry.iterate() if isinstance(m, Grant)]


def test_capacity_is_never_exceeded_by_starts_without_credit(entry):
    big = Resources(9000, 64, 0)
    entry.send(Start(ref(0), 30.0, b"{}", big))
    entry.send(Start(ref(1), 30.0, b"{}", big))
    outcomes = [m for m in entry.iterate() if isinstance(m, Outcome)]
    assert [(o.task.index, o.state) for o in outcomes] == [
        (1, TaskState.NOT_RUN)
    ]
    assert entry.server.ledger.occupied_units == 9000


def test_credits_of_a_larger_capacity_do_not_exceed_a_smaller_one(entry):
    """A runner may restart with less capacity at the same address."""
    smaller = msgspec.structs.replace(
        ANNOUNCEMENT, capacity=Resources(8000, 65536, 0)
    )
    entry.server.announce(smaller)
    for index in range(8):
        entry.start(index)
    assert entry.server.ledger.occupied_units <= 8000


def announce_capacity(entry, capacity):
    entry.server.announce(
        msgspec.structs.replace(ANNOUNCEMENT, capacity=capacity)
    )


# Guards against a start on an upstream whose capacity has shrunk below what the
# task needs: such a task was started whenever the upstream was idle.
def test_task_that_exceeds_a_shrunk_capacity_is_refused(entry):
    announce_capacity(entry, Resources(1000, 65536, 0))
    entry.start()
    assert refused(entry.iterate()) == [b"no free slot"]
    assert not entry.upstream.waiting


# Guards against a start over a capacity of which another resource has shrunk:
# running tasks went on to count by their share of the earlier capacity.
def test_running_tasks_count_by_the_capacity_in_force(entry):
    entry.send(Start(ref(0), 30.0, b"{}", Resources(1600, 32768, 0)))
    announce_capacity(entry, Resources(16000, 40000, 0))
    entry.send(Start(ref(1), 30.0, b"{}", Resources(100, 8000, 0)))
    assert len(entry.upstream.waiting) == 1
    assert refused(entry.iterate()) == [b"no free slot"]


def test_capacity_that_has_grown_again_is_used(entry):
    announce_capacity(entry, Resources(1600, 65536, 0))
    entry.start(0)
    entry.start(1)
    assert len(entry.upstream.waiting) == 1
    announce_capacity(entry, ANNOUNCEMENT.capacity)
    entry.start(2)
    assert len(entry.upstream.waiting) == 2


def test_task_that_is_being_stopped_counts(entry):
    for index in range(10):
        entry.start(index)
    entry.send(Cancel([ref(0)]))
    entry.start(10)
    assert len(entry.upstream.waiting) == 10
    entry.send(Demand(1600, 0.0, 1600))
    entry.iterate()
    entry.start(11)
    assert len(entry.upstream.waiting) == 10
    entry.upstream.waiting.popleft()()  # The end of the stopped task.
    entry.iterate()
    entry.start(12)
    assert len(entry.upstream.waiting) == 10


# Guards against accounts of entry and sidecar that drift apart: the entry
# spends credits by the capacity that it knows, which may be an earlier one.
def test_start_spends_the_credits_that_the_entry_has_spent(entry):
    holder = entry.server.ledger.holders[ENTRY]
    need = Resources(1600, 32768, 0)
    announce_capacity(entry, Resources(16000, 32768, 0))
    entry.send(Start(ref(0), 30.0, b"{}", need, units=8000))
    assert holder.spent == 8000


def test_timing_that_lets_two_runs_overlap_is_refused():
    with pytest.raises(ValueError, match="lost_s must be at least"):
        LinkTiming(0.15, 0.45, lost_s=1.2, session_s=0.75, lease_s=0.45)
