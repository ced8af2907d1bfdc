"""Room goes to the most urgent class of all entries, and none is starved.

The loads: urgent short tasks of one entry beside long ones of others that want
more than there is, and a class that always wants all.
"""

from collections import Counter

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sardinestair.ids import Incarnation
from sardinestair.limits.credit_priority import (
    LATE_CLASS,
    MIN_CLASS_SHARE,
    ClassGuarantee,
    demand_class,
    priority_of,
)
from sardinestair.limits.credits import UNSPENT_AGE_S, CreditLedger

A, B, C = (Incarnation(bytes([n]) * 16) for n in range(3))
GRANTS = 1000
# What a class must get of the room while a more urgent one wants all of it.
MIN_SERVED_SHARE = 0.04


@pytest.fixture
def ledger():
    ledger = CreditLedger(slots=0)
    for entry in (A, B, C):
        ledger.reset_entry(entry)
    return ledger


def free_slot(ledger, now_s=0.0):
    """Frees one slot, and returns the entry that it is granted to."""
    ledger.slots += 1
    [entry] = ledger.allocate(now_s)
    return entry


def test_urgent_task_goes_before_a_long_one_that_must_start_sooner(ledger):
    ledger.update_demand(A, 9, head_order_key_s=1.0, head_class=2)
    ledger.update_demand(B, 9, head_order_key_s=5.0, head_class=0)
    assert free_slot(ledger) == B


def test_within_a_class_the_order_key_decides(ledger):
    ledger.update_demand(A, 9, head_order_key_s=5.0, head_class=1)
    ledger.update_demand(B, 9, head_order_key_s=1.0, head_class=1)
    ledger.update_demand(C, 9, head_order_key_s=0.0, head_class=2)
    assert free_slot(ledger) == B


def test_late_urgent_job_goes_behind_all_that_can_be_in_time(ledger):
    ledger.update_demand(A, 9, 0.0, head_class=demand_class(0, is_late=True))
    ledger.update_demand(B, 9, 0.0, head_class=demand_class(2, is_late=False))
    assert free_slot(ledger) == B


def test_long_tasks_behind_an_urgent_one_gain_nothing_by_it(ledger):
    ledger.update_demand(A, 9, 0.0, head_class=0, class_units=1)
    ledger.update_demand(B, 1, 1.0, head_class=0)
    assert [free_slot(ledger) for _ in range(3)] == [A, B, A]


def test_no_class_is_starved_by_one_that_wants_all(ledger):
    ledger.update_demand(A, GRANTS, 0.0, head_class=0)
    ledger.update_demand(B, GRANTS, 1.0, head_class=1)
    ledger.update_demand(C, GRANTS, 2.0, head_class=2)
    served = Counter(free_slot(ledger) for _ in range(GRANTS))
    assert served[B] >= MIN_SERVED_SHARE * GRANTS
    assert served[C] >= MIN_SERVED_SHARE * GRANTS
    assert served[A] >= 0.85 * GRANTS


def test_large_tasks_of_a_less_urgent_class_get_the_same_share():
    ledger = CreditLedger(slots=0)
    for entry in (A, B):
        ledger.reset_entry(entry)
    units = Counter()
    for _ in range(GRANTS):
        ledger.update_demand(A, 9, 0.0, head_class=0)
        ledger.update_demand(B, 90, 0.0, head_units=10, head_class=2)
        ledger.slots += 1
        before = {entry: h.held for entry, h in ledger.holders.items()}
        for entry in ledger.allocate():
            units[entry] += ledger.holders[entry].held - before[entry]
    assert units[B] / GRANTS == pytest.approx(MIN_CLASS_SHARE, abs=0.02)


def test_late_jobs_take_no_room_from_those_in_time(ledger):
    ledger.update_demand(A, GRANTS, 0.0, head_class=0)
    ledger.update_demand(B, GRANTS, 0.0, head_class=LATE_CLASS)
    assert {free_slot(ledger) for _ in range(GRANTS // 2)} == {A}


def test_what_a_class_is_owed_is_bounded():
    guarantee = ClassGuarantee()
    wanted = {0: 1, 2: 1}
    for _ in range(GRANTS):
        guarantee.observe_grant(0, 1, wanted)
    burst = []
    for _ in range(10):
        burst.append(guarantee.next_class(wanted))
        guarantee.observe_grant(burst[-1], 1, wanted)
    assert burst.count(2) <= 2


def grant_unspent(ledger, head_class):
    """Lets an entry with demand of a class hold a credit that it may spend."""
    ledger.update_demand(A, 2, 0.0, head_class=head_class)
    assert free_slot(ledger, now_s=0.0) == A


def test_credit_left_unspent_is_recalled_for_a_more_urgent_class(ledger):
    grant_unspent(ledger, head_class=2)
    ledger.update_demand(B, 1, 0.0, head_class=0)
    assert ledger.start_recalls(UNSPENT_AGE_S / 2) == {}
    assert ledger.start_recalls(UNSPENT_AGE_S) == {A: 1}


def test_credit_is_not_recalled_for_the_same_class(ledger):
    grant_unspent(ledger, head_class=0)
    ledger.update_demand(C, 1, 0.0, head_class=2)
    ledger.update_demand(B, 1, 0.0, head_class=0)
    assert ledger.start_recalls(10 * UNSPENT_AGE_S) == {}


@settings(derandomize=True, database=None, max_examples=200)
@given(
    st.lists(
        st.tuples(
            st.integers(1, 9), st.floats(0, 100), st.booleans(),
        ),
        min_size=3, max_size=3, unique_by=lambda report: report[1],
    )
)  # fmt: skip
def test_one_priority_is_served_by_the_order_key_alone(reports):
    ledger = CreditLedger(slots=1)
    demands = zip((A, B, C), reports, strict=True)
    keys = {}
    for entry, (count, key_s, is_late) in demands:
        ledger.reset_entry(entry)
        ledger.update_demand(
            entry, count, key_s, head_class=demand_class(1, is_late)
        )
        keys[entry] = key_s
    assert ledger.allocate() == {min(keys, key=keys.get)}
    assert ledger.start_recalls(10 * UNSPENT_AGE_S) == {}


@pytest.mark.parametrize("is_late", [False, True])
def test_class_of_a_late_job_has_its_priority(is_late):
    assert priority_of(demand_class(7, is_late)) == 7
