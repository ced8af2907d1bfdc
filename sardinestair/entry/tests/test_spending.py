"""A job is charged exactly what its runs cost, and the rest is returned."""

import msgspec
import pytest

from sardinestair.clock import ManualClock
from sardinestair.entry.dispatcher import Dispatcher
from sardinestair.ids import Incarnation, JobId, new_incarnation
from sardinestair.jobs.request import JobRequest, ParsedRequest, TaskRequest
from sardinestair.limits.budget import JobReservation, TeamBudgets
from sardinestair.limits.money import MICROS_PER_MINOR, Micros, slot_cost
from sardinestair.limits.tests.test_budget import FakeStore
from sardinestair.links.entry_link import LinkState, handle_message
from sardinestair.messages import Announce, Grant, Outcome, TaskState
from sardinestair.observability import Metrics
from sardinestair.settings import parse_tree
from sardinestair.tests.fakes import FakeContext

BUDGET = 40
PRICE_PER_SLOT_HOUR = 3600  # One minor unit a slot-second.
MAX_TASK_S = 2.0
MAX_TASK_COST = slot_cost(MAX_TASK_S, PRICE_PER_SLOT_HOUR)
TASKS = 18
RUN_S = 0.0125
TREE = f"""
set: {{max_task_s: {MAX_TASK_S}}}
services: {{quotes: {{set: {{price_per_slot_hour: {PRICE_PER_SLOT_HOUR}}}}}}}
teams: {{poor: {{monthly_budget: {BUDGET}}}}}
"""


class Entry:
    """An entry with one upstream, whose outcomes the test reports."""

    def __init__(self):
        self.clock = ManualClock()
        self.dispatcher = Dispatcher(
            new_incarnation(), "z", self.clock, Metrics(), FakeContext()
        )
        self.dispatcher.configure(parse_tree(TREE).ok)
        self.budgets = TeamBudgets(FakeStore(), self.clock, lambda _: BUDGET)
        announce = Announce(
            Incarnation(b"s" * 16), "tcp://127.0.0.1:1", "z", "quotes", TASKS,
            False, 0,
        )  # fmt: skip
        self.link = self.dispatcher.handle_announcement(announce)
        self.link.state = LinkState.UP
        self.granted = 0
        self.jobs = 0

    def submit(self):
        self.jobs += 1
        self.granted += TASKS
        handle_message(Grant(self.granted), self.link)
        request = JobRequest(
            "quotes", "poor", [TaskRequest(msgspec.Raw(b"{}"))] * TASKS,
            deadline_s=10.0,
        )  # fmt: skip
        parsed = ParsedRequest(
            JobId(self.jobs.to_bytes(16, "big")), request, b"d"
        )
        total = Micros(TASKS * MAX_TASK_COST)
        assert self.budgets.reserve("poor", total).is_ok()
        charge = JobReservation(self.budgets, "poor", TASKS, MAX_TASK_COST)
        return self.dispatcher.submit(parsed, charge).ok

    def report(self, state, run_s, count=TASKS):
        """Ends this number of tasks; a new upstream gets few at a time."""
        while count and self.link.outstanding:
            count -= 1
            ref = next(iter(self.link.outstanding.values()))
            outcome = Outcome(ref, state, b"{}", True, run_s)
            handle_message(outcome, self.link)
            self.dispatcher.place_waiting()

    @property
    def spent(self):
        """What can no longer be spent of the budget, and is not reserved."""
        (value, _), *_ = self.budgets.store.data.values()
        reserved = msgspec.json.decode(value)["reserved"]
        return reserved - self.budgets.slices["poor"].available


@pytest.fixture
def entry():
    return Entry()


# Guards against an overcharge too small to exhaust a budget within a few jobs.
def test_answered_tasks_cost_what_their_runs_took(entry):
    for number in range(1, 6):
        job = entry.submit()
        assert (
            entry.spent
            == (number - 1) * TASKS * slot_cost(RUN_S, PRICE_PER_SLOT_HOUR)
            + TASKS * MAX_TASK_COST
        )
        entry.report(TaskState.DONE, RUN_S)
        assert job.done.result(0).is_ok()
        assert entry.spent == number * TASKS * slot_cost(
            RUN_S, PRICE_PER_SLOT_HOUR
        )
    assert entry.spent <= 4 * MICROS_PER_MINOR


def test_tasks_that_did_not_run_cost_nothing(entry):
    job = entry.submit()
    entry.report(TaskState.DONE, RUN_S, count=3)
    entry.dispatcher.cancel(job.job_id)
    entry.report(TaskState.NOT_RUN, 0.0)
    assert not entry.link.outstanding
    assert entry.spent == 3 * slot_cost(RUN_S, PRICE_PER_SLOT_HOUR)


def test_task_costs_its_maximum_at_most(entry):
    entry.submit()
    entry.report(TaskState.DONE, 10 * MAX_TASK_S)
    assert entry.spent == TASKS * MAX_TASK_COST
