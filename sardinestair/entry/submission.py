"""Accepts the jobs that callers submit."""

import heapq
from collections.abc import Iterator
from threading import RLock
from typing import Protocol

from expression import Error, Ok, Result

from sardinestair.clock import Clock
from sardinestair.entry.gate import AdmissionController
from sardinestair.entry.job_ends import JobFinalizer
from sardinestair.entry.recorder import JobRecorder
from sardinestair.entry.run_ends import RunOutcomeHandler
from sardinestair.entry.service_state import ServiceState
from sardinestair.ids import JobId
from sardinestair.jobs import Job, JobDirectory, JobRegistry, WithdrawnJobs
from sardinestair.jobs.request import ParsedRequest
from sardinestair.limits.budget import JobReservation
from sardinestair.limits.credit_priority import is_late_class, priority_of
from sardinestair.outcomes import Problem, ProblemKind
from sardinestair.store.claims import Claim, ClaimOutcome, ClaimWriter

__all__ = [
    "EARLIER_RUNS_ACTIVE",
    "OWNED_ELSEWHERE",
    "WITHDRAWN",
    "JobSubmission",
    "SubmissionOwner",
]

EARLIER_RUNS_ACTIVE = Problem(
    ProblemKind.UNAVAILABLE,
    "earlier runs of the job are still being stopped; this submission did "
    "not run",
    not_run=True,
    retry_after_s=1.0,
)
"""Refuses a resubmission while an earlier run of its job may be active."""

OWNED_ELSEWHERE = Problem(
    ProblemKind.UNAVAILABLE,
    "another entry owns the job; this submission did not run",
    not_run=True,
    retry_after_s=1.0,
)
"""Refuses a submission until the entry has become the owner of the job."""

WITHDRAWN = Problem(
    ProblemKind.CANCELLED,
    "the caller has cancelled the job; this submission did not run",
    not_run=True,
)
"""Refuses a submission of a job that was cancelled before it came."""


class SubmissionOwner(Protocol):
    """The entry, as accepting jobs depends on it.

    Attributes:
        lock: Guards all state of the entry.
        clock: The clock.
        admission_controller: Decides which jobs are accepted.
        services: State of each service, by name.
        registry: The known jobs.
        withdrawn: Jobs that callers have cancelled.
        directory: The owners of jobs.
        claims: Writes claims for unrepeatable jobs; None without a store.
        deadline_heap: Deadlines of accepted jobs, as a heap.
        tie_breaker: Numbers that tell equal deadlines apart.
        services_to_place: Services whose queue has changed since tasks were
            last placed.
        recorder: Records metrics and log lines about ended jobs.
        job_finalizer: Ends jobs and releases what they hold.
        run_outcome_handler: Processes the outcomes of runs.
    """

    lock: RLock
    clock: Clock
    admission_controller: AdmissionController
    services: dict[str, ServiceState]
    registry: JobRegistry
    withdrawn: WithdrawnJobs
    directory: JobDirectory
    claims: ClaimWriter | None
    deadline_heap: list[tuple[float, int, Job]]
    tie_breaker: Iterator[int]
    services_to_place: set[str]
    recorder: JobRecorder
    job_finalizer: JobFinalizer
    run_outcome_handler: RunOutcomeHandler

    def service_state(self, service: str) -> ServiceState:
        """Returns the state of a service; creates it on first use."""
        ...

    def place_waiting(self) -> None:
        """Places waiting tasks."""


class JobSubmission:
    """Accepts jobs, and enqueues them once they may start.

    Args:
        owner: The entry; its lock is taken.
    """

    def __init__(self, owner: SubmissionOwner):
        self.owner = owner

    def submit(
        self, parsed: ParsedRequest, charge: JobReservation | None = None
    ) -> Result[Job, Problem]:
        """Accepts a job, or attaches to a known job with the same id.

        Args:
            parsed: The validated request.
            charge: Reservation of the team's budget. The caller has to
                release it unless the returned job holds it.

        Returns:
            The job, or the problem with which it is refused.
        """
        with self.owner.lock:
            existing = self.owner.registry.find(parsed.job_id)
            is_withdrawn = parsed.job_id in self.owner.withdrawn
            if existing is None and is_withdrawn:
                return Error(WITHDRAWN)
            if parsed.is_resubmittable and not is_withdrawn:
                refusal = self._check_ownership(parsed.job_id, existing)
                if refusal is not None:
                    return Error(refusal)
            can_run_again = existing is not None and (
                not is_withdrawn
                and existing.can_run_again(parsed.request.best_effort)
            )
            if existing is not None and not can_run_again:
                existing.waiters += 1
                return _attach(existing, parsed)
            if existing is not None and existing.in_flight:
                return Error(EARLIER_RUNS_ACTIVE)
            admitted = self.owner.admission_controller.check(
                parsed, self.owner.service_state
            )
            if admitted.is_error():
                self.record_refusal(parsed, admitted.error)
                return Error(admitted.error)
            job = self._create_job(parsed, existing, admitted.ok)
            job.reservation = charge
            if not parsed.request.unrepeatable:
                # It may have run before, here or at another entry.
                self.owner.run_outcome_handler.fail_if_crashing(job)
            self.owner.place_waiting()
            return Ok(job)

    def _check_ownership(
        self, job_id: JobId, existing: Job | None
    ) -> Problem | None:
        """Returns the problem of a job that may not run here now."""
        owner = self.owner
        record = owner.directory.find(job_id)
        if record is None:
            return None
        is_own = record.owner == owner.directory.own_endpoint
        if not is_own or (record.is_complete and existing is None):
            return OWNED_ELSEWHERE
        if owner.clock.monotonic() < record.not_before_s:
            return EARLIER_RUNS_ACTIVE
        return None

    def handle_claim_verdict(
        self, job: Job, verdict: ClaimOutcome, claim: Claim | None
    ) -> None:
        """Enqueues or fails an unrepeatable job once its claim is decided."""
        with self.owner.lock:
            job.claim = claim
            if verdict is ClaimOutcome.OWNED:
                self._enqueue_claimed(job, claim)
            elif job.is_active:
                self._fail_unclaimed(job, verdict)
            if not job.claimed.done():
                job.claimed.set_result(verdict is ClaimOutcome.OWNED)
            self.owner.place_waiting()

    def _enqueue_claimed(self, job: Job, claim: Claim | None) -> None:
        assert self.owner.claims is not None and claim is not None
        if not job.is_active:
            # The job ended while the claim was being written: it never ran.
            self.owner.claims.keep_for_resubmission(job.job_id, claim)
            return
        self._enqueue(job)

    def _fail_unclaimed(self, job: Job, verdict: ClaimOutcome) -> None:
        fail = self.owner.job_finalizer.fail
        if verdict is ClaimOutcome.UNAVAILABLE:
            detail = "the store did not answer, so the job was not claimed"
            fail(job, ProblemKind.UNAVAILABLE, detail, 1.0)
            return
        job.may_have_run = True
        detail = (
            "another submission holds the claim; the job may have run and "
            "will not run again"
        )
        fail(job, ProblemKind.LOST, detail)
        self.owner.registry.remove(job.job_id)

    def _create_job(
        self, parsed: ParsedRequest, previous: Job | None, queue_class: int
    ) -> Job:
        request = parsed.request
        now_s = self.owner.clock.monotonic()
        settings = self.owner.admission_controller.effective_settings(request)
        deadline_s = request.deadline_s or settings.deadline_s
        state = self.owner.service_state(request.service)
        work = state.estimate(request.kind, request.declared_task_s)
        objective_s = state.response_objective_s(settings, work.mean_s_)
        job = Job(
            parsed.job_id,
            request.service,
            request.team,
            request.kind,
            request.payloads,
            now_s,
            now_s + deadline_s,
            work,
            parsed.digest,
            1 if request.unrepeatable else settings.max_attempts,
            request.need,
            None if objective_s is None else now_s + objective_s,
            now_s + state.useful_lifetime_s(settings, work.mean_s_, deadline_s),
            settings.priority,
            settings.repeat_interrupted and not request.unrepeatable,
            request.rack if settings.remote_factor > 1 else "",
        )
        job.queue_class = priority_of(queue_class)
        job.is_late = is_late_class(queue_class)
        if previous is not None:
            job.attempts = previous.attempts
            self.owner.registry.remove(job.job_id)
        self.owner.registry.add(job)
        if parsed.is_resubmittable:
            self._record_owner(job.job_id, now_s, previous is not None)
        heapq.heappush(
            self.owner.deadline_heap,
            (job.deadline_s, next(self.owner.tie_breaker), job),
        )
        if request.unrepeatable:
            self._submit_claim(job)
        else:
            self._enqueue(job)
        return job

    def _record_owner(
        self, job_id: JobId, now_s: float, is_repeated: bool
    ) -> None:
        """Records that this entry runs a job, anew if it is repeated."""
        directory = self.owner.directory
        known = directory.find(job_id)
        generation = known.generation if known is not None else 0
        directory.add_own(job_id, now_s, generation + is_repeated)

    def _submit_claim(self, job: Job) -> None:
        assert self.owner.claims is not None

        def on_verdict(verdict: ClaimOutcome, claim: Claim | None) -> None:
            self.handle_claim_verdict(job, verdict, claim)

        self.owner.claims.submit(job.job_id, on_verdict)

    def _enqueue(self, job: Job) -> None:
        state = self.owner.service_state(job.service)
        now_s = self.owner.clock.monotonic()
        rate = 0.0
        if state.queue.needs_throughput:
            rate = state.throughput() * state.share
        state.queue.add(job, now_s, rate)
        self.owner.services_to_place.add(state.name)

    def record_refusal(self, parsed: ParsedRequest, refusal: Problem) -> None:
        """Records a job that was refused."""
        request = parsed.request
        state = self.owner.services.get(request.service)
        priority = self.owner.admission_controller.priority(request)
        self.owner.recorder.record_refusal(parsed, refusal, state, priority)


def _attach(existing: Job, parsed: ParsedRequest) -> Result[Job, Problem]:
    if existing.digest == parsed.digest:
        return Ok(existing)
    return Error(
        Problem(
            ProblemKind.CONFLICT,
            "id belongs to a job with other content; this request did not run",
            not_run=True,
            field="id",
        )
    )
