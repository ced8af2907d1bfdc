"""Demand of an entry for the credits of upstreams."""

import itertools
from collections.abc import Container
from typing import Protocol

from sardinestair.entry.lookahead import Lookahead
from sardinestair.ids import Incarnation
from sardinestair.jobs import Job
from sardinestair.limits.credit_priority import demand_class
from sardinestair.links.entry_link import EntryLink
from sardinestair.messages import Demand
from sardinestair.placement import (
    HealthRegistry,
    MeetObjective,
    PlacementPolicy,
    ReadyQueue,
    WaitingTask,
)
from sardinestair.placement.objective import remoteness

__all__ = ["TARGETS_PER_TASK", "DemandPlanner", "DemandState"]

# Sidecars that receive the demand for one waiting task at first. With more of
# them free capacity is found sooner, but unused credits must be returned.
TARGETS_PER_TASK = 1


class DemandState(Protocol):
    """The state of a service, as its demand depends on it.

    Attributes:
        queue: Jobs with tasks that have not started.
        lookahead: Those of them that placement considers.
        links: Links to the sidecars of the service's upstreams.
        policy: Chooses an upstream for each task.
        health: Health of the upstreams; unhealthy ones get no work.
    """

    queue: ReadyQueue
    lookahead: Lookahead
    links: dict[Incarnation, EntryLink]
    policy: PlacementPolicy
    health: HealthRegistry

    def is_evacuated(self, link: EntryLink) -> bool:
        """Returns True if a link's upstream is in an evacuated zone."""
        ...

    def waiting_task(
        self,
        job: Job,
        tasks_ahead: int,
        now_s: float,
        excluded: Container[Incarnation] = frozenset(),
    ) -> WaitingTask:
        """Returns the properties of a job's next task, for placement."""
        ...


class DemandPlanner:
    """Decides which sidecars receive the demand of the waiting tasks.

    Args:
        state: The state of the service.

    Attributes:
        targets: Sidecars that receive the demand.
        declined: Sidecars whose credits no task has used since the last
            periodic check.
        next_target: Position of the link that is a target next.
    """

    def __init__(self, state: DemandState):
        self.state = state
        self.targets: set[Incarnation] = set()
        self.declined: set[Incarnation] = set()
        self.next_target = 0

    def decline(self, sidecar: Incarnation) -> None:
        """Sends a sidecar no more demand until the next periodic check."""
        self.targets.discard(sidecar)
        self.declined.add(sidecar)

    def add_targets(self, count: int, now_s: float = 0.0) -> list[EntryLink]:
        """Adds sidecars to the demand targets, in turn.

        Args:
            count: Maximum number of sidecars to add.
            now_s: The current time, on the entry's clock.

        Returns:
            Their links.
        """
        links = list(self.state.links.values())
        skipped = self.targets | self.declined
        rotated = itertools.chain(
            links[self.next_target :], links[: self.next_target]
        )
        open_links = [
            link
            for link in rotated
            if link.sidecar not in skipped and link.candidate.is_usable
        ]
        chosen = self._prefer_in_time(open_links, now_s)[:count]
        if chosen:
            self.next_target = (links.index(chosen[-1]) + 1) % len(links)
            self.targets.update(link.sidecar for link in chosen)
        return chosen

    def _prefer_in_time(
        self, links: list[EntryLink], now_s: float
    ) -> list[EntryLink]:
        """Moves the upstreams that would make the first job late to the end.

        The others keep their order.
        """
        job = self.state.queue.head()
        if job is None or not isinstance(self.state.policy, MeetObjective):
            return links
        task = self.state.waiting_task(job, 0, now_s)

        def is_too_slow(link: EntryLink) -> bool:
            candidate = link.candidate
            remote = remoteness(candidate, task.rack, task.remote_factor)
            return remote * candidate.slowdown_ > task.max_slowdown

        return sorted(links, key=is_too_slow)

    def demand_for(self, link: EntryLink, now_s: float) -> Demand:
        """Returns the demand for credits of a link's upstream.

        It is zero if the sidecar is not a demand target, if no queued task
        would start there, or if the credits held already cover the next one.
        """
        if link.sidecar not in self.targets or self.state.is_evacuated(link):
            return Demand(0, 0.0)
        job = self._first_job_for(link, now_s)
        if job is None:
            return Demand(0, 0.0)
        units = link.candidate.units_needed(job.need)
        if units is None or link.account.available >= units:
            return Demand(0, 0.0)
        outstanding = len(link.outstanding)
        if not self.state.health.allows_start(link.sidecar, outstanding, now_s):
            return Demand(0, 0.0)
        waiting = self.state.queue.waiting_tasks
        # Whole tasks: the rest of a grant could only be returned.
        steps = round(waiting * link.candidate.mean_task_units / units)
        wanted = max(1, steps) * units
        return Demand(
            wanted,
            job.order_key_s - now_s,
            units,
            demand_class(job.queue_class, job.is_late),
            self._class_units(job, wanted, units),
        )

    def _class_units(self, job: Job, wanted: int, units: int) -> int:
        """Returns the credits wanted for tasks of a job's class.

        It is 0 for all of them, if all waiting jobs have the same priority.

        Args:
            job: The first job that would start at an upstream.
            wanted: Credits wanted for all waiting tasks.
            units: Credits that one of its tasks needs.
        """
        if self.state.queue.waiting_by_class.count_priorities() < 2:
            return 0
        number = demand_class(job.queue_class, job.is_late)
        share = self.state.queue.waiting_by_class.task_share(number)
        return max(units, round(wanted * share / units) * units)

    def _first_job_for(self, link: EntryLink, now_s: float) -> Job | None:
        """Returns the first queued job that the policy would start there."""
        tasks_ahead = self.state.queue.waiting_tasks - 1
        policy = self.state.policy
        for job, _ in self.state.lookahead.jobs():
            task = self.state.waiting_task(job, tasks_ahead, now_s)
            if task.is_late or policy.should_start(link.candidate, task):
                return job
        return None
