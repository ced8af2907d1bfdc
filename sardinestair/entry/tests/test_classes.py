"""What an entry reports of the classes of its waiting and started tasks."""

import msgspec
import pytest

from sardinestair.entry.tests.harness import A, Entry
from sardinestair.ids import new_job_id
from sardinestair.jobs.request import JobRequest, ParsedRequest, TaskRequest
from sardinestair.limits.credit_priority import demand_class
from sardinestair.limits.resources import Resources
from sardinestair.messages import Start
from sardinestair.settings import parse_tree

TASK_UNITS = 1600
OBJECTIVE_S = 0.5
TREE = f"""
set: {{order: least_slack, objective_s: {OBJECTIVE_S}}}
services:
  quotes:
    zones:
      "*":
        kinds:
          urgent: {{set: {{priority: 0}}}}
          large: {{set: {{priority: 2, objective_s: 9}}}}
"""


@pytest.fixture
def entry():
    entry = Entry(max_attempts=1)
    entry.dispatcher.configure(parse_tree(TREE).ok)
    return entry


def submit(entry, kind, tasks):
    request = JobRequest(
        "quotes", "team", [TaskRequest(msgspec.Raw(b"{}"))] * tasks,
        kind=kind, deadline_s=10.0, need=Resources(TASK_UNITS, 64, 0),
    )  # fmt: skip
    parsed = ParsedRequest(new_job_id(), request, b"d")
    return entry.dispatcher.submit(parsed).ok


def revoke_credits(entry):
    for link in entry.links.values():
        link.account.return_unused(link.account.available)
        entry.dispatcher.on_link_changed(link)
    entry.dispatcher.place_waiting()


def read_demand(entry):
    entry.dispatcher.run_periodic_checks()
    return entry.dispatcher.demand_for(entry.links[A])


def test_start_has_the_priority_of_its_job(entry):
    submit(entry, "large", 1)
    starts = [
        message
        for link in entry.links.values()
        for message in link.outbox
        if isinstance(message, Start)
    ]
    assert [start.priority for start in starts] == [2]


def test_demand_names_the_class_of_the_first_job_and_its_part(entry):
    revoke_credits(entry)
    submit(entry, "large", 6)
    submit(entry, "urgent", 2)
    demand = read_demand(entry)
    assert (demand.priority, demand.head_units) == (0, TASK_UNITS)
    assert demand.class_units == pytest.approx(demand.count / 4, abs=TASK_UNITS)
    assert demand.class_units < demand.count


def test_demand_of_one_priority_names_no_part(entry):
    revoke_credits(entry)
    submit(entry, "large", 6)
    demand = read_demand(entry)
    assert (demand.priority, demand.class_units) == (2, 0)


def test_late_jobs_are_reported_behind_all_classes(entry):
    revoke_credits(entry)
    submit(entry, "urgent", 2)
    entry.clock.advance(OBJECTIVE_S + 0.1)
    assert read_demand(entry).priority == demand_class(0, is_late=True)
    [report] = entry.dispatcher.backlog_for(entry.links[A])
    assert report.priority == demand_class(0, is_late=True)
