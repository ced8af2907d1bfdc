"""Owns the jobs, queues and links of an entry under one lock."""

import heapq
import itertools
import threading
from collections import deque
from collections.abc import Callable, Iterator

import zmq
from expression import Result

from sardinestair.clock import Clock
from sardinestair.entry.demand import TARGETS_PER_TASK
from sardinestair.entry.departure import DepartureMonitor
from sardinestair.entry.gate import AdmissionController
from sardinestair.entry.job_ends import JobFinalizer
from sardinestair.entry.link_membership import LinkMembership
from sardinestair.entry.overdue import OverdueTaskMonitor
from sardinestair.entry.recorder import JobRecorder
from sardinestair.entry.run_ends import RunOutcomeHandler
from sardinestair.entry.service_state import ServiceState
from sardinestair.entry.submission import JobSubmission
from sardinestair.entry.takeover import JobTakeover
from sardinestair.ids import (
    Incarnation,
    JobId,
    format_incarnation,
)
from sardinestair.jobs import (
    CrashHistory,
    Job,
    JobDirectory,
    JobRegistry,
    WithdrawnJobs,
)
from sardinestair.jobs.request import ParsedRequest
from sardinestair.limits.admission import MIN_RETRY_AFTER_S
from sardinestair.limits.budget import JobReservation
from sardinestair.limits.feasibility import spread_retry_s
from sardinestair.limits.load_view import ClassLoad
from sardinestair.links.entry_link import EntryLink, LinkState
from sardinestair.links.timing import LinkTiming
from sardinestair.membership.evacuation import EvacuationRegister
from sardinestair.messages import (
    Announce,
    CrashReport,
    Demand,
    EvacuationView,
    Outcome,
    OwnershipBatch,
    TaskRef,
)
from sardinestair.observability import (
    EventLog,
    LinkUsage,
    Metrics,
    StartStep,
    StartTimes,
)
from sardinestair.outcomes import Problem, ProblemKind
from sardinestair.settings import SettingsTree
from sardinestair.settings.classes import resolve_service
from sardinestair.store.claims import ClaimWriter

__all__ = ["Dispatcher"]

BUSY_CHECK_INTERVAL_S = 0.02
IDLE_CHECK_INTERVAL_S = 0.25
# Upper bound on the extra delay before an overdue task is detected.
OVERDUE_CHECK_INTERVAL_S = 0.05


class Dispatcher:
    """Owns all jobs of an entry from acceptance to completion.

    It is called in the event loop, and by the thread that writes claims; `lock`
    guards all its state.

    Args:
        incarnation: The entry's incarnation.
        zone: The entry's availability zone.
        clock: The clock.
        metrics: The process's metrics.
        context: The ZeroMQ context for links.
        timing: Timeouts of links.
        retention_s: How long ended jobs are kept, in seconds.
        claims: Writes claims for unrepeatable jobs; None without a store.
        claim_retention_s: Age above which the id of an unrepeatable job is
            refused, in seconds.

    Attributes:
        admission_controller: Decides which jobs are accepted.
        services: State of each service, by name.
        links: Links by sidecar.
        registry: The known jobs.
        crashes: Crashes of upstreams, by task.
        withdrawn: Jobs that callers have cancelled, here or at other entries.
        on_withdrawn: Called when a caller has cancelled a job here.
        directory: The owners of the jobs submitted lately, here or elsewhere.
        takeover: Makes this entry the owner of a job, if it may be.
        attached: Jobs that callers at other entries alone wait for.
        evacuations: The evacuated availability zones.
        deadline_heap: Deadlines of accepted jobs, as a heap.
        services_to_place: Services whose queue or upstreams have changed
            since tasks were last placed.
        links_to_refresh: Links whose candidate is to be updated before tasks
            are placed.
        recorder: Records metrics and log lines about ended jobs.
        job_finalizer: Ends jobs and releases what they hold.
        run_outcome_handler: Processes the outcomes of runs.
        overdue_monitor: Detects and moves tasks that take too long.
        submission: Accepts jobs.
        link_membership: Opens, updates and removes links.
        departures: Moves tasks off upstreams that are about to leave.
        link_usage: Counters of all links.
        ready_links: Links to be served soon.
        on_links_ready: Called when a link has been added to them.
        start_times: Records the first credits and outcomes; None once done.
    """

    def __init__(
        self,
        incarnation: Incarnation,
        zone: str,
        clock: Clock,
        metrics: Metrics,
        context: zmq.Context,
        timing: LinkTiming | None = None,
        retention_s: float = 300.0,
        claims: ClaimWriter | None = None,
        claim_retention_s: float = 86400.0,
    ):
        self.incarnation = incarnation
        self.zone = zone
        self.clock = clock
        self.metrics = metrics
        self.context = context
        self.timing = timing or LinkTiming()
        self.lock = threading.RLock()
        self.admission_controller = AdmissionController(
            zone, clock, claims is not None, claim_retention_s
        )
        self.services: dict[str, ServiceState] = {}
        self.links: dict[Incarnation, EntryLink] = {}
        self.registry = JobRegistry(retention_s)
        self.crashes = CrashHistory(retention_s)
        self.withdrawn = WithdrawnJobs(retention_s)
        self.on_withdrawn: Callable[[], None] = lambda: None
        self.directory = JobDirectory(retention_s, self.timing.lost_s)
        self.attached: list[Job] = []
        self.evacuations = EvacuationRegister()
        metrics.gauge("evacuated_zones", {}, 0)
        self.claims = claims
        self.deadline_heap: list[tuple[float, int, Job]] = []
        self.tie_breaker: Iterator[int] = itertools.count()
        self.epoch_counter = itertools.count(1)
        self.services_to_place: set[str] = set()
        self.links_to_refresh: set[EntryLink] = set()
        self.is_closed = False
        self.next_overdue_check_s = 0.0
        self.log = EventLog(
            "entry", entry=format_incarnation(incarnation), zone=zone
        )
        self.recorder = JobRecorder(clock, metrics, self.log)
        self.job_finalizer = JobFinalizer(
            clock,
            self.services,
            self.links,
            self.registry,
            self.recorder,
            claims,
            self.directory,
        )
        self.run_outcome_handler = RunOutcomeHandler(
            self.job_finalizer, metrics, self.log, self.crashes
        )
        self.link_usage = LinkUsage()
        self.ready_links: deque[EntryLink] = deque()
        self.on_links_ready: Callable[[], None] = lambda: None
        self.start_times: StartTimes | None = None
        self.overdue_monitor = OverdueTaskMonitor(
            self.registry, metrics, self.log
        )
        self.departures = DepartureMonitor(self.registry, metrics, self.log)
        self.submission = JobSubmission(self)
        self.takeover = JobTakeover(self)
        self.link_membership = LinkMembership(self)

    @property
    def tree(self) -> SettingsTree | None:
        """The settings tree in force, or None if none has been adopted."""
        return self.admission_controller.tree

    # Settings and membership.

    def configure(self, tree: SettingsTree) -> None:
        """Applies a settings tree to all services."""
        with self.lock:
            self.admission_controller.tree = tree
            self.run_outcome_handler.tree = tree
            for name, state in self.services.items():
                state.configure(resolve_service(tree, name, self.zone))
                self.services_to_place.add(name)
            self.place_waiting()

    def observe_evacuations(self, view: EvacuationView) -> None:
        """Merges a view of the evacuated zones, and places tasks accordingly.

        Running tasks are not affected. Jobs that have not begun are refused if
        all upstreams of their service are in evacuated zones.
        """
        with self.lock:
            if not self.evacuations.observe(view):
                return
            zones = self.evacuations.zones
            self.metrics.gauge("evacuated_zones", {}, len(zones))
            now_s = self.clock.monotonic()
            for state in self.services.values():
                state.set_evacuated_zones(zones, now_s)
                self.services_to_place.add(state.name)
                self._refuse_evacuated_jobs(state, now_s)
            self.place_waiting()

    def _refuse_evacuated_jobs(self, state: ServiceState, now_s: float) -> None:
        refusal = state.evacuation_refusal(now_s)
        if refusal is None:
            return
        for job in [job for job in state.queue.jobs if job.is_not_run]:
            self.job_finalizer.fail(
                job, refusal.kind, refusal.detail, refusal.retry_after_s
            )

    def handle_announcement(self, announce: Announce) -> EntryLink | None:
        """Opens, updates or removes a link; see `LinkMembership`."""
        with self.lock:
            if self.is_closed:
                return None
            return self.link_membership.handle_announcement(announce)

    def remove_sidecar(self, sidecar: Incarnation) -> None:
        """Removes a sidecar and closes the link to it."""
        with self.lock:
            self.link_membership.remove_sidecar(sidecar)

    # Callers.

    def submit(
        self, parsed: ParsedRequest, charge: JobReservation | None = None
    ) -> Result[Job, Problem]:
        """Accepts a job; see `JobSubmission.submit`."""
        return self.submission.submit(parsed, charge)

    def record_refusal(self, parsed: ParsedRequest, refusal: Problem) -> None:
        """Records a job that was refused."""
        self.submission.record_refusal(parsed, refusal)

    def find(self, job_id: JobId) -> Job | None:
        """Returns a known job, or None."""
        with self.lock:
            return self.registry.find(job_id)

    def cancel(self, job_id: JobId) -> Job | None:
        """Cancels a job at the request of its caller; it never runs again.

        Returns:
            The job, or None if it is not known. A job that has already ended
            keeps its answer.
        """
        with self.lock:
            now_s = self.clock.monotonic()
            self.withdrawn.add([job_id], now_s, is_own=True)
            self.on_withdrawn()
            job = self.registry.find(job_id)
            if job is not None:
                self._cancel_if_active(job)
            return job

    def handle_withdrawn(self, job_ids: list[JobId]) -> None:
        """Cancels jobs that callers of another entry have cancelled."""
        with self.lock:
            for job_id in self.withdrawn.add(job_ids, self.clock.monotonic()):
                job = self.registry.find(job_id)
                if job is not None:
                    self._cancel_if_active(job)

    def _cancel_if_active(self, job: Job) -> None:
        if not job.is_active:
            return
        problem = Problem(
            ProblemKind.CANCELLED,
            "the caller cancelled the job",
            not_run=job.is_not_run,
        )
        job.cancel(problem)
        self.job_finalizer.finalize(job)
        self.place_waiting()

    def handle_caller_disconnect(self, job: Job) -> None:
        """Cancels a job once the last caller waiting for it has disconnected.

        A resubmission that is still waiting keeps the job active, and a later
        one may run the job again.
        """
        with self.lock:
            job.waiters -= 1
            if job.waiters <= 0:
                self._cancel_unless_attached(job, self.clock.monotonic())

    def _cancel_unless_attached(self, job: Job, now_s: float) -> None:
        """Cancels a job for which no caller of another entry waits."""
        if now_s < job.attached_until_s:
            self.attached.append(job)
        else:
            self._cancel_if_active(job)

    def observe_owners(self, batch: OwnershipBatch) -> None:
        """Merges records of another entry, and ends jobs that it has got."""
        with self.lock:
            lost = self.directory.observe(batch, self.clock.monotonic())
            for job in filter(None, map(self.registry.find, lost)):
                detail = "another entry has become the owner of the job"
                self.job_finalizer.fail(job, ProblemKind.LOST, detail)
            self.place_waiting()

    def run_periodic_checks(self) -> None:
        """Fails expired jobs and checks the queues; called by the timer."""
        now_s = self.clock.monotonic()
        with self.lock:
            while self.deadline_heap and self.deadline_heap[0][0] <= now_s:
                job = heapq.heappop(self.deadline_heap)[2]
                if job.is_active:
                    detail = "the deadline passed before all tasks ended"
                    self.job_finalizer.fail(job, ProblemKind.DEADLINE, detail)
            self.registry.evict(now_s)
            self.crashes.evict(now_s)
            attached, self.attached = self.attached, []
            for job in attached:
                if job.is_active and job.waiters <= 0:
                    self._cancel_unless_attached(job, now_s)
            is_overdue_check_due = now_s >= self.next_overdue_check_s
            if is_overdue_check_due:
                self.next_overdue_check_s = now_s + OVERDUE_CHECK_INTERVAL_S
            for state in self.services.values():
                if is_overdue_check_due:
                    self.overdue_monitor.check(state, now_s)
                    self.departures.check(state, now_s)
                if state.queue.waiting_tasks:
                    self._shed_useless_jobs(state, now_s)
                    # Time alone can end an upstream's outage.
                    for link in state.links.values():
                        if not link.candidate.is_usable:
                            state.refresh_candidate(link, now_s)
                    # The targets so far have too little free capacity.
                    state.demand.declined.clear()
                    wanted = TARGETS_PER_TASK * state.queue.waiting_tasks
                    self._add_demand_targets(state, wanted)
                    self.services_to_place.add(state.name)
            self.place_waiting()

    def _shed_useless_jobs(self, state: ServiceState, now_s: float) -> None:
        """Fails queued jobs that would end too late to be of use."""
        for job in state.useless_jobs(now_s):
            backlog_s = state.backlog_s()
            detail = (
                f"it would end over {job.useful_until_s - job.accepted_s:.1f} "
                f"s after it came; the backlog is {backlog_s:.1f} s of work"
            )
            retry_after_s = max(backlog_s, MIN_RETRY_AFTER_S)
            if state.has_classes:
                retry_after_s = spread_retry_s(job.job_id, retry_after_s)
            labels = {"service": state.name, "priority": str(job.priority)}
            self.metrics.count("jobs_shed_total", labels)
            self.job_finalizer.fail(
                job, ProblemKind.OVERLOADED, detail, retry_after_s
            )

    def fail_active_jobs(self, reason: str) -> None:
        """Fails all active jobs; called at the end of a drain."""
        with self.lock:
            for job in list(self.registry.jobs.values()):
                self.job_finalizer.fail(job, ProblemKind.DRAINING, reason, 1.0)
            self.place_waiting()

    def has_available_upstreams(self) -> bool:
        """Returns True if any upstream accepts work."""
        with self.lock:
            return any(
                link.state is LinkState.UP
                and link.candidate.zone not in self.evacuations.zones
                for link in self.links.values()
            )

    def next_check_delay_s(self) -> float:
        """Returns the time until the next periodic checks, in seconds."""
        with self.lock:
            if any(s.queue.waiting_tasks for s in self.services.values()):
                return BUSY_CHECK_INTERVAL_S
            if self.count_active_jobs():
                return OVERDUE_CHECK_INTERVAL_S
            if not self.deadline_heap:
                return IDLE_CHECK_INTERVAL_S
            due_s = self.deadline_heap[0][0] - self.clock.monotonic()
        return min(max(due_s, BUSY_CHECK_INTERVAL_S), IDLE_CHECK_INTERVAL_S)

    def close(self) -> None:
        """Closes all links; later announcements open no new ones."""
        with self.lock:
            self.is_closed = True
            for link in self.links.values():
                link.close()

    def count_active_jobs(self) -> int:
        """Returns the number of jobs that have not ended."""
        with self.lock:
            return len(self.registry.jobs) - len(self.registry.ended)

    # Called by links, which hold the lock.

    def next_epoch(self) -> int:
        """Returns an epoch greater than those of all earlier connections."""
        return next(self.epoch_counter)

    def on_link_ready(self, link: EntryLink) -> None:
        """Queues a link for `LinkLoop`; the lock need not be held."""
        self.ready_links.append(link)
        self.on_links_ready()

    def on_task_finished(self, link: EntryLink, outcome: Outcome) -> None:
        """Handles the outcome of a run."""
        if self.start_times is not None:
            self.start_times.reach(StartStep.OUTCOME)
            self.start_times = None
        self.on_link_changed(link)
        self.departures.handle_outcome(link, outcome)
        self.run_outcome_handler.handle_outcome(link, outcome)

    def on_crash_reported(self, link: EntryLink, report: CrashReport) -> None:
        """Records a crash under a run of another entry."""
        self.run_outcome_handler.handle_crash_report(link, report)

    def on_tasks_refused(self, link: EntryLink, refs: list[TaskRef]) -> None:
        """Requeues tasks that were refused without running."""
        self.on_link_changed(link)
        self.count_wasted("start_refused", len(refs))
        self.departures.handle_not_run(refs)
        self.run_outcome_handler.handle_not_run(link, refs)

    def on_tasks_lost(self, link: EntryLink, refs: list[TaskRef]) -> None:
        """Fails or retries tasks whose outcome will never be known."""
        self.on_link_changed(link)
        self.departures.handle_lost(link, refs)
        self.run_outcome_handler.handle_lost(link, refs)

    def on_link_changed(self, link: EntryLink) -> None:
        """Updates a link's candidate before tasks are placed next.

        Several messages of a frame lead to one update.
        """
        if self.start_times is not None:
            self._note_start(self.start_times, link)
        self.links_to_refresh.add(link)
        self.services_to_place.add(link.candidate.service)

    def on_credits_unused(self, link: EntryLink) -> None:
        """Sends a sidecar no more demand until the next periodic check.

        Otherwise the same credits would be granted and recalled in a loop, as
        long as placement prefers to wait for another upstream.
        """
        state = self.services[link.candidate.service]
        state.demand.decline(link.sidecar)

    def demand_for(self, link: EntryLink) -> Demand:
        """Returns the demand for credits of a link's upstream."""
        state = self.services[link.candidate.service]
        return state.demand.demand_for(link, self.clock.monotonic())

    def backlog_for(self, link: EntryLink) -> list[ClassLoad]:
        """Returns the waiting work of a link's service, for each link."""
        return self.services[link.candidate.service].backlog_for(link)

    def unwanted_tasks(self, link: EntryLink) -> list[TaskRef]:
        """Returns the outstanding runs of a link whose jobs have ended."""
        refs = list(link.outstanding.values())
        jobs = [self.registry.find(ref.job) for ref in refs]
        return [
            ref
            for ref, job in zip(refs, jobs, strict=True)
            if job is None or not job.is_active
        ]

    def publish_speeds(self) -> None:
        """Sets the gauges of the slowdowns of upstreams."""
        with self.lock:
            for name, state in self.services.items():
                ends = zip(
                    ("least", "greatest"), state.slowdown_range(), strict=True
                )
                for end, slowdown in ends:
                    labels = {"service": name, "of": end}
                    self.metrics.gauge("upstream_slowdown", labels, slowdown)

    def count_wasted(self, kind: str, count: int = 1) -> None:
        """Counts messages that made no progress."""
        self.metrics.count("messages_wasted_total", {"kind": kind}, count)

    def place_waiting(self) -> None:
        """Places tasks of all changed services and wakes the affected links."""
        while self.services_to_place:
            if self.links_to_refresh:
                self._refresh_links()
            self._place_tasks(self.services[self.services_to_place.pop()])

    # Internals.

    def _note_start(self, times: StartTimes, link: EntryLink) -> None:
        if link.state is LinkState.UP:
            times.reach(StartStep.LINKED)
        if link.account.available:
            times.reach(StartStep.CREDITS)

    def service_state(self, service: str) -> ServiceState:
        """Returns the state of a service; creates it on first use."""
        state = self.services.get(service)
        if state is None:
            tree = self.tree or SettingsTree()
            settings = resolve_service(tree, service, self.zone)
            now_s = self.clock.monotonic()
            state = ServiceState(
                service,
                settings,
                now_s,
                self.crashes,
                self.zone,
                self.admission_controller.share,
            )
            state.set_evacuated_zones(self.evacuations.zones, now_s)
            self.services[service] = state
        return state

    def _place_tasks(self, state: ServiceState) -> None:
        now_s = self.clock.monotonic()
        sidecars_to_wake: set[Incarnation] = set()
        while (placement := state.next_placement(now_s)) is not None:
            job, link = placement
            payloads = job.payloads
            index = state.queue.dequeue(job, link.sidecar)
            job.record_start(now_s)
            job.way.record_placement(index, now_s)
            state.crash_avoidance.record_placement(job, index, link, now_s)
            if job.attempts[index] == 1:
                state.retries.deposit()
            remaining_s = min(job.deadline_s - now_s, state.settings.max_task_s)
            link.place(
                job.task_ref(index),
                remaining_s,
                payloads[index],
                job.need,
                job.kind,
                state.speeds.announced_run_s(link.candidate, job),
                job.priority,
            )
            state.refresh_candidate(link, now_s)
            sidecars_to_wake.add(link.sidecar)
        deferrals = state.take_deferrals()
        if deferrals:
            labels = {"service": state.name}
            self.metrics.count("placements_deferred_total", labels, deferrals)
        if not state.queue.waiting_tasks:
            state.demand.targets.clear()
        wanted = TARGETS_PER_TASK * state.queue.waiting_tasks
        self._add_demand_targets(state, wanted - len(state.demand.targets))
        for sidecar in sidecars_to_wake:
            state.links[sidecar].notify()

    def _add_demand_targets(self, state: ServiceState, count: int) -> None:
        """Sends the demand of the queued tasks to further sidecars."""
        if count <= 0:
            return
        now_s = self.clock.monotonic()
        for link in state.demand.add_targets(count, now_s):
            link.notify()

    def _refresh_links(self) -> None:
        links, self.links_to_refresh = self.links_to_refresh, set()
        now_s = self.clock.monotonic()
        for link in links:
            state = self.services[link.candidate.service]
            state.refresh_candidate(link, now_s)
