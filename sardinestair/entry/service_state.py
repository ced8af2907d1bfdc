"""State that an entry keeps for each service."""

import itertools
from collections import Counter
from collections.abc import Container, Iterator

from expression import Ok, Result

from sardinestair.entry.class_admission import (
    Applicant,
    ClassAdmission,
    Room,
)
from sardinestair.entry.shedding import useless_jobs
from sardinestair.entry.speeds import UpstreamSpeeds
from sardinestair.entry.stragglers import StragglerPolicy
from sardinestair.ids import Incarnation
from sardinestair.jobs import CrashHistory, Job
from sardinestair.jobs.work import JobRunTimeEstimator
from sardinestair.limits import AdmissionControl, RetryBudget, ServiceLoad
from sardinestair.limits.credit_priority import demand_class
from sardinestair.limits.load_view import ClassLoad, LoadView
from sardinestair.links.entry_link import EntryLink, LinkState
from sardinestair.messages import Demand, UpstreamStatus
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
from sardinestair.placement.objective import MESSAGING_S, remoteness
from sardinestair.settings import ServiceSettings

__all__ = ["ServiceState"]

# Queued jobs that one placement considers: of each kind, and in total.
MAX_LOOKAHEAD_PER_KIND = 3
MAX_LOOKAHEAD_JOBS = 64
# Sidecars that receive the demand for one waiting task at first. With more of
# them free capacity is found sooner, but unused credits must be returned.
TARGETS_PER_TASK = 1
# Upstreams announce themselves within two heartbeats of 1.5 s. Until then the
# throughput is unknown and no wait can be predicted.
DISCOVERY_GRACE_S = 3.0
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

    Attributes:
        queue: Jobs with tasks that have not started.
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
        probation_until_s: Until when an upstream runs a task that may have
            crashed another one, by sidecar.
        demand_targets: Sidecars that receive the demand of the queued tasks.
        declined: Sidecars whose credits no task has used since the last
            periodic check.
        share: This entry's share of the upstreams when all entries have
            demand.
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
        self.crashes = crashes or CrashHistory()
        self.probation_until_s: dict[Incarnation, float] = {}
        self.demand_targets: set[Incarnation] = set()
        self.declined: set[Incarnation] = set()
        self.next_target = 0
        self.evacuated_zones: frozenset[str] = frozenset()
        self.counted_links = 0
        self.links_in_use = 0
        self.share = 1.0

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
        if not all(map(self._is_evacuated, self.links.values())):
            return None
        return Problem(
            ProblemKind.UNAVAILABLE,
            f"all upstreams of {self.name} are in evacuated zones",
            not_run=True,
            retry_after_s=EVACUATION_RETRY_S,
        )

    def _is_evacuated(self, link: EntryLink) -> bool:
        return link.candidate.zone in self.evacuated_zones

    def _links_in_use(self) -> Iterator[EntryLink]:
        """Yields the links outside evacuated zones."""
        for link in self.links.values():
            if not self._is_evacuated(link):
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

    def backlog_s(self, share: float) -> float:
        """Returns the predicted time to work off the queue, in seconds.

        Without throughput it is the time in which upstreams announce
        themselves.

        Args:
            share: This entry's share of the upstreams when all entries have
                demand.
        """
        rate = self.entry_throughput(share)
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
            and not self._is_evacuated(link)
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
        return self._open_links(LinkState.UP, LinkState.CONNECTING)

    def backlog_for(self, link: EntryLink) -> list[ClassLoad]:
        """Returns the waiting work to report to a sidecar, by class.

        It is divided by the links outside evacuated zones.
        """
        if self._is_evacuated(link):
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

    def entry_throughput(self, share: float) -> float:
        """Returns the work done per second for this entry.

        Args:
            share: This entry's share of the upstreams when all entries have
                demand.

        Returns:
            The rate of its running tasks, or its share of the throughput if
            that is larger.
        """
        running = sum(
            len(link.outstanding) / link.candidate.slowdown_
            for link in self.links.values()
        )
        return max(running, share * self.throughput())

    def load(
        self,
        team: str,
        work_s: float,
        share: float,
        now_s: float,
        latest_start_s: float | None = None,
        priority: int = 0,
    ) -> ServiceLoad:
        """Returns the load that admission control checks a new job against.

        Args:
            team: The caller's team.
            work_s: Expected run time of all tasks of the job, in seconds.
            share: This entry's share of the upstreams when all entries have
                demand.
            now_s: The current time, on the entry's clock.
            latest_start_s: When the job must start to meet its objective.
            priority: The job's priority.
        """
        rate = self.entry_throughput(share)
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
        self, applicant: Applicant, share: float, now_s: float
    ) -> Result[int, Problem]:
        """Decides on a job by its class, if the order has classes.

        Args:
            applicant: The job.
            share: This entry's share of the upstreams when all entries have
                demand.
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
        room = Room.of(self._links_in_use(), share, applicant)
        return admission.admit(applicant, room, now_s, view)

    def useless_jobs(self, share: float, now_s: float) -> list[Job]:
        """Returns the waiting jobs that would end too late to be of use.

        Args:
            share: This entry's share of the upstreams when all entries have
                demand.
            now_s: The current time, on the entry's clock.
        """
        if not (self.has_classes and self.can_predict_wait(now_s)):
            return self.queue.no_longer_useful(now_s)
        room = Room.of(self._links_in_use(), share)
        return useless_jobs(self.queue, room.tasks_per_s, now_s)

    def can_predict_wait(self, now_s: float) -> bool:
        """Returns True if the known links allow a prediction of the wait.

        They don't during a grace period after the start, in which upstreams
        announce themselves, and after the loss of all upstreams.
        """
        since_s = self.created_s if self.throughput() else self.last_available_s
        return now_s - since_s >= DISCOVERY_GRACE_S

    def admission(self) -> AdmissionControl:
        """Returns the limits on the queue."""
        return AdmissionControl(
            self.settings.max_queued_tasks, self.settings.max_queued_bytes
        )

    def add_demand_targets(
        self, count: int, now_s: float = 0.0
    ) -> list[EntryLink]:
        """Adds sidecars to the demand targets, in turn.

        Args:
            count: Maximum number of sidecars to add.
            now_s: The current time, on the entry's clock.

        Returns:
            Their links.
        """
        links = list(self.links.values())
        skipped = self.demand_targets | self.declined
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
            self.demand_targets.update(link.sidecar for link in chosen)
        return chosen

    def _prefer_in_time(
        self, links: list[EntryLink], now_s: float
    ) -> list[EntryLink]:
        """Moves the upstreams that would make the first job late to the end.

        The others keep their order.
        """
        job = self.queue.head()
        if job is None or not isinstance(self.policy, MeetObjective):
            return links
        task = self._waiting_task(job, 0, now_s)

        def is_too_slow(link: EntryLink) -> bool:
            candidate = link.candidate
            remote = remoteness(candidate, task.rack, task.remote_factor)
            return remote * candidate.slowdown_ > task.max_slowdown

        return sorted(links, key=is_too_slow)

    def demand(self, link: EntryLink, now_s: float) -> Demand:
        """Returns the demand for credits of a link's upstream.

        It is zero if the sidecar is not a demand target, if no queued task
        would start there, or if the credits held already cover the next one.
        """
        if link.sidecar not in self.demand_targets or self._is_evacuated(link):
            return Demand(0, 0.0)
        job = self._first_job_for(link, now_s)
        if job is None:
            return Demand(0, 0.0)
        units = link.candidate.units_needed(job.need)
        if units is None or link.account.available >= units:
            return Demand(0, 0.0)
        outstanding = len(link.outstanding)
        if not self.health.allows_start(link.sidecar, outstanding, now_s):
            return Demand(0, 0.0)
        waiting = self.queue.waiting_tasks
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
        if self.queue.waiting_by_class.count_priorities() < 2:
            return 0
        number = demand_class(job.queue_class, job.is_late)
        share = self.queue.waiting_by_class.task_share(number)
        return max(units, round(wanted * share / units) * units)

    def _first_job_for(self, link: EntryLink, now_s: float) -> Job | None:
        """Returns the first queued job that the policy would start there."""
        tasks_ahead = self.queue.waiting_tasks - 1
        for job in self._lookahead_jobs():
            task = self._waiting_task(job, tasks_ahead, now_s)
            if task.is_late or self.policy.should_start(link.candidate, task):
                return job
        return None

    def _waiting_task(
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

    def _lookahead_jobs(self) -> Iterator[Job]:
        """Yields the first jobs of each kind, in queue order.

        Jobs of one kind have similar run times and needs: if the first few
        can't be placed, further ones can't either.
        """
        seen: dict[tuple[str, bool, str], int] = {}
        for job in self.queue.first_jobs(MAX_LOOKAHEAD_JOBS):
            if self._must_wait(job):
                continue
            group = (job.kind, job.is_late, job.rack)
            count = seen[group] = seen.get(group, 0) + 1
            if count <= MAX_LOOKAHEAD_PER_KIND:
                yield job

    def _must_wait(self, job: Job) -> bool:
        """Returns True if a job's next task might crash one upstream too many.

        A task that may have caused a crash waits while more upstreams are away
        than may be taken out for failing, so that the others are spared.
        """
        if not self.crashes.find(job.job_id, job.waiting[0]):
            return False
        away = sum(
            link.state is LinkState.LEAVING and not self._is_evacuated(link)
            for link in self.links.values()
        )
        return away > self.settings.max_outage_share * len(self.links)

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

    def _excluded_upstreams(self, job: Job, now_s: float) -> set[Incarnation]:
        """Returns the upstreams to avoid for a job's next task.

        They are those where the job has failed, and those on which its task
        would hide the cause of another crash. Either are used if no other
        upstream is usable.
        """
        on_probation = self._on_probation(job, now_s)
        excluded: set[Incarnation] = set()
        if not (job.failed_upstreams or on_probation):
            return excluded
        usable = {
            sidecar
            for sidecar, link in self.links.items()
            if link.candidate.is_usable
        }
        for avoided in (job.failed_upstreams, on_probation):
            if usable - excluded - avoided:
                excluded |= avoided
        return excluded

    def _on_probation(self, job: Job, now_s: float) -> set[Incarnation]:
        """Returns the upstreams that should not get a job's next task yet.

        Of the tasks that may have caused a crash an upstream gets one at a
        time if possible, so that another crash shows which of them it was.
        """
        if not self.crashes.find(job.job_id, job.waiting[0]):
            return set()
        return {
            sidecar
            for sidecar, until_s in self.probation_until_s.items()
            if now_s < until_s
        }

    def record_placement(
        self, job: Job, index: int, link: EntryLink, now_s: float
    ) -> None:
        """Records that a task is about to be started."""
        crashes = self.crashes.find(job.job_id, index)
        if crashes is not None:
            self.probation_until_s[link.sidecar] = now_s + crashes.probation_s

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
        # Tasks for a rack compete with each other for its upstreams.
        ahead: Counter[str] = Counter()
        for job in self._lookahead_jobs():
            ahead[job.rack] += len(job.waiting)
            tasks_ahead = (ahead[job.rack] if job.rack else ahead.total()) - 1
            excluded = self._excluded_upstreams(job, now_s)
            task = self._waiting_task(job, tasks_ahead, now_s, excluded)
            candidate = self.policy.select(task)
            if candidate is not None:
                return job, self.links[candidate.sidecar]
        return None
