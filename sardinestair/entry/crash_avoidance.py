"""Keeps tasks off upstreams so that few of them crash."""

from typing import Protocol

from sardinestair.ids import Incarnation
from sardinestair.jobs import CrashHistory, Job
from sardinestair.links.entry_link import EntryLink, LinkState
from sardinestair.settings import ServiceSettings

__all__ = ["CrashAvoidance", "UpstreamsState"]


class UpstreamsState(Protocol):
    """The upstreams of a service.

    Attributes:
        links: Links to their sidecars.
        settings: Settings of the service.
    """

    links: dict[Incarnation, EntryLink]
    settings: ServiceSettings

    def is_evacuated(self, link: EntryLink) -> bool:
        """Returns True if a link's upstream is in an evacuated zone."""
        ...


class CrashAvoidance:
    """Decides which upstreams a task stays off because of crashes.

    Args:
        crashes: Crashes of upstreams, by task.
        state: The upstreams of the service.

    Attributes:
        probation_until_s: Until when an upstream runs a task that may have
            crashed another one, by sidecar, on the entry's clock.
    """

    def __init__(self, crashes: CrashHistory, state: UpstreamsState):
        self.crashes = crashes
        self.state = state
        self.probation_until_s: dict[Incarnation, float] = {}

    def forget(self, sidecar: Incarnation) -> None:
        """Forgets an upstream that is gone."""
        self.probation_until_s.pop(sidecar, None)

    def must_spare_upstreams(self) -> bool:
        """Returns True if more upstreams are gone than may be taken out."""
        gone = sum(
            link.state is LinkState.LEAVING
            and not self.state.is_evacuated(link)
            for link in self.state.links.values()
        )
        limit = self.state.settings.max_outage_share * len(self.state.links)
        return gone > limit

    def excluded_upstreams(self, job: Job, now_s: float) -> set[Incarnation]:
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
            for sidecar, link in self.state.links.items()
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
