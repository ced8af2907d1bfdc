"""State that an entry keeps for each service."""

from collections.abc import Container, Iterator

from expression import Ok, Result

from sardinestair.entry.class_admission import (
    Applicant,
    ClassAdmission,
    Room,
)
from sardinestair.entry.crash_avoidance import CrashAvoidance
from sardinestair.entry.demand import DemandPlanner
from sardinestair.entry.lookahead import Lookahead
from sardinestair.entry.shedding import useless_jobs
from sardinestair.entry.speeds import UpstreamSpeeds
from sardinestair.entry.stragglers import StragglerPolicy
from sardinestair.ids import Incarnation
from sardinestair.jobs import CrashHistory, Job
from sardinestair.jobs.work import JobRunTimeEstimator
from sardinestair.limits import AdmissionControl, RetryBudget, ServiceLoad
from sardinestair.limits.load_view import ClassLoad, LoadView
from sardinestair.limits.share import EntryShare
from sardinestair.links.entry_link import EntryLink, LinkState
from sardinestair.messages import UpstreamStatus
from sardinestair.observability.burn import BurnRecorder
from sardinestair.outcomes import Problem, ProblemKind
from sardinestair.placement import (
    HealthRegistry,
    MeetObjective,
    OrderPolicy,
    ReadyQueue,
    RunTimeEstimator,
    WaitingTask,
    make_policy,
)
from sardinestair.placement.objective import MESSAGING_S
from sardinestair.settings import ServiceSettings

__all__ = ["ServiceState"]

# Upstreams announce themselves within two heartbeats of 1.5 s. Until then the
# throughput is unknown and no wait can be predicted.
DISCOVERY_GRACE_S = 3.0
# Links whose upstreams count: those that reconnect are back shortly.
_THROUGHPUT_STATES = (LinkState.UP, LinkState.CONNECTING)
# An evacuation usually lasts for seconds to hours.
EVACUATION_RETRY_S = 5.0


class ServiceState:
    """Queue, upstreams and learned estimates of one service.

    Args:
        name: Name of the service.
        settings: Its effective settings.
        created_s: The current time, on the entry's clock.
        crashes: Crashes of upstreams, by task.
        zone: The entry's availability zone.
        entry_share: The entry's share of the upstreams.

    Attributes:
        queue: Jobs with tasks that have not started.
        lookahead: Those of them that placement considers.
        load_view: Estimates the work that waits at all entries.
        class_admission: Admits jobs by class with the order `urgent_first`.
        links: Links to the sidecars of the service's upstreams.
        policy: Chooses an upstream for each task.
        retries: Retry budget for starts that ended as NOT_RUN.
        run_times_: Learned run times by kind of job.
        speeds: Estimates of the speed of each upstream.
        stragglers: Decides whether single overdue runs are moved.
        health: Health of the upstreams; unhealthy ones get no work.
        burn: Counts jobs against the service's objective.
        crash_avoidance: Keeps tasks off upstreams so that few of them crash.
        demand: Decides which sidecars receive the demand of the queued tasks.
        created_s: When this state was created, on the entry's clock.
        last_available_s: When admission last saw any throughput, on the
            entry's clock.
        evacuated_zones: Availability zones whose upstreams get no tasks.
        counted_links: Number of links when those in use were last counted.
        links_in_use: Number of links outside evacuated zones at that time.
    """

    def __init__(
        self,
        name: str,
        settings: ServiceSettings,
        created_s: float = 0.0,
        crashes: CrashHistory | None = None,
        zone: str = "",
        entry_share: EntryShare | None = None,
    ):
        self.created_s = created_s
        self.last_available_s = created_s
        self.name = name
        self.settings = settings
        self.queue = ReadyQueue(settings.order)
        self.load_view = LoadView(
            self.queue.waiting_by_class, self._serving_links
        )
        self.class_admission = ClassAdmission(self.queue)
        self.links: dict[Incarnation, EntryLink] = {}
        self.zone = zone
        self.policy = make_policy(settings.policy, settings.wait_margin, zone)
        self.retries = RetryBudget(settings.retry_ratio)
        self.run_times_: dict[str, RunTimeEstimator] = {}
        self.speeds = UpstreamSpeeds(
            settings.shared_speeds, settings.remote_factor
        )
        self.stragglers = StragglerPolicy()
        self.health = HealthRegistry(settings.max_outage_share)
        self.burn = BurnRecorder()
        self.crashes = CrashHistory() if crashes is None else crashes
        self.crash_avoidance = CrashAvoidance(self.crashes, self)
        self.lookahead = Lookahead(
            self.queue, self.crashes, self.crash_avoidance.must_spare_upstreams
        )
        self.demand = DemandPlanner(self)
        self.evacuated_zones: frozenset[str] = frozenset()
        self.counted_links = 0
        self.links_in_use = 0
        self.entry_share = entry_share or EntryShare()

    @property
    def share(self) -> float:
        """Share of the upstreams when all entries have demand."""
        return self.entry_share.value

    def set_evacuated_zones(self, zones: frozenset[str], now_s: float) -> None:
        """Applies a change of the evacuated zones."""
        changed = self.evacuated_zones ^ zones
        self.evacuated_zones = zones
        self.counted_links = 0
        for link in self.links.values():
            if link.candidate.zone in changed:
                self.refresh_candidate(link, now_s)
                link.notify()

    def observe_warmth(
        self, link: EntryLink, status: UpstreamStatus | None, now_s: float
    ) -> None:
        """Records the time for which an upstream is still slow."""
        link.warmup.observe(0.0 if status is None else status.cold_s, now_s)
        link.candidate.warm_share = link.warmup.share(
            now_s, self.settings.cold_share
        )

    def evacuation_refusal(self, now_s: float) -> Problem | None:
        """Returns why no job can run, or None if some upstream may take tasks.

        Upstreams that have not announced themselves yet may be in another
        zone, so that nothing is refused soon after the start.
        """
        if not self.evacuated_zones or not self.links:
            return None
        if now_s - self.created_s < DISCOVERY_GRACE_S:
            return None
        if not all(map(self.is_evacuated, self.links.values())):
            return None
        return Problem(
            ProblemKind.UNAVAILABLE,
            f"all upstreams of {self.name} are in evacuated zones",
            not_run=True,
            retry_after_s=EVACUATION_RETRY_S,
        )

    def is_evacuated(self, link: EntryLink) -> bool:
        """Returns True if a link's upstream is in an evacuated zone."""
        return link.candidate.zone in self.evacuated_zones

    def _links_in_use(self) -> Iterator[EntryLink]:
        """Yields the links outside evacuated zones."""
        for link in self.links.values():
            if not self.is_evacuated(link):
                yield link

    def _open_links(self, *states: LinkState) -> Iterator[EntryLink]:
        """Yields the links in these states outside evacuated zones."""
        for link in self._links_in_use():
            if link.state in states:
                yield link

    def configure(self, settings: ServiceSettings) -> None:
        """Applies changed settings; learned estimates are kept."""
        old, self.settings = self.settings, settings
        if settings == old:
            return
        self.queue.set_order(settings.order)
        self.speeds.is_shared = settings.shared_speeds
        self.speeds.remote_factor = settings.remote_factor
        self.retries.ratio = settings.retry_ratio
        self.health.max_ejected_share = settings.max_outage_share
        self.policy = make_policy(
            settings.policy, settings.wait_margin, self.zone
        )
        for link in self.links.values():
            self.policy.update(link.candidate)

    def response_objective_s(
        self, settings: ServiceSettings, work_s: float
    ) -> float | None:
        """Returns the response time objective of a job, in seconds.

        Args:
            settings: The settings that apply to the job.
            work_s: Expected run time of its longest task, in seconds.

        Returns:
            The objective, or None if only the deadline applies.
        """
        limit_s = settings.objective_s + settings.objective_stretch * work_s
        return limit_s if limit_s > 0 else None

    def useful_lifetime_s(
        self, settings: ServiceSettings, work_s: float, deadline_s: float
    ) -> float:
        """Returns the response time up to which an answer is of use.

        Args:
            settings: The settings that apply to the job.
            work_s: Expected run time of its longest task, in seconds.
            deadline_s: Deadline set by the caller, in seconds.
        """
        objective_s = self.response_objective_s(settings, work_s)
        if objective_s is None or settings.useful_factor <= 0:
            return deadline_s
        return min(deadline_s, settings.useful_factor * objective_s)

    def backlog_s(self) -> float:
        """Returns the predicted time to work off the queue, in seconds.

        Without throughput it is the time in which upstreams announce
        themselves.
        """
        rate = self.entry_throughput()
        return self.queue.waiting_work_s / rate if rate else DISCOVERY_GRACE_S

    def meets_objective(self, job: Job, response_s: float) -> bool:
        """Returns True if a complete answer met the objective."""
        return response_s <= job.soft_deadline_s - job.accepted_s

    def estimate(
        self, kind: str, declared_s: float | None
    ) -> JobRunTimeEstimator:
        """Returns the run time estimate for the tasks of a new job."""
        run_times = self.run_times_.setdefault(kind, RunTimeEstimator())
        return self.speeds.estimate_job(run_times, declared_s)

    def observe_run(self, job: Job, link: EntryLink, run_s: float) -> None:
        """Updates run time and speed estimates from a completed task."""
        candidate = link.candidate
        self.stragglers.observe_run(
            run_s, self.speeds.expected_run_s(candidate, job)
        )
        typical_s = self.speeds.observe_run(candidate, job, run_s)
        candidate.observe_run_time(run_s)
        job.run_time.observe(typical_s)
        run_times = self.run_times_.setdefault(job.kind, RunTimeEstimator())
        run_times.observe(typical_s)

    def observe_overdue(
        self, link: EntryLink, job: Job, age_s: float, now_s: float
    ) -> None:
        """Updates the speed estimate of an upstream from an overdue task."""
        self.speeds.observe_overdue(link.candidate, job, age_s)
        self.refresh_candidate(link, now_s)

    def take_deferrals(self) -> int:
        """Returns how often a task was left waiting since the last call."""
        if not isinstance(self.policy, MeetObjective):
            return 0
        deferrals, self.policy.deferrals = self.policy.deferrals, 0
        return deferrals

    def slowdown_range(self) -> tuple[float, float]:
        """Returns the least and the greatest slowdown of the upstreams."""
        slowdowns = [link.candidate.slowdown_ for link in self.links.values()]
        return min(slowdowns, default=1.0), max(slowdowns, default=1.0)

    def refresh_candidate(self, link: EntryLink, now_s: float) -> None:
        """Updates the placement candidate of a link from the link's state."""
        candidate = link.candidate
        candidate.outstanding = len(link.outstanding)
        is_usable = (
            link.state is LinkState.UP
            and not self.is_evacuated(link)
            and self.health.allows_start(
                link.sidecar, candidate.outstanding, now_s
            )
        )
        candidate.is_usable = is_usable
        candidate.credits = link.account.available if is_usable else 0
        if link.state is LinkState.CLOSED:
            self.policy.remove(candidate)
        else:
            self.policy.update(candidate)

    def _serving_links(self) -> Iterator[EntryLink]:
        """Yields the links that accept work."""
        return self._open_links(*_THROUGHPUT_STATES)

    def backlog_for(self, link: EntryLink) -> list[ClassLoad]:
        """Returns the waiting work to report to a sidecar, by class.

        It is divided by the links outside evacuated zones.
        """
        if self.is_evacuated(link):
            return []
        return self.queue.waiting_by_class.per_link(self._count_links_in_use())

    def _count_links_in_use(self) -> int:
        """Returns the number of links outside evacuated zones.

        While zones are evacuated they are counted anew only if the number of
        all links has changed, since each report needs the number.
        """
        if not self.evacuated_zones:
            return len(self.links)
        if self.counted_links != len(self.links):
            self.counted_links = len(self.links)
            self.links_in_use = sum(1 for _ in self._links_in_use())
        return self.links_in_use

    @property
    def slots(self) -> int:
        """Number of slots of the upstreams that accept work."""
        return sum(
            round(link.candidate.concurrency)
            for link in self._open_links(LinkState.UP)
        )

    def throughput(self) -> float:
        """Returns the work done per second by all upstreams.

        Work is measured as run time on an upstream of typical speed. Links
        that are reconnecting count, because they are back shortly.
        """
        return sum(
            link.candidate.warm_share
            * link.candidate.concurrency
            / link.candidate.slowdown_
            for link in self._serving_links()
        )

    def entry_throughput(self) -> float:
        """Returns the work done per second for this entry.

        It is the rate of its running tasks, or its share of the throughput if
        that is larger.
        """
        running = throughput = 0.0
        for link in self.links.values():
            candidate = link.candidate
            slowdown = candidate.slowdown_
            running += len(link.outstanding) / slowdown
            if (
                link.state in _THROUGHPUT_STATES
                and candidate.zone not in self.evacuated_zones
            ):
                throughput += (
                    candidate.warm_share * candidate.concurrency / slowdown
                )
        return max(running, self.share * throughput)

    def load(
        self,
        team: str,
        work_s: float,
        now_s: float,
        latest_start_s: float | None = None,
        priority: int = 0,
    ) -> ServiceLoad:
        """Returns the load that admission control checks a new job against.

        Args:
            team: The caller's team.
            work_s: Expected run time of all tasks of the job, in seconds.
            now_s: The current time, on the entry's clock.
            latest_start_s: When the job must start to meet its objective.
            priority: The job's priority.
        """
        rate = self.entry_throughput()
        if rate:
            self.last_available_s = now_s
        ahead_s = work_s + self.queue.work_ahead_s(
            team, work_s, now_s, latest_start_s, priority
        )
        if not self.can_predict_wait(now_s):
            expected_s = 0.0
        else:
            expected_s = ahead_s / rate if rate else float("inf")
        return ServiceLoad(
            self.queue.waiting_tasks, self.queue.waiting_bytes, expected_s
        )

    @property
    def has_classes(self) -> bool:
        """True if jobs are served and admitted by urgency class."""
        return self.queue.order is OrderPolicy.URGENT_FIRST

    def admit_by_class(
        self, applicant: Applicant, now_s: float
    ) -> Result[int, Problem]:
        """Decides on a job by its class, if the order has classes.

        Args:
            applicant: The job.
            now_s: The current time, on the entry's clock.

        Returns:
            The class in which it waits, or the problem with which it is
            refused.
        """
        if not self.has_classes:
            return Ok(applicant.priority)
        admission, priority = self.class_admission, applicant.priority
        view = self.load_view if self.settings.shared_backlog else None
        if not admission.has_backlog(priority, now_s, view):
            return admission.admit_at_once(applicant, now_s)
        if not self.can_predict_wait(now_s):
            return Ok(priority)
        room = Room.of(self._links_in_use(), self.share, applicant)
        return admission.admit(applicant, room, now_s, view)

    def useless_jobs(self, now_s: float) -> list[Job]:
        """Returns the waiting jobs that would end too late to be of use.

        Args:
            now_s: The current time, on the entry's clock.
        """
        if not (self.has_classes and self.can_predict_wait(now_s)):
            return self.queue.no_longer_useful(now_s)
        room = Room.of(self._links_in_use(), self.share)
        return useless_jobs(self.queue, room.tasks_per_s, now_s)

    def can_predict_wait(self, now_s: float) -> bool:
        """Returns True if the known links allow a prediction of the wait.

        They don't during a grace period after the start, in which upstreams
        announce themselves, and after the loss of all upstreams.
        """
        since_s = self.created_s
        if not self._has_throughput():
            since_s = self.last_available_s
        return now_s - since_s >= DISCOVERY_GRACE_S

    def _has_throughput(self) -> bool:
        """Returns True if `throughput` isn't 0, at the cost of one link."""
        return any(
            link.candidate.warm_share
            * link.candidate.concurrency
            / link.candidate.slowdown_
            > 0
            for link in self._open_links(*_THROUGHPUT_STATES)
        )

    def admission(self) -> AdmissionControl:
        """Returns the limits on the queue."""
        return AdmissionControl(
            self.settings.max_queued_tasks, self.settings.max_queued_bytes
        )

    def waiting_task(
        self,
        job: Job,
        tasks_ahead: int,
        now_s: float,
        excluded: Container[Incarnation] = frozenset(),
    ) -> WaitingTask:
        """Returns the properties of a job's next task, for placement."""
        return WaitingTask(
            self._placement_run_s(job),
            tasks_ahead,
            job.need,
            excluded,
            job.is_late,
            job.run_time.mean_s_,
            job.soft_deadline_s - now_s - MESSAGING_S,
            self.share,
            job.rack,
            self.settings.remote_factor,
        )

    def _placement_run_s(self, job: Job) -> float:
        """Returns the run time that placement assumes, in seconds.

        With `tail_aware` the mean is scaled by the tail ratio of the kind,
        since the few long tasks decide when a job ends.
        """
        if not self.settings.tail_aware:
            return job.run_time.mean_s_
        run_times = self.run_times_.get(job.kind)
        ratio = run_times.tail_ratio if run_times else 1.0
        return job.run_time.mean_s_ * ratio

    def run_time_spread_s(self, kind: str) -> float:
        """Returns the standard deviation of a kind's run times, in seconds."""
        run_times = self.run_times_.get(kind)
        return run_times.spread_s if run_times else 0.0

    def next_placement(self, now_s: float) -> tuple[Job, EntryLink] | None:
        """Chooses the next job of which to start a task, and the link.

        A job that should wait for a faster upstream does not block the jobs
        behind it.

        Args:
            now_s: The current time, on the entry's clock.

        Returns:
            The job and the link, or None if no task can or should start now.
        """
        self.queue.demote_late(now_s)
        if not self.policy.has_available():
            return None
        for job, tasks_ahead in self.lookahead.jobs():
            excluded = self.crash_avoidance.excluded_upstreams(job, now_s)
            task = self.waiting_task(job, tasks_ahead, now_s, excluded)
            candidate = self.policy.select(task)
            if candidate is not None:
                return job, self.links[candidate.sidecar]
        return None
