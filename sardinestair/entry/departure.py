"""Moves tasks off upstreams that leave before the tasks will end."""

import math

from sardinestair.entry.service_state import ServiceState
from sardinestair.ids import format_job_id
from sardinestair.jobs import Job, JobRegistry
from sardinestair.links.entry_link import EntryLink, LinkState
from sardinestair.links.timing import MAX_STOP_S
from sardinestair.messages import Announce, Outcome, TaskRef, TaskState
from sardinestair.observability import EventLog, Metrics

__all__ = ["DepartureMonitor", "should_move"]

# Stops take effect before the upstream leaves if they are sent this long ahead:
# the time of a stop, of its messages, and of one interval between checks.
STOP_AHEAD_S = MAX_STOP_S + 0.1


def should_move(
    leaves_in_s: float, left_s: float, spread_s: float, restart_s: float
) -> bool:
    """Returns True if a task ends sooner when it is started elsewhere now.

    Otherwise it either ends where it is, or is lost with its upstream and
    started elsewhere then. The chance that it ends in time follows from a
    normal distribution of its run time.

    Args:
        leaves_in_s: Time until its upstream leaves, in seconds.
        left_s: Time for which the task is expected to run on, in seconds.
        spread_s: Standard deviation of that time, in seconds.
        restart_s: Time that it is expected to take elsewhere, in seconds.

    Examples:
        >>> should_move(1.6, left_s=1.8, spread_s=0.0, restart_s=1.8)
        True
        >>> should_move(1.6, left_s=1.2, spread_s=0.1, restart_s=1.8)
        False
    """
    if leaves_in_s <= STOP_AHEAD_S:
        return True
    margin_s = leaves_in_s - left_s
    if spread_s <= 0:
        chance = float(margin_s >= 0)
    else:
        chance = 0.5 * (1 + math.erf(margin_s / (math.sqrt(2) * spread_s)))
    stay_s = chance * left_s + (1 - chance) * (leaves_in_s + restart_s)
    return stay_s > restart_s


class DepartureMonitor:
    """Stops and moves tasks that would be lost with a leaving upstream.

    Args:
        registry: The known jobs.
        metrics: The process's metrics.
        log: Receives a line for each moved or lost task.

    Attributes:
        moved: The attempts that are being stopped, until they end.
    """

    def __init__(self, registry: JobRegistry, metrics: Metrics, log: EventLog):
        self.registry = registry
        self.metrics = metrics
        self.log = log
        self.moved: set[TaskRef] = set()

    def observe(
        self,
        state: ServiceState,
        link: EntryLink,
        announce: Announce,
        now_s: float,
    ) -> None:
        """Handles what an announcement states of the upstream's departure."""
        status = announce.status
        leaves_in_s = None if status is None else status.leaves_in_s
        link.leaves_at_s = None if leaves_in_s is None else now_s + leaves_in_s
        self._check_link(state, link, now_s)

    def check(self, state: ServiceState, now_s: float) -> None:
        """Checks the tasks at all upstreams that have given notice."""
        for link in state.links.values():
            self._check_link(state, link, now_s)

    def _check_link(
        self, state: ServiceState, link: EntryLink, now_s: float
    ) -> None:
        # A task of an upstream without a lease can't be stopped.
        if link.leaves_at_s is None or not link.is_leased:
            return
        if not state.settings.move_before_departure:
            return
        for ref in list(link.outstanding.values()):
            job = self.registry.find(ref.job)
            if job is not None and ref not in self.moved:
                self._check_task(state, link, job, ref, now_s)

    def handle_outcome(self, link: EntryLink, outcome: Outcome) -> None:
        """Counts a task that was lost with an upstream that gave notice."""
        was_moved = outcome.task in self.moved
        self.moved.discard(outcome.task)
        if outcome.state is TaskState.INTERRUPTED and not was_moved:
            self._count_lost(link, [outcome.task])

    def handle_lost(self, link: EntryLink, refs: list[TaskRef]) -> None:
        """Counts tasks whose sidecar was lost."""
        self.moved.difference_update(refs)
        self._count_lost(link, refs)

    def handle_not_run(self, refs: list[TaskRef]) -> None:
        """Forgets tasks that did not run."""
        self.moved.difference_update(refs)

    def _count_lost(self, link: EntryLink, refs: list[TaskRef]) -> None:
        if link.state is LinkState.UP:
            return
        gave_notice = "no" if link.leaves_at_s is None else "yes"
        self.metrics.count(
            "runs_lost_with_upstream_total",
            {"service": link.candidate.service, "notice": gave_notice},
            len(refs),
        )

    def _check_task(
        self,
        state: ServiceState,
        link: EntryLink,
        job: Job,
        ref: TaskRef,
        now_s: float,
    ) -> None:
        assert link.leaves_at_s is not None
        age_s = now_s - link.placed_s.get((ref.job, ref.index), now_s)
        typical_s = job.run_time.mean_s_
        left_s = max(0.0, typical_s * link.candidate.slowdown_ - age_s)
        leaves_in_s = link.leaves_at_s - now_s
        spread_s = state.run_time_spread_s(job.kind)
        # Started elsewhere it must still be of use, and room must be left.
        is_of_use = now_s + typical_s <= job.useful_until_s
        if not (job.can_be_moved and is_of_use and state.throughput()):
            return
        if not should_move(leaves_in_s, left_s, spread_s, typical_s):
            return
        self.moved.add(ref)
        self.metrics.count(
            "runs_moved_before_departure_total", {"service": state.name}
        )
        self.log.info(
            "task_moved_before_departure",
            job=format_job_id(job.job_id),
            task=ref.index,
            run=ref.attempt,
            upstream=link.endpoint,
            age_s=age_s,
            left_s=left_s,
            leaves_in_s=leaves_in_s,
        )
        link.stop([ref])
        link.notify()
