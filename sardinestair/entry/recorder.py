"""Records ended and refused jobs: metrics, objectives and log lines."""

from sardinestair.clock import Clock
from sardinestair.entry.service_state import ServiceState
from sardinestair.entry.way_recorder import WayRecorder
from sardinestair.ids import format_job_id
from sardinestair.jobs import Job, JobState
from sardinestair.jobs.request import ParsedRequest
from sardinestair.jobs.way import JobWay
from sardinestair.observability import EventLog, Metrics
from sardinestair.observability.burn import is_system_error
from sardinestair.observability.dropped import DroppedJob, DroppedJobBuffer
from sardinestair.outcomes import Problem, ProblemKind

__all__ = ["JobRecorder"]


class JobRecorder:
    """Records how the jobs of one entry end.

    Args:
        clock: The clock.
        metrics: The process's metrics.
        log: Receives a line for each ended, late or refused job.

    Attributes:
        dropped: The most recent jobs that got no complete answer.
        way: Records where the time of jobs goes.
    """

    def __init__(self, clock: Clock, metrics: Metrics, log: EventLog):
        self.clock = clock
        self.metrics = metrics
        self.log = log
        self.dropped = DroppedJobBuffer()
        self.way = WayRecorder(clock, metrics)

    def record_end(self, job: Job, state: ServiceState, now_s: float) -> None:
        """Records a job that has ended.

        Args:
            job: The job.
            state: State of its service.
            now_s: The current time, on the entry's clock.
        """
        response_s = now_s - job.accepted_s
        service = {"service": job.service}
        self.metrics.count("jobs_total", {**service, "state": job.state.value})
        self.metrics.count("tasks_total", service, job.answered)
        self.metrics.observe("job_response_s", service, response_s)
        self._observe_delays(job, response_s)
        self._count_objective(job, state, response_s)
        self._log_end(job, response_s)
        if job.state is JobState.COMPLETE and now_s > job.soft_deadline_s:
            self._log_late(job, response_s)

    def record_refusal(
        self,
        parsed: ParsedRequest,
        refusal: Problem,
        state: ServiceState | None,
        priority: int | None = None,
    ) -> None:
        """Records a job that was refused.

        Args:
            parsed: The request.
            refusal: Why it was refused.
            state: State of its service, or None if there is none.
            priority: Its urgency class, or None if it is not known.
        """
        request = parsed.request
        if state is not None and is_system_error(refusal.kind):
            state.burn.observe(False, self.clock.now().timestamp())
        is_unknown = refusal.kind is ProblemKind.UNKNOWN_SERVICE
        service = "unknown" if is_unknown else request.service
        cause = (refusal.reason or refusal.kind).value
        labels = {
            "service": service,
            "kind": refusal.kind.value,
            "reason": cause,
        }
        self.metrics.count("jobs_refused_total", labels)
        dropped = DroppedJob(
            self.clock.now(),
            format_job_id(parsed.job_id),
            request.service,
            request.team,
            len(request.tasks),
            "refused",
            refusal.detail,
            refusal.not_run,
        )
        self.dropped.add(dropped)
        self.log.info(
            "job_refused",
            job=dropped.job,
            service=dropped.service,
            team=dropped.team,
            kind=request.kind,
            tasks=dropped.tasks,
            reason=dropped.reason,
            code=cause,
            priority=priority,
            not_run=dropped.not_run,
        )

    def _count_objective(
        self, job: Job, state: ServiceState, response_s: float
    ) -> None:
        answer = job.done.result()
        if answer.is_ok():
            is_good = state.meets_objective(job, response_s)
        elif is_system_error(answer.error.kind):
            is_good = False
        else:
            return
        state.burn.observe(is_good, self.clock.now().timestamp())

    def _observe_delays(self, job: Job, response_s: float) -> None:
        service = {"service": job.service}
        if job.first_start_s is not None:
            waited_s = job.first_start_s - job.accepted_s
            self.metrics.observe("job_first_start_s", service, waited_s)
        if job.state is JobState.COMPLETE:
            stretch = response_s / job.run_time.mean_s_
            self.metrics.observe("job_stretch", service, stretch)

    def _log_late(self, job: Job, response_s: float) -> None:
        """Logs the delays and runs of a job that missed its objective."""
        first_s, last_s = job.first_start_s, job.last_start_s
        assert first_s is not None and last_s is not None
        self.log.info(
            "job_late",
            job=format_job_id(job.job_id),
            service=job.service,
            team=job.team,
            kind=job.kind,
            tasks=job.task_count,
            runs=sum(job.attempts),
            response_s=response_s,
            objective_s=job.soft_deadline_s - job.accepted_s,
            expected_task_s=job.run_time.mean_s_,
            first_start_s=first_s - job.accepted_s,
            last_start_s=last_s - job.accepted_s,
            **_split_lateness(job.way),
        )

    def _log_end(self, job: Job, response_s: float) -> None:
        answer = job.done.result()
        write, reason, not_run = self.log.debug, None, False
        if answer.is_error():
            write = self.log.info
            reason, not_run = answer.error.detail, answer.error.not_run
            self._record_dropped(job, answer.error)
        write(
            "job_ended",
            job=format_job_id(job.job_id),
            service=job.service,
            team=job.team,
            kind=job.kind,
            state=job.state.value,
            tasks=job.task_count,
            response_s=response_s,
            reason=reason,
            not_run=not_run,
        )

    def _record_dropped(self, job: Job, problem: Problem) -> None:
        self.dropped.add(
            DroppedJob(
                self.clock.now(),
                format_job_id(job.job_id),
                job.service,
                job.team,
                job.task_count,
                job.state.value,
                problem.detail,
                problem.not_run,
            )
        )


def _split_lateness(way: JobWay) -> dict[str, float | str]:
    """Returns the longest parts of a job's runs, and those of its last run."""
    longest, last = way.longest_run, way.last_run
    if longest is None or last is None:
        return {}
    return {
        "longest_wait_s": way.longest_wait_s,
        "longest_run_s": longest.run_s,
        "longest_overhead_s": way.longest_overhead_s,
        "slowest_sidecar": longest.endpoint,
        "last_wait_s": last.wait_s,
        "last_order_s": last.order_s,
        "last_run_s": last.run_s,
        "last_report_s": last.report_s,
    }
