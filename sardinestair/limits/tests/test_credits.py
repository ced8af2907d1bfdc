"""Credits never exceed the slots, and the most urgent demand goes first."""

from hypothesis import given, settings
from hypothesis import strategies as st

from sardinestair.ids import Incarnation
from sardinestair.limits.credits import CreditAccount, CreditLedger

A, B, C = (Incarnation(bytes([n]) * 16) for n in range(3))


def make_ledger(*entries, slots=4, read_ahead=0):
    ledger = CreditLedger(slots, read_ahead)
    for entry in entries:
        ledger.reset_entry(entry)
    return ledger


def test_idle_slots_are_spread_evenly():
    ledger = make_ledger(A, B)
    ledger.allocate()
    assert [h.held for h in ledger.holders.values()] == [2, 2]


def test_free_slot_goes_to_the_most_urgent_entry():
    ledger = make_ledger(A, B, slots=1)
    ledger.update_demand(A, 5, head_order_key_s=2.0)
    ledger.update_demand(B, 5, head_order_key_s=1.0)
    assert ledger.allocate() == {B}


def test_entry_that_gets_a_frame_anyway_goes_first_if_about_as_urgent():
    ledger = make_ledger(A, B, slots=1)
    ledger.update_demand(A, 5, head_order_key_s=1.1)
    ledger.update_demand(B, 5, head_order_key_s=1.0)
    assert ledger.allocate(addressed={A}) == {A}


def test_much_more_urgent_entry_goes_first_whoever_gets_a_frame():
    ledger = make_ledger(A, B, slots=1)
    ledger.update_demand(A, 5, head_order_key_s=1.5)
    ledger.update_demand(B, 5, head_order_key_s=1.0)
    assert ledger.allocate(addressed={A}) == {B}


def test_more_urgent_class_goes_first_whoever_gets_a_frame():
    ledger = make_ledger(A, B, slots=1)
    ledger.update_demand(A, 5, head_order_key_s=1.0, head_class=1)
    ledger.update_demand(B, 5, head_order_key_s=1.0, head_class=0)
    assert ledger.allocate(addressed={A}) == {B}


def test_idle_credits_are_recalled_for_unmet_demand():
    ledger = make_ledger(A, B)
    ledger.allocate()
    ledger.update_demand(B, 3, head_order_key_s=0.0)
    assert ledger.start_recalls() == {A: 2}
    assert ledger.start_recalls() == {}  # The first recall is pending.
    ledger.update_returned(A, 2)
    assert ledger.allocate() == {B}


def test_removed_entry_frees_its_credits():
    ledger = make_ledger(A, B)
    ledger.allocate()
    ledger.remove_entry(A)
    ledger.allocate()
    assert ledger.holders[B].held == 4


def test_start_without_credit_is_refused():
    ledger = make_ledger(A, slots=0)
    ledger.allocate()
    assert not ledger.spend(A)
    assert not ledger.spend(C)


@settings(derandomize=True, database=None, max_examples=200)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(["demand", "spend", "return", "finish", "reopen"]),
            st.sampled_from([A, B, C]),
            st.integers(0, 5),
        ),
        max_size=60,
    )
)
def test_credits_and_running_tasks_never_exceed_the_slots(steps):
    ledger = make_ledger(A, B, C)
    accounts = {entry: CreditAccount() for entry in (A, B, C)}
    for action, entry, number in steps:
        account = accounts[entry]
        if action == "demand":
            ledger.update_demand(entry, number, float(number))
        elif action == "spend" and account.available:
            account.spend()
            assert ledger.spend(entry)
            ledger.occupied_units += 1
        elif action == "return":
            ledger.update_returned(entry, account.return_unused(number))
        elif action == "finish" and ledger.occupied_units:
            ledger.occupied_units -= 1
        elif action == "reopen":
            account.reset()
            ledger.reset_entry(entry)
        for granted in ledger.allocate():
            accounts[granted].grant(ledger.holders[granted].granted)
        held = sum(a.available for a in accounts.values())
        assert held + ledger.occupied_units <= ledger.slots
        asks = any(h.unmet for h in ledger.holders.values())
        assert ledger.free == 0 or not asks


# Guards against grants to all entries between two demands, each of which then
# recalls what the others hold.
def test_free_units_are_kept_for_a_time_after_the_last_demand():
    ledger = make_ledger(A, B, slots=4)
    ledger.idle_grant_delay_s = 0.3
    ledger.update_demand(A, 1, head_order_key_s=1.0, now_s=10.0)
    assert ledger.allocate(now_s=10.0) == {A}
    ledger.update_demand(A, 0, head_order_key_s=0.0, now_s=10.1)
    assert ledger.allocate(now_s=10.2) == set()
    ledger.update_demand(B, 1, head_order_key_s=1.0, now_s=10.2)
    assert ledger.allocate(now_s=10.2) == {B}
    assert ledger.start_recalls(now_s=10.2) == {}
    ledger.update_demand(B, 0, head_order_key_s=0.0, now_s=10.3)
    assert ledger.allocate(now_s=10.3) == set()
    assert ledger.allocate(now_s=10.61) == {A, B}
    assert ledger.free == 0


def test_free_units_are_granted_at_once_without_a_delay():
    ledger = make_ledger(A, B, slots=4)
    ledger.update_demand(A, 1, head_order_key_s=1.0, now_s=10.0)
    ledger.allocate(now_s=10.0)
    ledger.update_demand(A, 0, head_order_key_s=0.0, now_s=10.1)
    assert ledger.allocate(now_s=10.1) == {A, B}
