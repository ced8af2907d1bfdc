"""Placement, admission and messages of an entry while zones are evacuated."""

import msgspec
import pytest

from sardinestair.entry.membership_server import MembershipServer
from sardinestair.entry.service_state import DISCOVERY_GRACE_S
from sardinestair.entry.tests.harness import A, B, Entry, make_announce
from sardinestair.entry.tests.test_gossip import gossip_with
from sardinestair.ids import new_job_id
from sardinestair.jobs.request import ParsedRequest
from sardinestair.limits.load_view import ClassLoad
from sardinestair.links.entry_link import LinkState
from sardinestair.membership import PeerDirectory, Roster
from sardinestair.messages import (
    EvacuationView,
    PeerReply,
    TaskState,
)
from sardinestair.outcomes import ProblemKind
from sardinestair.tests.fakes import FakeContext

EVACUATED = EvacuationView(6, {"z": 6})
B_EVACUATED = EvacuationView(6, {"y": 6})
RETURNED = EvacuationView(9)


@pytest.fixture
def entry():
    """An entry with sidecar A in zone z and B in zone y."""
    entry = Entry(max_attempts=1)
    entry.links[B].candidate.zone = "y"
    entry.clock.advance(DISCOVERY_GRACE_S)
    return entry


def sidecars_in_use(entry):
    return {sidecar for sidecar, _ in entry.in_flight().values()}


def test_tasks_go_to_the_other_zones(entry):
    entry.dispatcher.observe_evacuations(B_EVACUATED)
    assert entry.submit(tasks=8).is_ok()
    assert sidecars_in_use(entry) == {A}


def test_running_tasks_continue(entry):
    job = entry.submit(tasks=12).ok
    assert sidecars_in_use(entry) == {A, B}
    entry.dispatcher.observe_evacuations(B_EVACUATED)
    for index in range(12):
        entry.report_outcome(index, TaskState.DONE)
    assert job.done.result().is_ok()


def test_room_shrinks_at_once(entry):
    state = entry.dispatcher.service_state("quotes")
    throughput, slots = state.throughput(), state.slots
    entry.dispatcher.observe_evacuations(B_EVACUATED)
    assert state.throughput() == pytest.approx(throughput / 2)
    assert state.slots == slots // 2
    assert entry.dispatcher.has_available_upstreams()


# Guards against jobs that are admitted and end late during an evacuation: the
# work of all entries was counted as if the evacuated upstreams did a part.
def test_backlog_is_worked_off_by_the_other_zones(entry):
    state = entry.dispatcher.service_state("quotes")
    now_s = entry.clock.monotonic()
    for link in state.links.values():
        link.load.observe([], now_s)
    state.queue.waiting_by_class.add(0, tasks=4, work_s=8.0)
    before_s = state.load_view.backlog_s(0, now_s)
    entry.dispatcher.observe_evacuations(B_EVACUATED)
    after_s = state.load_view.backlog_s(0, now_s + 0.1)
    assert after_s == pytest.approx(2 * before_s)


# Guards against work that no other entry counts, as it was reported to sidecars
# of an evacuated zone, whose reports are not read.
def test_backlog_is_reported_to_the_other_zones(entry):
    state = entry.dispatcher.service_state("quotes")
    state.queue.waiting_by_class.add(0, tasks=4, work_s=8.0)
    entry.dispatcher.observe_evacuations(B_EVACUATED)
    reports = {
        sidecar: entry.dispatcher.backlog_for(link)
        for sidecar, link in state.links.items()
    }
    assert reports == {A: [ClassLoad(0, 8.0)], B: []}


def test_return_admits_tasks_again(entry):
    entry.dispatcher.observe_evacuations(B_EVACUATED)
    entry.dispatcher.observe_evacuations(RETURNED)
    entry.submit(tasks=12)
    assert sidecars_in_use(entry) == {A, B}


def test_older_view_after_the_return_is_ignored(entry):
    entry.dispatcher.observe_evacuations(RETURNED)
    entry.dispatcher.observe_evacuations(B_EVACUATED)
    entry.submit(tasks=12)
    assert sidecars_in_use(entry) == {A, B}


def whole_service_evacuated(entry):
    entry.dispatcher.observe_evacuations(EvacuationView(7, {"y": 6, "z": 7}))


def test_job_is_refused_at_once_if_the_whole_service_is_evacuated(entry):
    whole_service_evacuated(entry)
    refusal = entry.submit().error
    assert refusal.kind is ProblemKind.UNAVAILABLE
    assert refusal.not_run
    assert refusal.retry_after_s > 0
    assert not entry.dispatcher.has_available_upstreams()


def test_waiting_job_is_refused_if_the_whole_service_is_evacuated(entry):
    assert entry.submit(tasks=20).is_ok()  # Fills both upstreams.
    parsed = ParsedRequest(new_job_id(), entry.parsed().request, b"d")
    job = entry.dispatcher.submit(parsed).ok
    whole_service_evacuated(entry)
    refusal = job.done.result(0).error
    assert refusal.kind is ProblemKind.UNAVAILABLE
    assert refusal.not_run


def test_job_with_a_running_task_is_not_refused(entry):
    job = entry.submit().ok
    whole_service_evacuated(entry)
    entry.report_outcome(0, TaskState.DONE)
    assert job.done.result(0).is_ok()


def test_nothing_is_refused_before_upstreams_can_announce():
    entry = Entry(max_attempts=1)
    entry.dispatcher.observe_evacuations(EVACUATED)
    assert entry.submit().is_ok()


# Guards against tasks in an evacuated zone (rule EVAC): a restarted entry has
# an old view or none while the store is down. That of a sidecar decides.
def test_restarted_entry_adopts_the_view_of_a_sidecar(entry):
    announce = msgspec.structs.replace(make_announce(A), evacuations=EVACUATED)
    server = MembershipServer(
        "tcp://127.0.0.1:*",
        entry.dispatcher,
        Roster(),
        PeerDirectory(""),
        lambda _link: None,
        FakeContext(),
    )
    reply = server._answer(announce)
    assert reply.evacuations == EVACUATED
    entry.submit(tasks=8)
    assert sidecars_in_use(entry) == {B}
    assert entry.links[A].state is LinkState.UP


def test_entries_pass_evacuations_on():
    gossip = gossip_with(1)
    dispatcher = gossip.membership.dispatcher
    reply = PeerReply(dispatcher.incarnation, "", [], 0, b"", EVACUATED)
    gossip._handle_reply("10.0.0.0:1", reply)
    assert dispatcher.evacuations.zones == {"z"}
    assert gossip._make_hello().evacuations == EVACUATED
