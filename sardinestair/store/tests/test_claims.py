"""Claims with lost answers, store outages and concurrent claims."""

import msgspec
import pytest
from expression import Error, Ok

from sardinestair.clock import ManualClock
from sardinestair.ids import new_incarnation, new_job_id
from sardinestair.observability import Metrics
from sardinestair.store.claims import (
    Claim,
    ClaimOutcome,
    ClaimWriter,
    claim_key,
)
from sardinestair.store.port import (
    CommitResult,
    KeyValue,
    StoreError,
    StoreErrorKind,
)

LOST = StoreError(StoreErrorKind.UNKNOWN, "answer lost")
DOWN = StoreError(StoreErrorKind.NOT_DONE, "refused")


class FakeStore:
    """Applies writes; `faults` lists the faults of the next calls in order."""

    def __init__(self):
        self.data = {}
        self.faults = []
        self.writes = 0

    def commit(self, swaps):
        self.writes += 1
        fault = self.faults.pop(0) if self.faults else "ok"
        if fault == "down":
            return Error(DOWN)
        held = [s.key for s in swaps if s.key in self.data]
        if not held:
            self.data.update({s.key: s.value for s in swaps})
        if fault == "lost":
            return Error(LOST)
        current = [KeyValue(k, self.data[k], 1) for k in held]
        return Ok(CommitResult(not held, 1, current))


@pytest.fixture
def store():
    return FakeStore()


@pytest.fixture
def clock():
    return ManualClock()


def make_writer(store, clock):
    return ClaimWriter(
        store, new_incarnation(), lambda: "http://e", clock, Metrics(), 1.0
    )


def submit_claim(writer, job_id, outcomes):
    writer.submit(job_id, lambda outcome, _claim: outcomes.append(outcome))


def write_all(writer):
    while writer.pending:
        writer.write_group(
            [writer.pending.popleft() for _ in range(len(writer.pending))]
        )


def test_pending_claims_are_written_in_one_group(store, clock):
    writer, outcomes = make_writer(store, clock), []
    for _ in range(5):
        submit_claim(writer, new_job_id(), outcomes)
    write_all(writer)
    assert outcomes == [ClaimOutcome.OWNED] * 5
    assert store.writes == 1


def test_retry_with_the_same_nonce_recognises_the_own_claim(store, clock):
    writer, outcomes = make_writer(store, clock), []
    store.faults = ["lost"]
    submit_claim(writer, new_job_id(), outcomes)
    write_all(writer)
    assert outcomes == [ClaimOutcome.OWNED]


def test_claim_of_another_entry_is_held(store, clock):
    job_id, outcomes = new_job_id(), []
    for writer in (make_writer(store, clock), make_writer(store, clock)):
        submit_claim(writer, job_id, outcomes)
        write_all(writer)
    assert outcomes == [ClaimOutcome.OWNED, ClaimOutcome.HELD]


def test_held_claim_does_not_block_the_rest_of_its_group(store, clock):
    taken, free = new_job_id(), new_job_id()
    rival = msgspec.json.encode(Claim("other", "1", "http://o"))
    store.data[claim_key(taken)] = rival
    writer, outcomes = make_writer(store, clock), []
    submit_claim(writer, taken, outcomes)
    submit_claim(writer, free, outcomes)
    write_all(writer)
    assert outcomes == [ClaimOutcome.HELD, ClaimOutcome.OWNED]


def test_store_outage_ends_in_unavailable_after_the_wait_limit(store, clock):
    writer, outcomes = make_writer(store, clock), []
    store.faults = ["down"]
    submit_claim(writer, new_job_id(), outcomes)
    clock.advance(1.5)
    write_all(writer)
    assert outcomes == [ClaimOutcome.UNAVAILABLE]
    assert not writer.reusable_claims


def test_resubmission_reuses_a_claim_in_doubt(store, clock):
    writer, outcomes, job_id = make_writer(store, clock), [], new_job_id()
    store.faults = ["lost"]
    submit_claim(writer, job_id, outcomes)
    clock.advance(1.5)
    write_all(writer)
    assert outcomes == [ClaimOutcome.UNAVAILABLE]
    submit_claim(writer, job_id, outcomes)
    write_all(writer)
    assert outcomes == [ClaimOutcome.UNAVAILABLE, ClaimOutcome.OWNED]


# Guards against one value in the store that ends each entry that reads it.
@pytest.mark.parametrize("value", [b"", b"{", b"[]", b"\xff", b"[" * 100_000])
def test_job_with_an_unreadable_claim_counts_as_held(store, clock, value):
    writer = make_writer(store, clock)
    job_id = new_job_id()
    store.data[claim_key(job_id)] = value
    outcomes = []
    writer.submit(job_id, lambda outcome, _claim: outcomes.append(outcome))
    writer.write_group([writer.pending.popleft()])
    assert outcomes == [ClaimOutcome.HELD]
