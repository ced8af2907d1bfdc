"""Credits and starts stay within the capacity of the upstream."""

import msgspec

from sardinestair.limits.resources import Resources
from sardinestair.messages import (
    Cancel,
    Demand,
    Grant,
    Outcome,
    Start,
    TaskState,
)
from sardinestair.sidecar.tests.harness import (
    ANNOUNCEMENT,
    ENTRY,
    FakeEntry,
    ref,
    refused,
)


def test_no_credit_while_the_lease_is_about_to_end(entry):
    entry.server.ledger.remove_entry(ENTRY)
    entry.server.ledger.reset_entry(ENTRY)
    entry.upstream.is_lease_ending = True
    entry.send(Demand(3200, 0.0, 1600))
    assert not [m for m in entry.iterate() if isinstance(m, Grant)]
    entry.upstream.is_lease_ending = False
    assert [m for m in entry.iterate() if isinstance(m, Grant)]


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
# spends credits by the capacity announced to it, which may be an earlier one.
def test_start_spends_the_credits_that_the_entry_has_spent(entry):
    holder = entry.server.ledger.holders[ENTRY]
    need = Resources(1600, 32768, 0)
    announce_capacity(entry, Resources(16000, 32768, 0))
    entry.send(Start(ref(0), 30.0, b"{}", need, units=8000))
    assert holder.spent == 8000
