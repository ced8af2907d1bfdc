"""Admission control: decides which jobs an entry accepts."""

from collections.abc import Callable

from expression import Error, Ok, Result

from sardinestair.clock import Clock
from sardinestair.entry.class_admission import Applicant
from sardinestair.entry.service_state import ServiceState
from sardinestair.ids import JobId, job_id_time_s
from sardinestair.jobs import JobRequest
from sardinestair.jobs.request import ParsedRequest
from sardinestair.limits import TeamQuota
from sardinestair.limits.forecast import highest_price
from sardinestair.limits.money import Micros, slot_cost
from sardinestair.limits.self_load import EntryDelay
from sardinestair.limits.share import EntryShare
from sardinestair.outcomes import Problem, ProblemKind
from sardinestair.settings import ServiceSettings, SettingsTree
from sardinestair.settings.tree import SettingsCache

__all__ = ["AdmissionController"]

MAX_CLOCK_SKEW_S = 60.0
# Margin for the wait in the queue and for tasks that exceed their expected run
# time.
DRAIN_SAFETY_FACTOR = 2.0


class AdmissionController:
    """Checks new jobs against settings, limits, load and quotas.

    Args:
        zone: The entry's availability zone.
        clock: The clock.
        has_claim_store: True if there is a store for claims.
        claim_retention_s: Age above which the id of an unrepeatable job is
            refused, in seconds.

    Attributes:
        tree: The settings tree in force, or None if none has been adopted.
        team_quotas: Token buckets of the teams that have a quota.
        share: The entry's share of the upstreams and quotas.
        is_draining: True once the entry has begun to stop.
        drain_deadline_s: While draining, jobs expected to end before this
            time are still accepted; None to accept none.
        entry_delay: Delay that the entry adds to a job; None ignores it.
    """

    def __init__(
        self,
        zone: str,
        clock: Clock,
        has_claim_store: bool,
        claim_retention_s: float,
    ):
        self.zone = zone
        self.clock = clock
        self.has_claim_store = has_claim_store
        self.claim_retention_s = claim_retention_s
        self.tree: SettingsTree | None = None
        self.team_quotas: dict[str, TeamQuota] = {}
        self.share = EntryShare()
        self.settings_cache = SettingsCache()
        self.is_draining = False
        self.drain_deadline_s: float | None = None
        self.entry_delay: EntryDelay | None = None

    def check(
        self, parsed: ParsedRequest, state_of: Callable[[str], ServiceState]
    ) -> Result[int, Problem]:
        """Decides whether a job is accepted.

        Args:
            parsed: The validated request.
            state_of: Returns the state of a service.

        Returns:
            The urgency class in which the job waits, or the problem with which
            it is refused.
        """
        refusal = self._check_request(parsed, state_of)
        if refusal is not None:
            return Error(refusal)
        return self._check_limits(parsed, state_of(parsed.request.service))

    def _check_request(
        self, parsed: ParsedRequest, state_of: Callable[[str], ServiceState]
    ) -> Problem | None:
        """Checks what doesn't depend on the load."""
        request = parsed.request
        if self.is_draining and self.drain_deadline_s is None:
            return _draining_problem()
        if self.tree is None:
            return Problem(
                ProblemKind.UNAVAILABLE,
                "the entry has not received any settings yet",
                not_run=True,
                retry_after_s=1.0,
            )
        if request.service not in self.tree.services:
            return Problem(
                ProblemKind.UNKNOWN_SERVICE,
                f"service must be one of the configured services, got "
                f"{request.service!r}",
                not_run=True,
                field="service",
            )
        if request.unrepeatable:
            refusal = self._check_claim(parsed.job_id)
            if refusal is not None:
                return refusal
        state = state_of(request.service)
        if self.is_draining and not self._ends_before_drain(request, state):
            return _draining_problem()
        return None

    def _ends_before_drain(
        self, request: JobRequest, state: ServiceState
    ) -> bool:
        """Returns True if a job is expected to end before the drain does."""
        assert self.drain_deadline_s is not None
        estimate = state.estimate(request.kind, request.declared_task_s)
        expected_s = DRAIN_SAFETY_FACTOR * estimate.mean_s_
        return self.clock.monotonic() + expected_s < self.drain_deadline_s

    def _check_claim(self, job_id: JobId) -> Problem | None:
        if not self.has_claim_store:
            return Problem(
                ProblemKind.UNAVAILABLE,
                "unrepeatable jobs need a store; this entry runs without one",
                not_run=True,
            )
        age_s = self.clock.now().timestamp() - job_id_time_s(job_id)
        if -MAX_CLOCK_SKEW_S <= age_s <= self.claim_retention_s:
            return None
        return Problem(
            ProblemKind.INVALID,
            f"the timestamp in id must be in the last "
            f"{self.claim_retention_s:.0f} s, got {age_s:.0f} s ago",
            not_run=True,
            field="id",
        )

    def monthly_budget(self, team: str) -> int | None:
        """Returns a team's monthly budget in minor units, or None."""
        limits = self.tree.teams.get(team) if self.tree else None
        return limits.monthly_budget if limits else None

    def max_task_cost(self, request: JobRequest) -> Micros:
        """Returns the maximum cost of one task of a request."""
        if self.tree is None or request.service not in self.tree.services:
            return Micros(0)
        settings = self.effective_settings(request)
        deadline_s = request.deadline_s or settings.deadline_s
        longest_s = min(deadline_s, settings.max_task_s)
        price = highest_price(self.tree, request.service)
        return slot_cost(longest_s, price)

    def effective_settings(self, request: JobRequest) -> ServiceSettings:
        """Returns the settings in effect for a request."""
        assert self.tree is not None
        return self.settings_cache.resolve(
            self.tree, request.service, self.zone, request.kind
        )

    def priority(self, request: JobRequest) -> int | None:
        """Returns the urgency class of a request, or None if unknown."""
        if self.tree is None or request.service not in self.tree.services:
            return None
        return self.effective_settings(request).priority

    def _check_limits(
        self, parsed: ParsedRequest, state: ServiceState
    ) -> Result[int, Problem]:
        request = parsed.request
        settings = self.effective_settings(request)
        refusal = _check_size(request, settings)
        if refusal is not None:
            return Error(refusal)
        tasks = len(request.tasks)
        deadline_s = request.deadline_s or settings.deadline_s
        now_s = self.clock.monotonic()
        refusal = state.evacuation_refusal(now_s)
        if refusal is not None:
            return Error(refusal)
        size = sum(len(p) for p in request.payloads)
        estimate = state.estimate(request.kind, request.declared_task_s)
        objective_s = state.response_objective_s(settings, estimate.mean_s_)
        load = state.load(
            request.team,
            estimate.mean_s_ * tasks,
            now_s,
            now_s + (objective_s or deadline_s) - estimate.mean_s_,
            settings.priority,
        )
        if self.entry_delay is not None:
            slack_s = (objective_s or deadline_s) - estimate.mean_s_
            checked = self.entry_delay.check(slack_s)
            if checked.is_error():
                return Error(checked.error)
            load = self.entry_delay.add_to(load)
        useful_s = state.useful_lifetime_s(
            settings, estimate.mean_s_, deadline_s
        )
        decision = state.admission().admit(load, tasks, size, useful_s)
        if decision.is_error():
            return Error(decision.error)
        applicant = Applicant(
            parsed.job_id,
            request.team,
            settings.priority,
            tasks,
            estimate.mean_s_,
            objective_s or deadline_s,
            useful_s,
            request.need,
        )
        admitted = state.admit_by_class(applicant, now_s)
        if admitted.is_error():
            return admitted
        quota = self._check_quota(request.team, tasks)
        return quota.map(lambda _: admitted.ok)

    def _check_quota(self, team: str, tasks: int) -> Result[None, Problem]:
        limits = self.tree.teams.get(team) if self.tree else None
        if limits is None or limits.tasks_per_s is None:
            return Ok(None)
        quota = self.team_quotas.get(team)
        if quota is None:
            quota = self.team_quotas[team] = TeamQuota(limits.tasks_per_s)
        quota.tasks_per_s = limits.tasks_per_s
        share = self.share.value
        return quota.try_acquire(team, tasks, share, self.clock.monotonic())


def _check_size(
    request: JobRequest, settings: ServiceSettings
) -> Problem | None:
    tasks = len(request.tasks)
    if tasks > settings.max_tasks:
        return Problem(
            ProblemKind.TOO_LARGE,
            f"tasks must number 1 to {settings.max_tasks}, got {tasks}",
            not_run=True,
            field="tasks",
        )
    deadline_s = request.deadline_s or settings.deadline_s
    if deadline_s > settings.max_deadline_s:
        return Problem(
            ProblemKind.INVALID,
            f"deadline_s must be in (0, {settings.max_deadline_s}] s, "
            f"got {deadline_s}",
            not_run=True,
            field="deadline_s",
        )
    return None


def _draining_problem() -> Problem:
    return Problem(
        ProblemKind.DRAINING,
        "the entry is stopping; submit through another entry",
        not_run=True,
        retry_after_s=0.1,
    )
