"""Runs that an earlier sidecar has left behind at its upstream."""

import math

from sardinestair.observability import EventLog
from sardinestair.upstreams.orders import RunId
from sardinestair.upstreams.run import Run
from sardinestair.upstreams.run_log import bind_run
from sardinestair.upstreams.stopper import RunStopper

__all__ = ["Orphans"]

ORPHANED = b"started by an earlier sidecar"


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
    """

    def __init__(
        self, stopper: RunStopper, process_started_s: float, log: EventLog
    ):
        self.stopper = stopper
        self.process_started_s = process_started_s
        self.log = log
        self.runs: dict[RunId, Run] = {}
        self.has_none = False

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
        lease_s = self.stopper.lease.longest_local_s
        is_expired = now_s - self.process_started_s >= lease_s
        may_be_active = any(run.end is None for run in self.runs.values())
        self.has_none = not may_be_active and (self.has_none or is_expired)

    def expect(self) -> None:
        """Handles the loss of the upstream, after which there may be some."""
        self.has_none = False
