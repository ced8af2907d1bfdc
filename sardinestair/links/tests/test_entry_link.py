"""When an entry treats tasks as lost, and which credits it returns.

After a pause, an entry finds that no frame has arrived for long. It must query
the sidecar before it treats the tasks there as lost.
"""

import threading

import msgspec
import pytest

from sardinestair.clock import ManualClock
from sardinestair.ids import Incarnation, JobId
from sardinestair.limits.resources import Resources
from sardinestair.links.entry_link import EntryLink, LinkState
from sardinestair.links.timing import LinkTiming
from sardinestair.messages import (
    Announce,
    CreditReturn,
    Demand,
    EntryFrame,
    Grant,
    Resumed,
    SidecarFrame,
    TaskRef,
)
from sardinestair.observability import LinkUsage
from sardinestair.tests.fakes import FakeContext, FakeSocket

SIDECAR = Incarnation(b"s" * 16)
REF = TaskRef(JobId(b"j" * 16), 0, 1)


class FakeOwner:
    def __init__(self):
        self.lock = threading.RLock()
        self.epochs = 0
        self.link_usage = LinkUsage()
        self.lost = []
        self.demand = Demand(0, 0.0)

    def next_epoch(self):
        self.epochs += 1
        return self.epochs

    def on_tasks_lost(self, _link, refs):
        self.lost += refs

    def backlog_for(self, _link):
        return []

    def demand_for(self, _link):
        return self.demand

    def on_link_changed(self, _link):
        pass

    def unwanted_tasks(self, _link):
        return []

    def on_link_ready(self, _link):
        pass

    def on_credits_unused(self, _link):
        pass

    def place_waiting(self):
        pass


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def link(clock):
    announce = Announce(SIDECAR, "tcp://127.0.0.1:1", "z", "q", 8, False, 0)
    link = EntryLink(
        FakeOwner(), Incarnation(b"e" * 16), announce, LinkTiming(), clock,
        FakeContext(),
    )  # fmt: skip
    socket = FakeSocket()
    link.open_epoch(socket)
    frame = SidecarFrame(SIDECAR, 1, 1, [Resumed(True, [], []), Grant(1)])
    socket.inbox.append(msgspec.msgpack.encode(frame))
    assert link.receive(socket)
    assert link.state is LinkState.UP
    link.place(REF, 30.0, b"{}")
    yield link


def leased_link(clock, granted):
    announce = Announce(
        SIDECAR, "tcp://127.0.0.1:1", "z", "q", 16000, False, 0,
        Resources(16000, 65536, 0), True,
    )  # fmt: skip
    link = EntryLink(
        FakeOwner(), Incarnation(b"e" * 16), announce, LinkTiming(), clock,
        FakeContext(),
    )  # fmt: skip
    socket = FakeSocket()
    link.open_epoch(socket)
    messages = [Resumed(True, [], []), Grant(granted)]
    socket.inbox.append(
        msgspec.msgpack.encode(SidecarFrame(SIDECAR, 1, 1, messages))
    )
    assert link.receive(socket)
    return link


def test_pause_of_the_entry_does_not_lose_tasks(link, clock):
    clock.advance(60.0)
    assert link.is_silent()
    assert link.owner.lost == []
    assert REF in link.outstanding.values()


def test_tasks_are_lost_after_an_unanswered_resume(link, clock):
    timing = link.timing
    clock.advance(timing.silence_s + 0.1)
    assert link.is_silent()
    link.open_epoch(FakeSocket())
    clock.advance(timing.lost_s - timing.silence_s - 0.1)
    link.is_silent()
    assert link.owner.lost == []
    clock.advance(0.2)
    link.is_silent()
    assert link.owner.lost == [REF]


def test_reply_resets_the_loss_timeout(link, clock):
    socket = FakeSocket()
    link.open_epoch(socket)
    clock.advance(4.0)
    frame = SidecarFrame(SIDECAR, link.epoch, 1, [Resumed(True, [], [REF])])
    socket.inbox.append(msgspec.msgpack.encode(frame))
    assert link.receive(socket)
    clock.advance(1.0)
    assert not link.is_silent()
    assert link.owner.lost == []


def test_credits_too_few_for_the_next_task_are_given_back(clock):
    """If every entry kept them, much of an upstream would stay unused."""
    link = leased_link(clock, granted=1500)
    link.owner.demand = Demand(3200, -1.0, 1600)
    socket = FakeSocket()
    assert link.flush(socket)
    frame = msgspec.msgpack.decode(socket.sent[-1], type=EntryFrame)
    assert CreditReturn(1500) in frame.messages
    assert Demand(3200, -1.0, 1600) in frame.messages
    assert link.account.available == 0


def test_credits_are_kept_while_no_task_waits_for_them(clock):
    link = leased_link(clock, granted=1500)
    assert link.flush(FakeSocket())
    assert link.account.available == 1500


# Guards against jobs that are admitted and end late after the restart of many
# upstreams: cold ones get fewer tasks, but were counted as if they were warm.
def test_rate_counts_the_share_that_a_cold_upstream_gets(link):
    warm = link.rate
    link.candidate.warm_share = 0.25
    assert link.rate == pytest.approx(0.25 * warm)
