"""Ends jobs and releases what they hold."""

from collections import defaultdict

from sardinestair.clock import Clock
from sardinestair.entry.recorder import JobRecorder
from sardinestair.entry.service_state import ServiceState
from sardinestair.ids import Incarnation
from sardinestair.jobs import Job, JobDirectory, JobRegistry, JobState
from sardinestair.links.entry_link import EntryLink, LinkState
from sardinestair.messages import TaskRef
from sardinestair.outcomes import Problem, ProblemKind
from sardinestair.store.claims import ClaimWriter

__all__ = ["JobFinalizer"]


class JobFinalizer:
    """Ends jobs and cleans up after them; called with the entry's lock held.

    Args:
        clock: The clock.
        services: State of each service, by name.
        links: Links by sidecar.
        registry: The known jobs.
        recorder: Records metrics and log lines about ended jobs.
        claims: Writes claims for unrepeatable jobs; None without a store.
        directory: The owners of jobs.
    """

    def __init__(
        self,
        clock: Clock,
        services: dict[str, ServiceState],
        links: dict[Incarnation, EntryLink],
        registry: JobRegistry,
        recorder: JobRecorder,
        claims: ClaimWriter | None,
        directory: JobDirectory,
    ):
        self.clock = clock
        self.services = services
        self.links = links
        self.registry = registry
        self.recorder = recorder
        self.claims = claims
        self.directory = directory

    def fail(
        self,
        job: Job,
        kind: ProblemKind,
        detail: str,
        retry_after_s: float | None = None,
    ) -> None:
        """Fails a job; does nothing if it has already ended."""
        if not job.is_active:
            return
        problem = Problem(
            kind, detail, job.is_not_run, retry_after_s=retry_after_s
        )
        job.fail(problem)
        self.finalize(job)

    def finalize(self, job: Job) -> None:
        """Releases the resources of a job that has just ended, and records it.

        Its queued tasks are dropped and its active runs cancelled.
        """
        state = self.services[job.service]
        if job.reservation is not None:
            job.reservation.release(len(job.waiting))
        state.queue.discard(job)
        job.drop_payloads()
        if job.claim is not None and job.ended_not_run and self.claims:
            self.claims.keep_for_resubmission(job.job_id, job.claim)
        self._cancel_in_flight(job)
        now_s = self.clock.monotonic()
        self.registry.mark_ended(job, now_s)
        if job.state is JobState.COMPLETE:
            is_awaited = now_s < job.attached_until_s
            self.directory.complete_own(job.job_id, now_s, is_awaited)
        self.recorder.record_end(job, state, now_s)

    def _cancel_in_flight(self, job: Job) -> None:
        by_sidecar: dict[Incarnation, list[TaskRef]] = defaultdict(list)
        for index, sidecar in job.in_flight.items():
            by_sidecar[sidecar].append(job.task_ref(index))
        for sidecar, refs in by_sidecar.items():
            link = self.links.get(sidecar)
            if link is not None and link.state is not LinkState.CLOSED:
                link.cancel(refs)
                link.notify()
