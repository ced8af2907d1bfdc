"""Runs of a leased upstream that are being stopped."""

import math

from sardinestair.links.timing import MAX_STOP_S
from sardinestair.observability import EventLog, Metrics
from sardinestair.upstreams.orders import RunId
from sardinestair.upstreams.run import Run

__all__ = ["PendingStops"]

# A stop, the report that lists the end, and as much again for the process.
SLOW_STOP_S = 4 * MAX_STOP_S


class PendingStops:
    """Runs of one upstream that are being stopped, and limits of its lease.

    Stops may wait for each other, take long or get no answer. Each has a time
    by which its run must have ended, after which the lease isn't renewed while
    the run may be active. As all runs share the lease, the others end then as
    well.

    Args:
        metrics: The process's metrics.
        log: Receives a line for each series of stops that took long.

    Attributes:
        runs: The runs, by identifier.
        run_count: Number of runs in the current series of stops.
        longest_s: Longest time from a request to the end of the run in this
            series, in seconds.
    """

    def __init__(self, metrics: Metrics, log: EventLog):
        self.metrics = metrics
        self.log = log
        self.runs: dict[RunId, Run] = {}
        self.run_count = 0
        self.longest_s = 0.0

    def add(self, run: Run, lease_limit_s: float) -> None:
        """Adds a run whose stop has been requested.

        Args:
            run: The run; if it was added before, the earlier limit counts.
            lease_limit_s: Time to which the lease may be renewed until the
                run has ended, on the upstream's clock.
        """
        run.lease_limit_s = min(run.lease_limit_s, lease_limit_s)
        self.runs[run.run_id] = run

    def lease_limit_s(self) -> float:
        """Returns the time to which the lease may be renewed.

        It is on the upstream's clock, and infinite if no run is being stopped.
        """
        if not self.runs:
            return math.inf
        limits = [r.lease_limit_s for r in self.runs.values() if r.end is None]
        return min(limits, default=math.inf)

    def remove(self, run: Run, now_s: float) -> None:
        """Removes a run that has ended, if it was being stopped."""
        if self.runs.pop(run.run_id, None) is None:
            return
        stop_s = now_s - run.stop_requested_s
        self.metrics.observe("run_stop_s", {}, stop_s)
        self.run_count += 1
        self.longest_s = max(self.longest_s, stop_s)
        if self.runs:
            return
        if self.longest_s > SLOW_STOP_S:
            self.log.warning(
                "stops_slow",
                runs=self.run_count,
                longest_s=self.longest_s,
                reason=run.reason.decode(),
            )
        self.run_count, self.longest_s = 0, 0.0
