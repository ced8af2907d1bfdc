"""Admission of the jobs of one service by urgency class."""

import math
from collections import defaultdict
from collections.abc import Iterable
from typing import Protocol

import msgspec
from expression import Error, Ok, Result

from sardinestair.ids import JobId
from sardinestair.limits.credit_priority import demand_class
from sardinestair.limits.fair_shares import FairShares
from sardinestair.limits.feasibility import (
    ArrivalEstimator,
    GuaranteedShare,
    LoadAhead,
    spread_retry_s,
    usable_slack_s,
)
from sardinestair.limits.resources import Resources
from sardinestair.links.entry_link import EntryLink, LinkState
from sardinestair.outcomes import Problem, ProblemKind, RefusalReason
from sardinestair.placement import ReadyQueue

__all__ = ["Applicant", "BacklogView", "ClassAdmission", "Room"]


class BacklogView(Protocol):
    """What is known of the work that waits at all entries."""

    def backlog_s(self, priority: int, now_s: float) -> float | None:
        """Returns the work that waits in classes at least as urgent.

        Args:
            priority: The least urgent class to count.
            now_s: Current time in seconds.

        Returns:
            The work in seconds of the service's throughput, or None if it is
            not known.
        """


class Applicant(msgspec.Struct, frozen=True):
    """A job for which admission is requested.

    Attributes:
        job_id: Id of the job.
        team: The caller's team.
        priority: Its class.
        tasks: Number of its tasks.
        run_s: Expected run time of each on a typical upstream, in seconds.
        objective_s: Its response time objective, in seconds.
        useful_s: Response time up to which an answer is of use, in seconds.
        need: Resources that each task needs, or None if not specified.
    """

    job_id: JobId
    team: str
    priority: int
    tasks: int
    run_s: float
    objective_s: float
    useful_s: float
    need: Resources | None = None

    @property
    def slack_s(self) -> float:
        """Time for which its last task may wait and be in time, in seconds."""
        return self.objective_s - self.run_s

    @property
    def useful_slack_s(self) -> float:
        """Time for which it may wait and be of use, in seconds."""
        return self.useful_s - self.run_s


class Room(msgspec.Struct, frozen=True):
    """Room for the tasks of one job at the upstreams of a service.

    Attributes:
        tasks_per_s: Tasks that this entry can start per second on upstreams
            that are fast enough for the job.
        throughput: Run time that this entry gets done on them per second.
        is_free: True if this entry has free credits for all tasks of the job.
        is_free_elsewhere: The same at upstreams of any speed on which the
            answer is of use, if late.
    """

    tasks_per_s: float
    throughput: float
    is_free: bool
    is_free_elsewhere: bool = False

    @classmethod
    def of(
        cls,
        links: Iterable[EntryLink],
        share: float,
        applicant: Applicant | None = None,
    ) -> "Room":
        """Returns the room for a job.

        Args:
            links: Links to the service's upstreams.
            share: This entry's share of the upstreams when all entries have
                demand.
            applicant: The job, or None for a job of any speed.
        """
        limit = useful_limit = math.inf
        tasks = 0
        if applicant is not None:
            limit = applicant.objective_s / applicant.run_s
            useful_limit = applicant.useful_s / applicant.run_s
            tasks = applicant.tasks
        own_tasks = own_work = all_tasks = all_work = 0.0
        free_tasks = free_elsewhere = 0
        for link in links:
            candidate = link.candidate
            free = 0
            if applicant and free_tasks < tasks and candidate.credits:
                units = candidate.units_needed(applicant.need)
                free = candidate.credits // units if units else 0
            if candidate.slowdown_ > limit:
                if candidate.slowdown_ <= useful_limit:
                    free_elsewhere += free
                continue
            free_tasks += free
            running = len(link.outstanding)
            own_tasks += running / candidate.mean_run_s_
            own_work += running / candidate.slowdown_
            if link.state in (LinkState.UP, LinkState.CONNECTING):
                slots = candidate.warm_share * candidate.concurrency
                all_tasks += slots / candidate.mean_run_s_
                all_work += slots / candidate.slowdown_
        return cls(
            max(own_tasks, share * all_tasks),
            max(own_work, share * all_work),
            free_tasks >= tasks,
            free_tasks + free_elsewhere >= tasks,
        )


class ClassAdmission:
    """Decides which jobs of one service are admitted, by urgency class.

    A job is admitted if its last task can start in time behind the tasks of
    its own and of more urgent classes, and its team doesn't exceed its share
    of the class. A class that more urgent ones displace keeps a guaranteed
    share of the room. A job that can't be in time is still admitted, as late,
    while upstreams have room on which its answer is of use.

    Args:
        queue: The waiting jobs of the service.

    Attributes:
        arrivals_: Learned arrivals of tasks by class.
        guaranteed: Shares that classes keep.
        fair_shares: Shares of the teams, by class.
    """

    def __init__(self, queue: ReadyQueue):
        self.queue = queue
        self.arrivals_ = ArrivalEstimator()
        self.guaranteed = GuaranteedShare()
        self.fair_shares: defaultdict[int, FairShares] = defaultdict(FairShares)

    def has_backlog(
        self, priority: int, now_s: float, view: BacklogView | None
    ) -> bool:
        """Returns True if any tasks wait that go before a new job.

        Args:
            priority: Class of the job.
            now_s: Current time in seconds.
            view: What is known of all entries, or None.
        """
        if self.queue.waiting_tasks:
            return True
        return bool(view and view.backlog_s(priority, now_s))

    def admit_at_once(
        self, applicant: Applicant, now_s: float
    ) -> Result[int, Problem]:
        """Admits a job that no task waits before; its room isn't needed."""
        priority = applicant.priority
        self.arrivals_.observe(priority, applicant.tasks, now_s)
        return Ok(priority)

    def admit(
        self,
        applicant: Applicant,
        room: Room,
        now_s: float,
        view: BacklogView | None = None,
    ) -> Result[int, Problem]:
        """Decides whether a job is admitted, and in which class it waits.

        Args:
            applicant: The job.
            room: Room for its tasks.
            now_s: Current time in seconds.
            view: What is known of all entries. Without it only the queue of
                this entry counts.

        Returns:
            The class in which it waits, or the problem with which it is
            refused. It is its own class, the next more urgent one, or that of
            late jobs if only slow upstreams have room.
        """
        load = self.load(applicant, room, now_s, view)
        decision: Result[int, Problem] = Ok(applicant.priority)
        # Tasks may wait although room is free, for example for a faster
        # upstream.
        if not room.is_free:
            decision = self._admit_waiting(applicant, room, load, now_s)
        if decision.is_ok():
            tasks = applicant.tasks
            self.arrivals_.observe(applicant.priority, tasks, now_s)
            self.fair_shares[applicant.priority].observe(
                applicant.team, tasks, load.tasks_left_per_s, now_s
            )
        return decision

    def _admit_waiting(
        self, applicant: Applicant, room: Room, load: LoadAhead, now_s: float
    ) -> Result[int, Problem]:
        """Decides whether a job is admitted that can't start at once."""
        priority = applicant.priority
        top_class = min(self.arrivals_.rates_, default=priority)
        is_top = priority <= top_class
        wait_s = load.wait_s
        # A job of the most urgent class displaces others, and is in time more
        # often than predicted.
        slack_s = applicant.useful_slack_s if is_top else applicant.slack_s
        usable_s = usable_slack_s(slack_s)
        shares = self.fair_shares[priority]
        if shares.exceeds(applicant.team, wait_s, usable_s, now_s):
            reason = RefusalReason.FAIR_SHARE
            return Error(_refusal(applicant, reason, wait_s, usable_s))
        if wait_s <= usable_s:
            return Ok(priority)
        work_s = applicant.tasks * applicant.run_s
        if not is_top and self.guaranteed.try_acquire(
            priority, work_s, room.throughput, now_s
        ):
            return Ok(self._next_more_urgent(priority))
        if room.is_free_elsewhere:
            # Late, but of use, and it takes no room from others.
            return Ok(demand_class(priority, is_late=True))
        reason = RefusalReason.INFEASIBLE
        return Error(_refusal(applicant, reason, wait_s, usable_s))

    def _next_more_urgent(self, priority: int) -> int:
        return max(p for p in self.arrivals_.rates_ if p < priority)

    def load(
        self,
        applicant: Applicant,
        room: Room,
        now_s: float,
        view: BacklogView | None = None,
    ) -> LoadAhead:
        """Returns the load ahead of a job; arguments as of `admit`."""
        priority = applicant.priority
        backlog_s = view.backlog_s(priority, now_s) if view else None
        return LoadAhead(
            self.queue.tasks_ahead(priority, now_s + applicant.slack_s),
            applicant.tasks,
            room.tasks_per_s,
            self.arrivals_.more_urgent_per_s(priority, now_s),
            backlog_s,
        )


def _refusal(
    applicant: Applicant,
    reason: RefusalReason,
    wait_s: float,
    usable_s: float,
) -> Problem:
    detail = (
        f"its last task would start after {wait_s:.2f} s, and in class "
        f"{applicant.priority} it may wait {usable_s:.2f} s"
    )
    if reason is RefusalReason.FAIR_SHARE:
        detail = f"its team exceeds its share of class {applicant.priority}"
    return Problem(
        ProblemKind.OVERLOADED,
        detail,
        not_run=True,
        retry_after_s=spread_retry_s(applicant.job_id, wait_s - usable_s),
        reason=reason,
    )
