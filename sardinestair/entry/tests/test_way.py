"""Where the time of jobs goes: parts of runs, delays of frames, answers."""

import pytest

from sardinestair.entry.tests.harness import Entry
from sardinestair.entry.way_recorder import MAX_KINDS, WayRecorder
from sardinestair.jobs.way import JobWay
from sardinestair.links.lag import FrameLag
from sardinestair.messages import Outcome, TaskState
from sardinestair.observability import Metrics


@pytest.fixture
def way():
    way = JobWay(accepted_s=10.0)
    way.record_placement(0, 10.5)
    return way


def test_parts_add_up_to_the_time_since_acceptance(way):
    parts = way.record_end(0, 12.0, run_s=1.0, report_s=0.125, endpoint="a:1")
    assert (parts.wait_s, parts.order_s) == (0.5, 0.375)
    total_s = parts.wait_s + parts.overhead_s + parts.run_s
    assert total_s == pytest.approx(2.0)


def test_wait_of_a_repeated_task_counts_from_its_earlier_end(way):
    way.record_end(0, 11.0, 0.5, 0.0, "a:1")
    way.record_placement(0, 11.25)
    assert way.record_end(0, 12.0, 0.5, 0.0, "b:1").wait_s == 0.25


def test_longest_run_and_wait_may_be_of_different_tasks(way):
    way.record_placement(1, 13.0)
    way.record_end(0, 12.5, 2.0, 0.0, "slow:1")
    way.record_end(1, 13.5, 0.5, 0.0, "fast:1")
    assert way.longest_run.endpoint == "slow:1"
    assert way.longest_wait_s == 3.0
    assert way.last_run.endpoint == "fast:1"


def test_lag_is_measured_against_the_fastest_recent_frame():
    lag = FrameLag(window_s=2.0)
    lag.observe(sent_s=0.0, received_s=50.0)
    lag.observe(1.0, 51.25)
    assert lag.excess_s == 0.25


def test_lag_follows_clocks_that_drift():
    lag = FrameLag(window_s=2.0)
    for number in range(400):
        sent_s = number / 4
        lag.observe(sent_s, 50.0 + 1.02 * sent_s)
    assert lag.excess_s <= 0.02 * 2 * 2.0


def test_outcome_leaves_its_parts_in_the_metrics():
    entry = Entry(max_attempts=2)
    job = entry.submit().ok
    entry.clock.advance(0.5)
    [(sidecar, ref)] = entry.in_flight().values()
    outcome = Outcome(ref, TaskState.DONE, b"", False, 0.25, start_s=0.125)
    entry.receive(sidecar, outcome)
    entry.clock.advance(0.0625)
    entry.dispatcher.recorder.way.record_answer(job)
    text = entry.dispatcher.metrics.render()[0].decode()
    parts = {"wait": 0.0, "order": 0.375, "run": 0.125, "report": 0.0}
    for part, part_s in parts.items():
        labels = f'kind="default",part="{part}",service="quotes"'
        assert f"task_part_s_sum{{{labels}}} {part_s}" in text
    labels = 'kind="default",service="quotes"'
    assert f"job_answer_s_sum{{{labels}}} 0.0625" in text


def test_callers_who_invent_kinds_share_a_label():
    entry = Entry(max_attempts=1)
    job = entry.submit().ok
    recorder = WayRecorder(entry.clock, Metrics())
    for number in range(2 * MAX_KINDS):
        job.kind, job.way = f"kind-{number}", JobWay(accepted_s=0.0)
        recorder.record_answer(job)
    text = recorder.metrics.render()[0].decode()
    assert text.count("job_answer_s_sum{") == MAX_KINDS + 1


def test_answer_is_recorded_once():
    entry = Entry(max_attempts=1)
    job = entry.submit().ok
    for _ in range(2):
        entry.dispatcher.recorder.way.record_answer(job)
    text = entry.dispatcher.metrics.render()[0].decode()
    labels = 'kind="default",service="quotes"'
    assert f"job_answer_s_count{{{labels}}} 1.0" in text
