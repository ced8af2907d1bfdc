"""Monthly budgets of teams, enforced by slices that entries reserve.

An entry reserves a slice of a team's budget in the store with a
compare-and-swap before it spends any of it, and can continue to spend its
slice while the store is unavailable. A reserved amount counts as spent until it
is returned, so all entries together never exceed the budget. The unspent part
of a slice is lost if the entry crashes.
"""

import threading
from collections.abc import Callable

import msgspec
from expression import Error, Ok, Result

from sardinestair.clock import Clock
from sardinestair.limits.money import (
    MICROS_PER_MINOR,
    Micros,
    month_name,
    next_month,
)
from sardinestair.observability import EventLog
from sardinestair.outcomes import Problem, ProblemKind
from sardinestair.store.port import ABSENT_REVISION, Store, Swap

__all__ = ["BudgetRecord", "BudgetSlice", "JobReservation", "TeamBudgets"]

PREFIX = "budgets/"
SLICES_PER_BUDGET = 200
MAX_SWAP_ATTEMPTS = 8


class BudgetRecord(msgspec.Struct, frozen=True):
    """Value of the key that holds a team's budget for one month.

    Attributes:
        reserved: Amount that entries have reserved and not returned.
    """

    reserved: Micros


class BudgetSlice(msgspec.Struct):
    """Part of a team's budget that an entry has reserved.

    Attributes:
        month: Month of the budget.
        available: Amount that is not spent.
    """

    month: str
    available: Micros = Micros(0)


class TeamBudgets:
    """Enforces the monthly budgets of all teams at one entry.

    Thread-safe.

    Args:
        store: Key-value store that the entries share.
        clock: Source of time.
        budget_of: Returns a team's monthly budget in minor units, or None if
            it has none.

    Attributes:
        slices: Current slice of each team.
    """

    def __init__(
        self,
        store: Store,
        clock: Clock,
        budget_of: Callable[[str], int | None],
    ):
        self.store = store
        self.clock = clock
        self.budget_of = budget_of
        self.slices: dict[str, BudgetSlice] = {}
        self.lock = threading.Lock()
        # Serialises calls of the store. Lock order: `store_lock` before `lock`.
        self.store_lock = threading.Lock()
        self.log = EventLog("budget")

    def reserve(self, team: str, amount: Micros) -> Result[None, Problem]:
        """Reserves the maximum cost of a job.

        Args:
            team: The caller's team.
            amount: Maximum cost of the job.

        Returns:
            Ok, or the problem that the caller receives.
        """
        budget = self.budget_of(team)
        if budget is None or self._spend_from_slice(team, amount):
            return Ok(None)
        with self.store_lock:
            # Another thread may have reserved a new slice in the meantime.
            if self._spend_from_slice(team, amount):
                return Ok(None)
            reserved = self._reserve_slice(team, budget, amount)
            if reserved.is_error():
                return reserved
            self._spend_from_slice(team, amount)
            return Ok(None)

    def refund(self, team: str, month: str, amount: Micros) -> None:
        """Returns an unspent amount to the slice, unless its month is over."""
        if self.budget_of(team) is None:
            return
        with self.lock:
            held = self._current_slice(team)
            if held.month == month:
                held.available = Micros(held.available + amount)

    def close(self) -> None:
        """Returns all slices to the store; called at a graceful shutdown."""
        with self.lock:
            slices, self.slices = self.slices, {}
        for team, held in slices.items():
            if held.month == self.month and held.available > 0:
                self._update_reserved(team, Micros(-held.available), None)

    @property
    def month(self) -> str:
        """The current month."""
        return month_name(self.clock.now())

    def _spend_from_slice(self, team: str, amount: Micros) -> bool:
        with self.lock:
            held = self._current_slice(team)
            if held.available < amount:
                return False
            held.available = Micros(held.available - amount)
            return True

    def _current_slice(self, team: str) -> BudgetSlice:
        held = self.slices.get(team)
        if held is None or held.month != self.month:
            held = self.slices[team] = BudgetSlice(self.month)
        return held

    def _reserve_slice(
        self, team: str, budget: int, amount: Micros
    ) -> Result[None, Problem]:
        """Reserves a slice, or only what is missing if the budget is low.

        A slice is at least `1 / SLICES_PER_BUDGET` of the budget.
        """
        limit = Micros(budget * MICROS_PER_MINOR)
        with self.lock:
            missing = Micros(amount - self._current_slice(team).available)
        slice_size = Micros(max(missing, limit // SLICES_PER_BUDGET))
        for slice_amount in dict.fromkeys((slice_size, missing)):
            changed = self._update_reserved(team, slice_amount, limit)
            if changed.is_error():
                return Error(changed.error)
            if changed.ok:
                self.refund(team, self.month, slice_amount)
                return Ok(None)
        return Error(self._exhausted(team, budget))

    def _update_reserved(
        self, team: str, amount: Micros, limit: Micros | None
    ) -> Result[bool, Problem]:
        """Adds an amount to the reserved part of a budget.

        A write without a response is not retried, since it may have succeeded;
        in that case the amount stays reserved and is never spent.

        Args:
            team: Team that the budget belongs to.
            amount: Amount to add; negative to return a slice.
            limit: The budget, or None to skip the check against it.

        Returns:
            True, or False if the limit would be exceeded.
        """
        key = f"{PREFIX}{self.month}/{team}"
        for _ in range(MAX_SWAP_ATTEMPTS):
            found = self.store.read(key)
            if found.is_error():
                return Error(_unavailable(found.error.reason))
            exact = [item for item in found.ok.items if item.key == key]
            reserved, revision = 0, ABSENT_REVISION
            if exact:
                record = msgspec.json.decode(exact[0].value, type=BudgetRecord)
                reserved, revision = record.reserved, exact[0].revision
            new_reserved = Micros(max(0, reserved + amount))
            if limit is not None and new_reserved > limit:
                return Ok(False)
            value = msgspec.json.encode(BudgetRecord(new_reserved))
            written = self.store.commit([Swap(key, value, revision)])
            if written.is_error():
                self.log.warning(
                    "reservation_unconfirmed", team=team, amount=amount
                )
                return Error(_unavailable(written.error.reason))
            if written.ok.succeeded:
                return Ok(True)
        return Error(
            _unavailable("too many concurrent updates by other entries")
        )

    def _exhausted(self, team: str, budget: int) -> Problem:
        now = self.clock.now()
        renews = next_month(now)
        return Problem(
            ProblemKind.BUDGET,
            f"team {team} has a budget of {budget} minor units for "
            f"{self.month}, and the job could cost more than is left; it "
            f"renews on {renews:%Y-%m-%d}",
            not_run=True,
            field="team",
            retry_after_s=round((renews - now).total_seconds(), 0),
        )


class JobReservation:
    """Amount reserved for a job, returned task by task.

    Args:
        budgets: The budgets that the amount was reserved from.
        team: The caller's team.
        tasks: Number of tasks of the job.
        max_task_cost: Maximum cost of one task.

    Attributes:
        month: Month whose budget is charged.
        open_tasks: Number of tasks that are neither settled nor released.
    """

    def __init__(
        self, budgets: TeamBudgets, team: str, tasks: int, max_task_cost: Micros
    ):
        self.budgets = budgets
        self.team = team
        self.max_task_cost = max_task_cost
        self.month = budgets.month
        self.open_tasks = tasks

    def settle(self, cost: Micros) -> None:
        """Charges a task that has run, and returns the rest of its share."""
        self.open_tasks -= 1
        rest = max(0, self.max_task_cost - cost)
        self.budgets.refund(self.team, self.month, Micros(rest))

    def release(self, tasks: int) -> None:
        """Returns the amount reserved for tasks that will not run."""
        self.open_tasks -= tasks
        amount = Micros(tasks * self.max_task_cost)
        self.budgets.refund(self.team, self.month, amount)


def _unavailable(reason: str) -> Problem:
    return Problem(
        ProblemKind.UNAVAILABLE,
        f"the budget could not be reserved: {reason}",
        not_run=True,
        retry_after_s=1.0,
    )
