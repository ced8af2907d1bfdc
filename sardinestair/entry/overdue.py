"""Detects tasks that run far longer than expected, and moves them."""

import math
from collections.abc import Iterator

import msgspec

from sardinestair.entry.service_state import ServiceState
from sardinestair.entry.stragglers import MIN_OVERDUE_RUNS, OVERDUE_FACTOR
from sardinestair.ids import Incarnation, JobId, format_job_id
from sardinestair.jobs import Job, JobRegistry
from sardinestair.links.entry_link import EntryLink, LinkState
from sardinestair.messages import TaskRef
from sardinestair.observability import EventLog, Metrics
from sardinestair.placement import Candidate
from sardinestair.placement.objective import remoteness

__all__ = ["OverdueTaskMonitor"]

# Allowance for messages between entry, sidecar and upstream, both ways.
MESSAGING_OVERHEAD_S = 0.05
# Least speed advantage of another upstream that makes a move worthwhile. A
# moved task starts again from the beginning, after it has already run for
# OVERDUE_FACTOR times its expected run time.
MIN_SPEEDUP = 2.0


class _OverdueTask(msgspec.Struct):
    """A started task that takes too long.

    Attributes:
        job: Its job.
        ref: The attempt.
        age_s: Time since it was placed, or since it counted as overdue, in
            seconds.
        expected_s: Expected run time on its upstream, in seconds.
    """

    job: Job
    ref: TaskRef
    age_s: float
    expected_s: float


class OverdueTaskMonitor:
    """Detects overdue tasks and moves them to faster upstreams.

    An overdue task shows that its upstream is slow before any task there has
    ended. If the job may run again and a much faster upstream has free
    credits, the run is stopped; its outcome then causes a retry elsewhere.

    With `shared_speeds`, a single overdue task at an upstream is a straggler:
    it says nothing about the upstream, and `StragglerPolicy` decides whether
    it is moved.

    Args:
        registry: The known jobs.
        metrics: The process's metrics.
        log: Receives a line for each moved task.

    Attributes:
        overdue: Outstanding tasks that have been found overdue, by sidecar.
    """

    def __init__(self, registry: JobRegistry, metrics: Metrics, log: EventLog):
        self.registry = registry
        self.metrics = metrics
        self.log = log
        self.overdue: dict[Incarnation, set[tuple[JobId, int]]] = {}

    def check(self, state: ServiceState, now_s: float) -> None:
        """Checks the started tasks of one service."""
        for link in state.links.values():
            if link.state is not LinkState.UP:
                self.overdue.pop(link.sidecar, None)
                continue
            link.prune_placed_times()
            found = self._find_overdue(state, link, now_s)
            known = self.overdue.pop(link.sidecar, set())
            known &= link.outstanding.keys()
            known.update(found)
            if known:
                self.overdue[link.sidecar] = known
            for key in found:
                # Those found before it may have changed what is expected.
                task = self._read_overdue(state, link, key, now_s)
                if task is not None:
                    # It counts again if it stays overdue for as long again.
                    link.placed_s[key] = now_s
                    self._handle_overdue(state, link, task, now_s)

    def _find_overdue(
        self, state: ServiceState, link: EntryLink, now_s: float
    ) -> list[tuple[JobId, int]]:
        """Returns the tasks of a link that have become overdue."""
        return [
            key
            for key in link.outstanding
            if self._read_overdue(state, link, key, now_s) is not None
        ]

    def _read_overdue(
        self,
        state: ServiceState,
        link: EntryLink,
        key: tuple[JobId, int],
        now_s: float,
    ) -> _OverdueTask | None:
        """Returns a task if it is overdue, else None."""
        ref = link.outstanding[key]
        job = self.registry.find(ref.job)
        if job is None or not job.is_active:
            return None
        expected_s = (
            job.run_time.mean_s_
            * link.candidate.slowdown_
            * remoteness(link.candidate, job.rack, state.settings.remote_factor)
        )
        age_s = now_s - link.placed_s.get(key, now_s)
        if age_s < OVERDUE_FACTOR * expected_s + MESSAGING_OVERHEAD_S:
            return None
        return _OverdueTask(job, ref, age_s, expected_s)

    def _handle_overdue(
        self,
        state: ServiceState,
        link: EntryLink,
        task: _OverdueTask,
        now_s: float,
    ) -> None:
        self.metrics.count("tasks_overdue_total", {"service": state.name})
        is_straggler = (
            state.speeds.is_shared
            and len(self.overdue[link.sidecar]) < MIN_OVERDUE_RUNS
        )
        if not is_straggler:
            state.observe_overdue(link, task.job, task.age_s, now_s)
        if not task.job.can_be_moved:
            return
        if is_straggler:
            is_moved = _ends_sooner(state, link, task, now_s)
        else:
            is_moved = _has_faster_upstream(state, link, task.job)
        if is_moved:
            self._move(link, task, is_straggler)

    def _move(
        self, link: EntryLink, task: _OverdueTask, is_straggler: bool
    ) -> None:
        self.log.warning(
            "task_moved",
            job=format_job_id(task.job.job_id),
            task=task.ref.index,
            run=task.ref.attempt,
            upstream=link.endpoint,
            age_s=task.age_s,
            expected_s=task.expected_s,
            speed=link.candidate.slowdown_,
            straggler=is_straggler,
        )
        cause = "straggler" if is_straggler else "slow_upstream"
        self.metrics.count("tasks_moved_total", {"cause": cause})
        task.job.failed_upstreams.add(link.sidecar)
        link.stop([task.ref])
        link.notify()


def _other_candidates(
    state: ServiceState, link: EntryLink, job: Job
) -> Iterator[Candidate]:
    """Yields the other upstreams that can start a task of a job now."""
    for other in state.links.values():
        if (
            other is not link
            and other.candidate.is_usable
            and other.sidecar not in job.failed_upstreams
            and other.candidate.has_credits_for(job.need)
        ):
            yield other.candidate


def _has_faster_upstream(
    state: ServiceState, link: EntryLink, job: Job
) -> bool:
    limit = link.candidate.slowdown_ / MIN_SPEEDUP
    return any(
        candidate.slowdown_ <= limit
        for candidate in _other_candidates(state, link, job)
    )


def _ends_sooner(
    state: ServiceState, link: EntryLink, task: _OverdueTask, now_s: float
) -> bool:
    """Returns True if a straggler should end sooner elsewhere, and of use."""
    fastest = min(
        (c.slowdown_ for c in _other_candidates(state, link, task.job)),
        default=math.inf,
    )
    restart_run_s = task.job.run_time.mean_s_ * fastest
    return (
        now_s + restart_run_s < task.job.useful_until_s
        and state.stragglers.should_move(task.expected_s, restart_run_s)
    )
