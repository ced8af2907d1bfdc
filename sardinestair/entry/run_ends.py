"""Processes the outcomes of runs: answers, retries and failures."""

from sardinestair.entry.job_ends import JobFinalizer
from sardinestair.entry.service_state import ServiceState
from sardinestair.ids import format_incarnation, format_job_id
from sardinestair.jobs import CrashHistory, Job
from sardinestair.jobs.job import TaskAnswer
from sardinestair.limits.money import slot_cost
from sardinestair.links.entry_link import EntryLink
from sardinestair.messages import CrashReport, Outcome, TaskRef, TaskState
from sardinestair.observability import EventLog, Metrics
from sardinestair.outcomes import ProblemKind
from sardinestair.settings import SettingsTree
from sardinestair.settings.tree import SettingsCache
from sardinestair.upstreams.leased import STALLED

__all__ = ["RunOutcomeHandler"]

MAX_REASON_CHARACTERS = 200


class RunOutcomeHandler:
    """Handles the outcomes of runs; called with the entry's lock held.

    Args:
        finalizer: Ends jobs.
        metrics: The process's metrics.
        log: Receives a line for each failed or interrupted run.
        crashes: Crashes of upstreams, by task.

    Attributes:
        tree: The settings tree in force, which holds the prices of slots.
    """

    def __init__(
        self,
        finalizer: JobFinalizer,
        metrics: Metrics,
        log: EventLog,
        crashes: CrashHistory,
    ):
        self.finalizer = finalizer
        self.metrics = metrics
        self.log = log
        self.crashes = crashes
        self.tree: SettingsTree | None = None
        self.settings_cache = SettingsCache()

    def handle_outcome(self, link: EntryLink, outcome: Outcome) -> None:
        """Handles an outcome that a sidecar has reported."""
        if outcome.has_crashed:
            self._record_crash(link, outcome)
        state = self.finalizer.services[link.candidate.service]
        job = self.finalizer.registry.find(outcome.task.job)
        if job is None:
            return
        index = outcome.task.index
        self.finalizer.recorder.way.record_outcome(job, link, outcome)
        if outcome.state is TaskState.DONE:
            self._charge(state, job, link, outcome.run_s)
            state.observe_run(job, link, outcome.run_s)
            self._record_health(state, link, job, True)
            job.record_answer(index, TaskAnswer(outcome.body, outcome.is_json))
            if (
                not job.is_active
                and job.job_id not in self.finalizer.registry.ended
            ):
                self.finalizer.finalize(job)
            return
        job.may_have_run = True
        self._charge(state, job, link, outcome.run_s)
        if outcome.state is TaskState.FAILED or outcome.body == STALLED:
            job.failed_upstreams.add(link.sidecar)
            self._record_health(state, link, job, False)
        reason = outcome.body.decode("utf-8", "replace")
        self._retry_or_fail(state, job, index, outcome.state, reason)

    def handle_crash_report(self, link: EntryLink, report: CrashReport) -> None:
        """Handles a crash under a run that another entry has started."""
        self._record_crash(link, report)
        job = self.finalizer.registry.find(report.task.job)
        if job is not None and report.task.index not in job.in_flight:
            self.fail_if_crashing(job)

    def fail_if_crashing(self, job: Job) -> None:
        """Fails a job if too many upstreams have crashed under a task."""
        if not job.is_active:
            return
        limit = self.finalizer.services[job.service].settings.max_crashes
        for index in range(job.task_count):
            if self.crashes.is_exhausted(job.job_id, index, limit):
                job.may_have_run = True
                count = self.crashes.count(job.job_id, index)
                detail = f"{count} upstreams crashed while task {index} ran"
                self.finalizer.fail(job, ProblemKind.FAILED, detail)
                return

    def _record_crash(
        self, link: EntryLink, message: Outcome | CrashReport
    ) -> None:
        if self.crashes.record(
            message.task,
            link.sidecar,
            message.run_s,
            self.finalizer.clock.monotonic(),
            message.is_confirmed,
        ):
            self.metrics.count(
                "crashes_total", {"service": link.candidate.service}
            )

    def handle_not_run(self, link: EntryLink, refs: list[TaskRef]) -> None:
        """Requeues tasks that did not run, within the retry budget."""
        state = self.finalizer.services[link.candidate.service]
        for ref in refs:
            job = self.finalizer.registry.find(ref.job)
            if job is None:
                continue
            if not job.is_active:
                job.remove_in_flight(ref.index)
                if job.reservation is not None:
                    job.reservation.release(1)
                continue
            state.queue.requeue(job, ref.index)
            if not state.retries.try_withdraw():
                detail = f"task {ref.index} did not run; no retries are left"
                self.finalizer.fail(job, ProblemKind.UNAVAILABLE, detail)

    def handle_lost(self, link: EntryLink, refs: list[TaskRef]) -> None:
        """Handles tasks whose outcome will never be known.

        Runs at a leased upstream have ended by now, so their tasks may be
        retried. Elsewhere the run may still be active, and the job fails.
        """
        for ref in refs:
            job = self.finalizer.registry.find(ref.job)
            if job is None:
                continue
            job.may_have_run = True
            if link.is_leased:
                self._retry_or_fail(
                    self.finalizer.services[link.candidate.service],
                    job,
                    ref.index,
                    TaskState.INTERRUPTED,
                    "lost with its sidecar",
                )
                continue
            job.remove_in_flight(ref.index)
            detail = (
                f"task {ref.index} was lost with its sidecar and may have run"
            )
            self.finalizer.fail(job, ProblemKind.LOST, detail)

    def _retry_or_fail(
        self,
        state: ServiceState,
        job: Job,
        index: int,
        end_state: TaskState,
        reason: str,
    ) -> None:
        """Retries a task whose run has certainly ended, or fails its job."""
        reason = reason[:MAX_REASON_CHARACTERS]
        is_retried = job.record_unsuccessful_run(index, end_state)
        self.log.info(
            "run_ended",
            job=format_job_id(job.job_id),
            task=index,
            run=job.attempts[index],
            how=end_state.value,
            reason=reason,
            failures=job.failures[index],
            crashes=self.crashes.count(job.job_id, index),
            repeated=is_retried,
        )
        if is_retried:
            state.queue.requeue(job, index)
            self.fail_if_crashing(job)
            return
        job.remove_in_flight(index)
        detail = f"task {index} failed: {reason}"
        self.finalizer.fail(job, ProblemKind.FAILED, detail)

    def _charge(
        self, state: ServiceState, job: Job, link: EntryLink, run_s: float
    ) -> None:
        assert self.tree is not None
        zone = link.candidate.zone
        settings = self.settings_cache.resolve(self.tree, state.name, zone)
        cost = slot_cost(run_s, settings.price_per_slot_hour)
        if cost:
            labels = {"team": job.team, "service": state.name, "zone": zone}
            self.metrics.count("spent_micros_total", labels, cost)
        if job.reservation is not None:
            job.reservation.settle(cost)

    def _record_health(
        self, state: ServiceState, link: EntryLink, job: Job, succeeded: bool
    ) -> None:
        now_s = self.finalizer.clock.monotonic()
        is_out = state.health.record_result(
            link.sidecar, job.job_id, job.kind, succeeded, now_s
        )
        if is_out:
            self.metrics.count("upstreams_out_total", {"service": state.name})
            self.log.warning(
                "upstream_out",
                service=state.name,
                sidecar=format_incarnation(link.sidecar),
            )
