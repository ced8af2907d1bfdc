"""A sidecar of an evacuated zone starts nothing, whatever entries send."""

import msgspec
import pytest

from sardinestair.ids import Incarnation
from sardinestair.messages import (
    CreditReturn,
    Demand,
    EntryFrame,
    EvacuationView,
    Grant,
    Leaving,
    Outcome,
    Resume,
    SidecarFrame,
    TaskState,
)
from sardinestair.sidecar.tests.harness import (
    ANNOUNCEMENT,
    ENTRY,
    SIDECAR,
    ref,
)
from sardinestair.upstreams import Announcement

EVACUATED = EvacuationView(6, {"z": 6})
RETURNED = EvacuationView(9)


def of_type(messages, kind):
    return [message for message in messages if isinstance(message, kind)]


def test_late_start_of_an_entry_that_was_not_informed_is_refused(entry):
    entry.server.observe_evacuations(EVACUATED)
    entry.start()
    (outcome,) = of_type(entry.iterate(), Outcome)
    assert outcome.state is TaskState.NOT_RUN
    assert outcome.body == b"zone evacuated"
    assert not entry.upstream.waiting


def test_task_that_waits_for_its_upstream_is_not_started(entry):
    entry.start()
    entry.server.observe_evacuations(EVACUATED)
    entry.upstream.waiting.popleft()()
    (outcome,) = of_type(entry.iterate(), Outcome)
    assert outcome.state is TaskState.NOT_RUN
    assert entry.upstream.starts == []


def test_running_task_continues(entry):
    entry.start()
    result = entry.upstream.waiting.popleft()
    entry.server.observe_evacuations(EVACUATED)
    assert entry.upstream.stopped == []
    entry.server.observe_evacuations(RETURNED)
    result()
    (outcome,) = of_type(entry.iterate(), Outcome)
    assert outcome.state is TaskState.DONE


def test_credits_are_taken_back_and_none_are_granted(entry):
    entry.server.observe_evacuations(EVACUATED)
    assert of_type(entry.iterate(), Leaving)
    granted = entry.server.ledger.holders[b"e" * 16].granted
    entry.send(CreditReturn(granted), Demand(1600, 0.0, 1600))
    assert not of_type(entry.iterate(), Grant)


def test_evacuation_of_another_zone_changes_nothing(entry):
    entry.server.observe_evacuations(EvacuationView(6, {"y": 6}))
    assert entry.server.availability.accepts_tasks
    assert not of_type(entry.iterate(), Leaving)


def test_return_grants_credits_at_once(entry):
    entry.server.observe_evacuations(EVACUATED)
    entry.iterate()
    granted = entry.server.ledger.holders[b"e" * 16].granted
    entry.send(CreditReturn(granted))
    entry.server.observe_evacuations(RETURNED)
    (grant,) = of_type(entry.iterate(), Grant)
    assert grant.total > granted


def test_changed_capacity_of_an_evacuated_upstream_admits_no_tasks(entry):
    entry.server.observe_evacuations(EVACUATED)
    entry.iterate()
    other = Announcement("quotes", "http://127.0.0.1:1", 8, ttl_s=200)
    entry.server.announce(other)
    entry.start()
    messages = entry.iterate()
    assert not of_type(messages, Grant)
    assert of_type(messages, Outcome)[0].task == ref()


def test_evacuation_beside_a_drain(entry):
    """Neither the end of the one nor of the other alone admits tasks."""
    entry.server.observe_evacuations(EVACUATED)
    entry.server.leave()
    entry.server.observe_evacuations(RETURNED)
    assert not entry.server.availability.accepts_tasks
    entry.iterate()
    entry.server.announce(ANNOUNCEMENT)
    assert entry.server.availability.accepts_tasks
    entry.server.leave()
    entry.server.observe_evacuations(EvacuationView(12, {"z": 11}))
    entry.server.announce(ANNOUNCEMENT)
    assert not entry.server.availability.accepts_tasks


def test_entries_receive_the_view(entry):
    entry.server.observe_evacuations(EVACUATED)
    assert entry.server.description().evacuations == EVACUATED


# Soak seed 52021: while others wanted all of the room, an entry got no credits
# after the return, took the upstream for leaving, and asked for none either.
@pytest.mark.parametrize("returns", ["zone", "upstream"])
def test_entry_without_demand_is_told_of_the_return(entry, returns):
    server = entry.server
    other = Incarnation(b"o" * 16)
    server._handle_frame(
        b"o", EntryFrame(other, 1, 1, [Resume(SIDECAR, [])], 0.0)
    )
    if returns == "zone":
        server.observe_evacuations(EVACUATED)
    else:
        server.leave()
    entry.iterate()
    granted = server.ledger.holders[ENTRY].granted
    entry.send(CreditReturn(granted))
    demand = Demand(1_000_000, 0.0, 1600)
    server._handle_frame(b"o", EntryFrame(other, 1, 2, [demand], 0.0))
    if returns == "zone":
        server.observe_evacuations(RETURNED)
    else:
        server.announce(ANNOUNCEMENT)
    server._allocate_credits()
    server._flush()
    frames = [
        msgspec.msgpack.decode(data, type=SidecarFrame)
        for route, data in server.socket.take_sent()
        if route == b"r"
    ]
    messages = [message for frame in frames for message in frame.messages]
    assert [grant.total for grant in of_type(messages, Grant)] == [granted]


def test_grant_that_was_not_sent_does_not_revoke_the_evacuation(entry):
    granted = entry.server.ledger.holders[ENTRY].granted
    entry.send(CreditReturn(granted), Demand(1600, 0.0, 1600))
    entry.server._allocate_credits()
    entry.server.observe_evacuations(EVACUATED)
    messages = entry.iterate()
    assert of_type(messages, Leaving)
    assert not of_type(messages, Grant)
    entry.server.observe_evacuations(RETURNED)
    (grant,) = of_type(entry.iterate(), Grant)
    assert grant.total > granted
