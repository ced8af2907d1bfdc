"""Uneven demand and unlike upstreams, beside two other policies.

A calm load leaves enough room on the fast upstreams for all work, so that 98 %
of the jobs can be in time, whatever entry they come to. Where some runs take
seven times as long, no placement serves all jobs in time.
"""

import functools

import pytest

from sardinestair.emulator.uneven import policies_for, run_uneven

MIN_IN_TIME = 0.98
# Part of the jobs of the hot rack: those that come while it is full.
MIN_IN_TIME_HOT_RACK = 0.93
MIN_GAIN_HOT_RACK = 0.1
# Estimates of sound upstreams; a slow one takes 1.8 times as long.
MAX_SPEED_ERROR = 1.5
TODAY = "least_expected_finish"
OBJECTIVE = "meet_objective"
# Messages that the policy may add.
MAX_FRAMES_RATIO = 1.2
# What messages add to the run time of a short task.
MESSAGES_RATIO = 1.01


@functools.cache
def results(pattern):
    return {
        policy: run_uneven(pattern, policy) for policy in policies_for(pattern)
    }


@pytest.mark.parametrize(
    "pattern",
    ["a quarter slow", "fresh entry", "zones in antiphase", "unlike entries"],
)
def test_jobs_are_in_time_at_a_calm_load(pattern):
    found = results(pattern)
    assert found[OBJECTIVE].in_time >= MIN_IN_TIME, found
    assert found[OBJECTIVE].in_time >= found["least_outstanding"].in_time


def test_fresh_entry_places_as_well_as_an_old_one():
    found = results("fresh entry")
    assert found[OBJECTIVE].in_time >= found[TODAY].in_time
    # Both start short jobs on slow upstreams; only their messages differ.
    limit = MESSAGES_RATIO * found["least_outstanding"].stretch_p99
    assert found[OBJECTIVE].stretch_p99 <= limit


def test_long_runs_do_not_make_sound_upstreams_slow():
    found = results("long tail")
    assert max(found[TODAY].speed_errors) > MAX_SPEED_ERROR
    assert max(found[OBJECTIVE].speed_errors) < MAX_SPEED_ERROR
    assert found[OBJECTIVE].ejections == 0


def test_jobs_for_a_hot_rack_run_there_as_long_as_it_has_room():
    found = results("hot rack")
    assert found[OBJECTIVE].in_time >= MIN_IN_TIME_HOT_RACK, found
    gain = found[OBJECTIVE].in_time - found[TODAY].in_time
    assert gain >= MIN_GAIN_HOT_RACK


@pytest.mark.parametrize("pattern", ["a quarter slow", "hot rack"])
def test_messages_of_a_task_do_not_grow(pattern):
    found = results(pattern)
    limit = MAX_FRAMES_RATIO * found[TODAY].frames_per_task
    assert found[OBJECTIVE].frames_per_task <= limit


# Without the refusals, two entries of six that can't keep up hold credits that
# they use late, and the jobs of all entries wait for these.
@pytest.mark.parametrize("other", ["least_outstanding", TODAY, OBJECTIVE])
def test_entries_that_can_not_keep_up_leave_their_jobs_to_others(other):
    found = results("unlike processors")
    own_delay, compared = found["own_delay"], found[other]
    assert own_delay.in_time > compared.in_time
    assert own_delay.stretch_p50 < compared.stretch_p50
    assert own_delay.stretch_p99 < compared.stretch_p99
