"""Tests of the log lines and metrics of ended jobs."""

import pytest

from sardinestair.clock import ManualClock
from sardinestair.entry.recorder import JobRecorder
from sardinestair.entry.service_state import ServiceState
from sardinestair.ids import Incarnation, new_job_id
from sardinestair.jobs import Job
from sardinestair.jobs.job import TaskAnswer
from sardinestair.jobs.work import JobRunTimeEstimator
from sardinestair.observability import Metrics
from sardinestair.settings import ServiceSettings

ACCEPTED_S = 100.0
TARGET_S = 100.5
SIDECAR = Incarnation(b"s" * 16)


class FakeLog:
    def __init__(self):
        self.lines = []

    def info(self, event, **fields):
        self.lines.append((event, fields))

    def debug(self, event, **fields):
        pass


@pytest.fixture
def log():
    return FakeLog()


@pytest.fixture
def metrics():
    return Metrics()


@pytest.fixture
def record(log, metrics):
    """Returns a function that completes a job of two tasks and records it."""
    state = ServiceState("quotes", ServiceSettings(), ACCEPTED_S)
    recorder = JobRecorder(ManualClock(), metrics, log)

    def record(ended_s):
        job = Job(
            new_job_id(), "quotes", "tills", "large", [b"", b""], ACCEPTED_S,
            ACCEPTED_S + 5, JobRunTimeEstimator(0.25), b"",
            soft_deadline_s=TARGET_S,
        )  # fmt: skip
        for started_s in (100.125, 100.25):
            index = job.dequeue(SIDECAR)
            job.record_start(started_s)
            job.way.record_placement(index, started_s)
            job.way.record_end(index, 100.75, 0.25, 0.125, "slow:1")
            job.record_answer(index, TaskAnswer(b"", False))
        recorder.record_end(job, state, ended_s)

    return record


def test_late_answer_leaves_a_line_with_its_waits(record, log):
    record(ended_s=101.0)
    [(event, fields)] = log.lines
    assert event == "job_late"
    expected = {
        "response_s": 1.0,
        "objective_s": 0.5,
        "expected_task_s": 0.25,
        "first_start_s": 0.125,
        "last_start_s": 0.25,
        "runs": 2,
        "tasks": 2,
        "longest_wait_s": 0.25,
        "longest_run_s": 0.25,
        "longest_overhead_s": 0.375,
        "slowest_sidecar": "slow:1",
        "last_wait_s": 0.25,
        "last_order_s": 0.125,
        "last_report_s": 0.125,
    }
    assert expected.items() <= fields.items()


def test_answer_in_time_leaves_none(record, log):
    record(ended_s=TARGET_S)
    assert log.lines == []


def test_waits_are_measured(record, metrics):
    record(ended_s=101.0)
    text = metrics.render()[0].decode()
    assert 'sardinestair_job_first_start_s_sum{service="quotes"} 0.125' in text
    assert 'sardinestair_job_stretch_sum{service="quotes"} 4.0' in text
