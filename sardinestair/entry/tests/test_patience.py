"""Jobs that were submitted before, by the time for which callers still wait.

The load they answer: after an outage of all entries, callers submit the jobs of
the outage again beside new ones, and room is short until the queue is empty.
"""

import msgspec
import pytest

from sardinestair.entry.tests.harness import Entry
from sardinestair.ids import new_job_id
from sardinestair.jobs.request import JobRequest, ParsedRequest, TaskRequest
from sardinestair.limits.resources import Resources
from sardinestair.outcomes import ProblemKind, RefusalReason
from sardinestair.settings import parse_tree

OBJECTIVE_S = 0.5
USEFUL_S = 3 * OBJECTIVE_S
PATIENCE_S = 1.5
TREE = """
set: {{order: urgent_first, objective_s: 0.5, useful_factor: 3, patience_s: {}}}
services:
  quotes:
    zones:
      "*":
        kinds:
          urgent: {{set: {{priority: 0}}}}
          large: {{set: {{priority: 2}}}}
"""


@pytest.fixture
def entry():
    entry = Entry(max_attempts=3)
    entry.dispatcher.configure(parse_tree(TREE.format(PATIENCE_S)).ok)
    return entry


def submit(entry, age_s):
    """Submits a job whose first submission was a while ago, in seconds."""
    request = JobRequest(
        "quotes", "team", [TaskRequest(msgspec.Raw(b"{}"))], kind="urgent",
        deadline_s=PATIENCE_S + USEFUL_S - age_s, declared_task_s=0.1,
        need=Resources(1600, 64, 0),
    )  # fmt: skip
    return entry.dispatcher.submit(ParsedRequest(new_job_id(), request, b"d"))


def revoke_credits(entry):
    for link in entry.links.values():
        link.account.return_unused(link.account.available)
        entry.dispatcher.on_link_changed(link)
    entry.dispatcher.place_waiting()


def test_job_without_use_is_refused_at_once_with_a_spread_return(entry):
    refused = [submit(entry, USEFUL_S + 0.1).error for _ in range(8)]
    assert {problem.kind for problem in refused} == {ProblemKind.OVERLOADED}
    assert {problem.reason for problem in refused} == {RefusalReason.TOO_LATE}
    assert all(problem.not_run for problem in refused)
    assert len({problem.retry_after_s for problem in refused}) > 1
    assert entry.in_flight() == {}


def test_new_job_is_useful_and_in_time_as_before(entry):
    job = submit(entry, 0.0).ok
    assert not job.is_late
    assert job.useful_until_s - job.accepted_s == pytest.approx(USEFUL_S)


def test_job_submitted_again_is_useful_for_what_is_left(entry):
    job = submit(entry, 0.75).ok
    assert not job.is_late
    left_s = job.useful_until_s - job.accepted_s
    assert left_s == pytest.approx(USEFUL_S - 0.75)


def test_job_past_its_objective_waits_behind_new_ones(entry):
    revoke_credits(entry)
    old = submit(entry, USEFUL_S - 0.4).ok
    new = submit(entry, 0.0).ok
    assert old.is_late and not new.is_late
    queue = entry.dispatcher.services["quotes"].queue
    assert list(queue.jobs) == [new, old]


@pytest.mark.parametrize("age_s", [0.0, USEFUL_S - 0.1, USEFUL_S + 0.1])
def test_deadlines_say_nothing_without_the_setting(entry, age_s):
    entry.dispatcher.configure(parse_tree(TREE.format(0)).ok)
    job = submit(entry, age_s).ok
    assert not job.is_late
    expected_s = min(USEFUL_S, PATIENCE_S + USEFUL_S - age_s)
    assert job.useful_until_s - job.accepted_s == pytest.approx(expected_s)
