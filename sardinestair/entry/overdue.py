"""Detects tasks that run far longer than expected, and moves them."""

from sardinestair.entry.service_state import ServiceState
from sardinestair.ids import JobId, format_job_id
from sardinestair.jobs import Job, JobRegistry
from sardinestair.links.entry_link import EntryLink, LinkState
from sardinestair.messages import TaskRef
from sardinestair.observability import EventLog, Metrics

__all__ = ["OverdueTaskMonitor"]

# About 1 % of tasks exceed this factor without any fault of the upstream, if
# run times within a kind spread by 0.4.
OVERDUE_FACTOR = 2.5
# Allowance for messages between entry, sidecar and upstream, both ways.
MESSAGING_OVERHEAD_S = 0.05
# Least speed advantage of another upstream that makes a move worthwhile. A
# moved task starts again from the beginning, after it has already run for
# OVERDUE_FACTOR times its expected run time.
MIN_SPEEDUP = 2.0


class OverdueTaskMonitor:
    """Detects overdue tasks and moves them to faster upstreams.

    An overdue task shows that its upstream is slow before any task there has
    ended. If the job may run again and a much faster upstream has free
    credits, the run is stopped; its outcome then causes a retry elsewhere.

    Args:
        registry: The known jobs.
        metrics: The process's metrics.
        log: Receives a line for each moved task.
    """

    def __init__(self, registry: JobRegistry, metrics: Metrics, log: EventLog):
        self.registry = registry
        self.metrics = metrics
        self.log = log

    def check(self, state: ServiceState, now_s: float) -> None:
        """Checks the started tasks of one service."""
        for link in state.links.values():
            if link.state is not LinkState.UP:
                continue
            link.prune_placed_times()
            for key, ref in list(link.outstanding.items()):
                job = self.registry.find(ref.job)
                if job is not None and job.is_active:
                    self._check_task(state, link, job, key, ref, now_s)

    def _check_task(
        self,
        state: ServiceState,
        link: EntryLink,
        job: Job,
        key: tuple[JobId, int],
        ref: TaskRef,
        now_s: float,
    ) -> None:
        expected_s = job.run_time.mean_s_ * link.candidate.slowdown_
        age_s = now_s - link.placed_s.get(key, now_s)
        if age_s < OVERDUE_FACTOR * expected_s + MESSAGING_OVERHEAD_S:
            return
        # Restart the timer: the task counts again if it stays overdue for as
        # long again.
        link.placed_s[key] = now_s
        self.metrics.count("tasks_overdue_total", {"service": state.name})
        state.observe_overdue(link, job, age_s, now_s)
        if not job.can_be_moved or not _has_faster_upstream(state, link, job):
            return
        self.log.warning(
            "task_moved",
            job=format_job_id(job.job_id),
            task=ref.index,
            run=ref.attempt,
            upstream=link.endpoint,
            age_s=age_s,
            expected_s=expected_s,
            speed=link.candidate.slowdown_,
        )
        job.failed_upstreams.add(link.sidecar)
        link.stop([ref])
        link.notify()


def _has_faster_upstream(
    state: ServiceState, link: EntryLink, job: Job
) -> bool:
    limit = link.candidate.slowdown_ / MIN_SPEEDUP
    return any(
        other.candidate.slowdown_ <= limit
        and other.candidate.has_credits_for(job.need)
        for other in state.links.values()
        if other.candidate.is_usable
        and other.sidecar not in job.failed_upstreams
    )
