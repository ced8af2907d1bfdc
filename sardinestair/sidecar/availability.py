"""Whether the sidecar's upstream takes tasks, and what runs them there."""

from collections.abc import Callable

from sardinestair.clock import Clock
from sardinestair.limits.resources import Resources, units_needed
from sardinestair.membership.evacuation import EvacuationRegister
from sardinestair.messages import EvacuationView
from sardinestair.observability import EventLog, Metrics
from sardinestair.upstreams import Announcement, Upstream, UpstreamCaller
from sardinestair.upstreams.caller import TaskCaller
from sardinestair.upstreams.departure import is_notably_sooner
from sardinestair.upstreams.upstream import UpstreamState

__all__ = ["CallerFactory", "UpstreamAvailability"]

CallerFactory = Callable[[Announcement, Callable[[], None]], TaskCaller]


class UpstreamAvailability:
    """Follows the upstream's announcements and the evacuations of its zone.

    Args:
        zone: The sidecar's availability zone.
        clock: The clock.
        metrics: The process's metrics.
        log: The sidecar's log.
        make_caller: Returns the caller for an announced upstream. The caller
            invokes the second argument when the upstream stops answering.
            Tasks are sent as HTTP requests if not given.

    Attributes:
        upstream: State of the sidecar's upstream.
        caller: Runs tasks at the announced upstream; None before the first
            announcement.
        evacuations: The evacuated availability zones.
        is_draining: True once announcements are rejected for good.
        not_run_statuses: HTTP statuses with which the service reports that a
            task did not begin.
        on_opened: Called when the upstream has announced another address or
            capacity.
        on_closed: Called when the upstream takes no more tasks.
        on_returned: Called when the upstream takes tasks again, after an
            evacuation of its zone or an absence.
        on_changed: Called when its announcement to entries has changed.
    """

    def __init__(
        self,
        zone: str,
        clock: Clock,
        metrics: Metrics,
        log: EventLog,
        make_caller: CallerFactory | None = None,
    ):
        self.zone = zone
        self.clock = clock
        self.metrics = metrics
        self.log = log
        self.make_caller = make_caller or self._make_http_caller
        self.upstream = Upstream()
        self.caller: TaskCaller | None = None
        self.evacuations = EvacuationRegister()
        self.is_draining = False
        self.not_run_statuses: frozenset[int] = frozenset()
        self.on_opened: Callable[[], None] = lambda: None
        self.on_closed: Callable[[], None] = lambda: None
        self.on_returned: Callable[[], None] = lambda: None
        self.on_changed: Callable[[], None] = lambda: None
        metrics.gauge("evacuated", {}, 0)

    @property
    def is_serving(self) -> bool:
        """True if the upstream is announced, answers and does not leave."""
        return self.upstream.state is UpstreamState.SERVING

    @property
    def is_evacuated(self) -> bool:
        """True if the sidecar's zone is evacuated."""
        return self.zone in self.evacuations.view.zones

    @property
    def accepts_tasks(self) -> bool:
        """True if the upstream serves and its zone is not evacuated."""
        return self.is_serving and not self.is_evacuated

    @property
    def is_leased(self) -> bool:
        """True if tasks at the upstream end with a lease."""
        return self.caller is not None and self.caller.is_leased

    def units_needed(self, need: Resources | None) -> int | None:
        """Returns the credits that a task needs; None if it doesn't fit."""
        return units_needed(need, self.upstream.capacity, self.upstream.slots)

    def observe_evacuations(self, view: EvacuationView) -> None:
        """Merges a view of the evacuated zones.

        While its own zone is evacuated, the sidecar starts no tasks and grants
        no credits, whatever its entries assume. Running tasks continue.
        """
        was_evacuated = self.is_evacuated
        self.evacuations.observe(view)
        if self.is_evacuated == was_evacuated:
            return
        self.metrics.gauge("evacuated", {}, int(self.is_evacuated))
        if self.is_evacuated:
            self._close("zone evacuated")
        elif self.accepts_tasks:
            self.on_returned()

    def announce(self, announcement: Announcement) -> bool:
        """Handles an announcement of the upstream.

        Returns:
            False if it is rejected because the sidecar is draining.
        """
        if self.is_draining:
            return False
        old = self.upstream.announcement
        now_s = self.clock.monotonic()
        if not self.upstream.announce(announcement, now_s):
            return True
        if self.caller is None or old != announcement:
            self._open(announcement)
        self.log.info(
            "upstream_serving",
            service=announcement.service,
            upstream=announcement.address,
            slots=self.upstream.slots,
        )
        if self.accepts_tasks:
            self.on_returned()
        self.on_changed()
        return True

    def leave(self, leaves_in_s: float | None = None) -> bool:
        """Marks the upstream as leaving, so that no new tasks are accepted.

        Args:
            leaves_in_s: Time after which it leaves at the earliest, in
                seconds, if announced.

        Returns:
            True if the upstream was serving.
        """
        leaves_at_s = (
            None
            if leaves_in_s is None
            else self.clock.monotonic() + leaves_in_s
        )
        announced_s = self.upstream.leaves_at_s
        was_serving = self.upstream.leave(leaves_at_s)
        if was_serving:
            self._close("left")
        elif is_notably_sooner(leaves_at_s, announced_s):
            self.on_changed()
        return was_serving

    def drain(self) -> None:
        """Marks the upstream as leaving, and rejects further announcements."""
        self.is_draining = True
        self.leave()

    def expire(self, now_s: float) -> None:
        """Closes the upstream if its announcement has expired."""
        if self.upstream.expire(now_s):
            self._close("announcement expired")

    def report_lost(self) -> None:
        """Reports that the current caller's upstream stopped answering."""
        if self.caller is not None:
            self.handle_lost(self.caller)

    def handle_lost(self, caller: TaskCaller) -> None:
        """Marks a caller's upstream as unreachable until it is announced."""
        if caller is self.caller and self.upstream.lose():
            self._close("unreachable")

    def adopt_statuses(self, not_run_statuses: frozenset[int]) -> None:
        """Adopts the HTTP statuses of tasks that did not begin."""
        self.not_run_statuses = not_run_statuses
        if isinstance(self.caller, UpstreamCaller):
            self.caller.not_run_statuses = not_run_statuses

    def close(self) -> None:
        """Ends the background activity of the caller."""
        if self.caller is not None:
            self.caller.close()

    def _open(self, announcement: Announcement) -> None:
        previous = self.caller
        self.caller = self.make_caller(announcement, self.report_lost)
        if previous is not None and previous is not self.caller:
            previous.close()
        self.on_opened()

    def _close(self, reason: str) -> None:
        self.log.info("upstream_leaving", reason=reason)
        self.on_closed()
        self.on_changed()

    def _make_http_caller(
        self, announcement: Announcement, _on_lost: Callable[[], None]
    ) -> TaskCaller:
        return UpstreamCaller(
            announcement.address, self.not_run_statuses, self.upstream.slots
        )
