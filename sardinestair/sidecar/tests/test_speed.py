"""The speed of an upstream, as its sidecar sees it."""

import random

import pytest

from sardinestair.messages import TaskState
from sardinestair.sidecar.speed import MAX_KINDS, WINDOW, UpstreamSpeed

EXPECTED_S = 0.1
SIGMA = 0.35


class Runs:
    """Runs at an upstream, one after the other."""

    def __init__(self, seed=1):
        self.speed = UpstreamSpeed()
        self.draw = random.Random(seed)
        self.now_s = 100.0
        self.count = 0

    def run(self, slowdown, kind="quote", tail_share=0.0):
        self.count += 1
        self.speed.start(self.count, kind, EXPECTED_S, self.now_s)
        run_s = EXPECTED_S * slowdown * self.draw.lognormvariate(0, SIGMA)
        if self.draw.random() < tail_share:
            run_s *= 7
        self.now_s += 0.01
        self.speed.observe_end(self.count, TaskState.DONE, run_s, self.now_s)

    def slowdown(self, kind="quote"):
        found = {e.kind: e for e in self.speed.estimates(self.now_s)}
        return found[kind].slowdown if kind in found else 1.0


@pytest.mark.parametrize("slowdown", [1 / 1.2, 1.0, 1 / 0.55])
def test_slowdown_is_estimated_within_a_tenth(slowdown):
    errors = []
    for seed in range(40):
        runs = Runs(seed)
        for _ in range(WINDOW):
            runs.run(slowdown)
        errors.append(abs(runs.slowdown() / slowdown - 1))
    assert sorted(errors)[36] < 0.15
    assert sum(errors) / len(errors) < 0.1


# Pattern: 3 % of the runs take seven times as long, for no fault of the
# upstream.
def test_long_runs_do_not_make_a_sound_upstream_slow():
    found = []
    for seed in range(40):
        runs = Runs(seed)
        for _ in range(100):
            runs.run(1.0, tail_share=0.03)
            found.append(runs.slowdown())
    assert sum(s > 1.6 for s in found) / len(found) < 0.01


def test_upstream_that_turns_slow_is_seen_after_twelve_runs():
    runs = Runs()
    for _ in range(100):
        runs.run(1.0)
    for _ in range(12):
        runs.run(7.0)
    assert runs.slowdown() > 4.0
    for _ in range(12):
        runs.run(1.0)
    assert runs.slowdown() < 2.0


# Pattern: the tasks of an upstream stand still, so that none ends.
def test_overdue_runs_show_a_slow_upstream_before_any_has_ended():
    runs = Runs()
    for _ in range(WINDOW):
        runs.run(1.0)
    for number in range(10):
        runs.speed.start(f"held {number}", "quote", EXPECTED_S, runs.now_s)
    runs.now_s += 5 * EXPECTED_S
    assert runs.slowdown() > 3.0


def test_one_overdue_run_shows_nothing():
    runs = Runs()
    for _ in range(WINDOW):
        runs.run(1.0)
    before = runs.slowdown()
    runs.speed.start("held", "quote", EXPECTED_S, runs.now_s)
    runs.now_s += 7 * EXPECTED_S
    assert runs.slowdown() == before


def test_runs_without_a_result_count_only_if_they_took_long():
    speed = UpstreamSpeed()
    for number, state in enumerate(
        [TaskState.FAILED, TaskState.NOT_RUN, TaskState.INTERRUPTED]
    ):
        speed.start(number, "quote", EXPECTED_S, 0.0)
        speed.observe_end(number, state, 0.01, 0.01)
    assert speed.estimates(0.01) == []
    speed.start("stopped", "quote", EXPECTED_S, 0.0)
    speed.observe_end("stopped", TaskState.INTERRUPTED, 0.0, 0.7)
    assert speed.estimates(0.7)[0].samples == 1
    assert speed.active == {}


def test_start_without_an_expected_time_is_not_observed():
    speed = UpstreamSpeed()
    speed.start("run", "quote", 0.0, 0.0)
    speed.observe_end("run", TaskState.DONE, 0.1, 0.1)
    assert speed.estimates(0.1) == []


def test_kinds_and_announced_kinds_are_bounded():
    runs = Runs()
    for number in range(3 * MAX_KINDS):
        runs.run(1.0, kind=f"kind-{number}")
    assert len(runs.speed.log_ratios_) == MAX_KINDS
    assert len(runs.speed.estimates(runs.now_s)) <= 3
