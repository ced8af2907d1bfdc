"""Runs that an earlier sidecar has left behind at its upstream."""

import math
from collections.abc import Callable

from sardinestair.observability import EventLog
from sardinestair.upstreams.orders import RunId
from sardinestair.upstreams.run import Run
from sardinestair.upstreams.run_log import bind_run
from sardinestair.upstreams.stopper import RunStopper

__all__ = ["Orphans"]

ORPHANED = b"started by an earlier sidecar"
# Waits are sent in whole milliseconds.
REPORT_MARGIN_S = 0.001


class Orphans:
    """Stops orphans, and decides when none can be active any more.

    Their entries may have started the tasks elsewhere once the lease that the
    earlier sidecar had requested is over, so it isn't renewed for them.

    Args:
        stopper: Stops the runs.
        process_started_s: When this process started, on the local clock. Any
            earlier sidecar of the upstream had ended by then.
        log: Receives a line for each orphan.

    Attributes:
        runs: The orphans that may be active, by identifier.
        has_none: True once no run of an earlier sidecar can be active.
        on_none_left: Called when `has_none` has become true.
    """

    def __init__(
        self, stopper: RunStopper, process_started_s: float, log: EventLog
    ):
        self.stopper = stopper
        self.process_started_s = process_started_s
        self.log = log
        self.runs: dict[RunId, Run] = {}
        self.has_none = False
        self.on_none_left: Callable[[], None] = lambda: None

    @property
    def lease_end_s(self) -> float:
        """When all leases of earlier sidecars have expired, local clock."""
        return self.process_started_s + self.stopper.lease.longest_local_s

    def report_due_s(self, now_s: float) -> float:
        """Returns when a report may show that none is left, in seconds.

        It is infinite if no report is needed for that.
        """
        left_s = self.lease_end_s - now_s
        return left_s + REPORT_MARGIN_S if left_s > 0 else math.inf

    def add(self, run_id: RunId, now_s: float, incarnation_ms: int) -> Run:
        """Requests the stop of an orphan; `end` is to be called for it."""
        bind_run(self.log, run_id).warning("unknown_run")
        run = Run(run_id, now_s, incarnation_ms)
        run.is_confirmed = True
        run.conclusive_from_s = now_s
        self.runs[run_id] = run
        self.stopper.request(run, ORPHANED, within_s=0.0)
        return run

    async def end(self, run: Run) -> None:
        """Stops an orphan and waits for its end."""
        await self.stopper.wait_for_end(run, math.inf)
        del self.runs[run.run_id]
        self.stopper.forget(run)

    def update(self, now_s: float) -> None:
        """Decides anew whether an orphan can be active, after a report."""
        # A late start of an earlier sidecar can be executed until its lease
        # has expired.
        is_expired = now_s >= self.lease_end_s
        may_be_active = any(run.end is None for run in self.runs.values())
        had_none = self.has_none
        self.has_none = not may_be_active and (had_none or is_expired)
        if self.has_none and not had_none:
            self.on_none_left()

    def expect(self) -> None:
        """Handles the loss of the upstream, after which there may be some."""
        self.has_none = False
