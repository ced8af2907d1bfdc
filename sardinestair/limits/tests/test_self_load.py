"""An entry that lacks processor time counts its own delay."""

import pytest

from sardinestair.limits import AdmissionControl, ServiceLoad
from sardinestair.limits.self_load import PASSES, RECENT_S, EntryDelay
from sardinestair.outcomes import ProblemKind

TICK_S = 0.05
IDLE = ServiceLoad(0, 0, 0.2)
USEFUL_S = 0.75


def observe(delay, delay_s, duration_s, start_s=100.0):
    """Observes equally late timers for a time; returns its end."""
    ticks = round(duration_s / TICK_S)
    for tick in range(ticks):
        delay.observe(delay_s, start_s + tick * TICK_S)
    return start_s + ticks * TICK_S


def is_admitted(delay):
    admission = AdmissionControl(1000, 1 << 20)
    return admission.admit(delay.add_to(IDLE), 1, 10, USEFUL_S).is_ok()


# Pattern: unlike entries; the smallest gets a fifth of the processor time that
# its share of the connections needs.
def test_job_whose_answer_would_be_useless_is_refused():
    delay = EntryDelay()
    assert is_admitted(delay)
    observe(delay, 0.4, 4.0)
    assert not is_admitted(delay)


def test_entry_that_keeps_up_refuses_nothing():
    delay = EntryDelay()
    observe(delay, 0.005, 4.0)
    assert is_admitted(delay)


def test_one_slow_callback_refuses_nothing():
    delay = EntryDelay()
    end_s = observe(delay, 0.0, 2.0)
    delay.observe(1.0, end_s)
    assert is_admitted(delay)


def test_jobs_are_admitted_again_once_the_entry_keeps_up():
    delay = EntryDelay()
    end_s = observe(delay, 0.4, 4.0)
    observe(delay, 0.0, 4.0, end_s)
    assert is_admitted(delay)


def test_delay_is_added_for_each_pass_through_the_entry():
    delay = EntryDelay()
    observe(delay, 0.1, 20.0)
    expected_s = IDLE.expected_response_s + PASSES * 0.1
    found = delay.add_to(IDLE)
    assert found.expected_response_s == pytest.approx(expected_s, rel=0.01)
    assert (found.queued_tasks, found.queued_bytes) == (0, 0)


# Pattern: unlike processors. Elsewhere the job can be in time.
def test_job_that_only_this_entry_would_make_late_is_refused():
    delay = EntryDelay()
    assert delay.check(0.4).is_ok()
    observe(delay, 0.1, 4.0)
    problem = delay.check(0.4).error
    assert (problem.kind, problem.not_run) == (ProblemKind.OVERLOADED, True)
    assert delay.check(4.0).is_ok()


def test_job_that_can_not_be_in_time_anywhere_is_not_refused_for_that():
    delay = EntryDelay()
    observe(delay, 0.1, 4.0)
    assert delay.check(-0.1).is_ok()


def test_entry_that_has_caught_up_after_a_slow_callback_refuses_nothing():
    delay = EntryDelay()
    end_s = observe(delay, 0.0, 2.0)
    delay.observe(1.0, end_s)
    observe(delay, 0.0, RECENT_S + TICK_S, end_s + TICK_S)
    assert delay.check(0.01).is_ok()
