"""One run of a task at a leased upstream."""

import asyncio
import math

from sardinestair.upstreams.orders import EndKind, RunId

__all__ = ["Run"]


class Run:
    """One run of a task, from its start to its end.

    Attributes:
        run_id: The run's identifier at the upstream.
        incarnation_ms: Incarnation of the upstream at the time of the start.
        end: How it ended, or None while it may be active.
        is_confirmed: True once the upstream has confirmed that it began.
        conclusive_from_s: A report that was requested after this time and
            doesn't list the run proves that it isn't active; None until its
            start has been answered or has timed out.
        is_stop_requested: True if it is to be stopped.
        stop_requested_s: When the stop was requested.
        lease_limit_s: Time to which the lease may be renewed until it has
            ended, on the upstream's clock.
        stops_unanswered: Number of stop requests without an answer.
        reason: Why it is stopped, in UTF-8.
        started_s: When its start was requested.
        start_took_s: Time until the upstream had confirmed the start, in
            seconds; 0 if it has not.
        lost_age_s: Its age when the upstream stopped answering, in seconds, if
            it was lost with it.
        start_until_s: Time to which a start in progress may renew the lease,
            on the upstream's clock; 0 if there is none.
        percent: Share of its work that is done, -1 before the first report.
        last_progress_s: When `percent` last changed.
        wakeup: Set when it has ended or should be stopped.
    """

    def __init__(self, run_id: RunId, now_s: float, incarnation_ms: int = 0):
        self.run_id = run_id
        self.incarnation_ms = incarnation_ms
        self.end: EndKind | None = None
        self.is_confirmed = False
        self.conclusive_from_s: float | None = None
        self.is_stop_requested = False
        self.stop_requested_s = 0.0
        self.lease_limit_s = math.inf
        self.stops_unanswered = 0
        self.reason = b""
        self.started_s = now_s
        self.start_took_s = 0.0
        self.lost_age_s = 0.0
        self.start_until_s = 0.0
        self.percent = -1
        self.last_progress_s = now_s
        self.wakeup = asyncio.Event()

    def finish(self, how: EndKind) -> None:
        """Records how the run ended; later calls have no effect."""
        if self.end is None:
            self.end = how
            self.wakeup.set()

    def request_stop(self, reason: bytes, now_s: float) -> None:
        """Requests a stop of the run; only the first reason is kept."""
        if not self.is_stop_requested:
            self.is_stop_requested = True
            self.stop_requested_s = now_s
            self.reason = reason
            self.wakeup.set()
