"""The common lease of all runs at one upstream."""

from collections.abc import Callable, Iterable

from sardinestair.clock import Clock
from sardinestair.links.timing import MAX_CLOCK_DRIFT
from sardinestair.upstreams.stops import PendingStops

__all__ = ["RunLease"]


class RunLease:
    """When the lease of the runs ends, on the upstream's clock.

    Each start and report renews the lease of all runs. Runs that are being
    stopped limit how far it may be renewed.

    Args:
        clock: The local clock.
        duration_s: Duration of the lease, in seconds.
        pending_stops: The runs that are being stopped.

    Attributes:
        remote_clock_s: The upstream's clock as of the last report; None before
            the first.
        remote_clock_read_s: When that report arrived, on the local clock.
        until_s: Latest time to which the lease may have been renewed.
        before_renewal: Called before the lease is renewed; requests the stops
            that are due.
    """

    def __init__(
        self, clock: Clock, duration_s: float, pending_stops: PendingStops
    ):
        self.clock = clock
        self.duration_s = duration_s
        self.pending_stops = pending_stops
        self.remote_clock_s: float | None = None
        self.remote_clock_read_s = 0.0
        self.until_s = 0.0
        self.before_renewal: Callable[[], None] = lambda: None

    @property
    def longest_local_s(self) -> float:
        """Its duration on the local clock, at most, in seconds."""
        return self.duration_s * (1 + MAX_CLOCK_DRIFT)

    @property
    def is_ending(self) -> bool:
        """True if less than half of the lease is left for further runs.

        This is so while runs that are being stopped limit its renewal.
        """
        if not self.pending_stops.runs:
            return False
        left_s = self.pending_stops.lease_limit_s() - self.remote_now_s()
        return left_s < self.duration_s / 2

    def remote_now_s(self) -> float:
        """Returns a lower bound of the upstream's clock, given its drift."""
        assert self.remote_clock_s is not None
        elapsed_s = self.clock.monotonic() - self.remote_clock_read_s
        return self.remote_clock_s + elapsed_s * (1 - MAX_CLOCK_DRIFT)

    def next_end_s(self) -> float | None:
        """Returns the end to request now; None before the first report."""
        if self.remote_clock_s is None:
            return None
        self.before_renewal()
        return min(
            self.remote_now_s() + self.duration_s,
            self.pending_stops.lease_limit_s(),
        )

    def latest_end_s(self, starts_until_s: Iterable[float]) -> float | None:
        """Returns when the lease ends if all starts in progress renew it.

        An upstream is not lost before a lease has passed since its last
        report, although renewals may have been limited.

        Args:
            starts_until_s: Ends of the lease that these starts request.

        Returns:
            The end, or None before the first report.
        """
        if self.remote_clock_s is None:
            return None
        return max(
            self.until_s,
            self.remote_clock_s + self.duration_s,
            *starts_until_s,
        )

    def left_s(self, until_s: float) -> float:
        """Returns the time until an end, at least 0, on the local clock."""
        remaining_s = max(0.0, until_s - self.remote_now_s())
        return remaining_s * (1 + MAX_CLOCK_DRIFT)

    def extend(self, until_s: float) -> None:
        """Records that the lease may have been renewed until this time."""
        self.until_s = max(self.until_s, until_s)

    def observe_clock(self, remote_clock_s: float, now_s: float) -> None:
        """Records the upstream's clock, from a report that arrived now."""
        self.remote_clock_s, self.remote_clock_read_s = remote_clock_s, now_s

    def restart(self) -> None:
        """Forgets the end of the lease of an earlier incarnation.

        The clock of that incarnation may have been far ahead.
        """
        self.until_s = 0.0
