"""Stops runs of a leased upstream, and waits for their ends."""

import asyncio

from sardinestair.clock import Clock
from sardinestair.links.timing import MAX_STOP_S, STOP_LIMIT_S
from sardinestair.observability import EventLog
from sardinestair.upstreams.lease import RunLease
from sardinestair.upstreams.orders import RunClient
from sardinestair.upstreams.run import Run
from sardinestair.upstreams.run_log import LOGGED_UNANSWERED, bind_run

__all__ = ["RunStopper", "wait_for_event"]

# An upstream may answer a stop once the run has ended; the rest is for the
# round trip and a new connection.
STOP_TIMEOUT_S = MAX_STOP_S + 0.05
STOP_RETRY_DELAY_S = 0.02
# How long to wait for the end of a stopped run before stopping it again. A
# stop takes at most 50 ms, and the next report lists the end.
END_GRACE_S = 0.5


class RunStopper:
    """Sends stops until a report has listed the end of the run.

    Args:
        client: Client of the upstream.
        clock: The local clock.
        lease: The lease of the runs, which stops limit.
        log: Receives a line for stops that get no answer.
    """

    def __init__(
        self, client: RunClient, clock: Clock, lease: RunLease, log: EventLog
    ):
        self.client = client
        self.clock = clock
        self.lease = lease
        self.pending = lease.pending_stops
        self.log = log

    def request(
        self, run: Run, reason: bytes, within_s: float = STOP_LIMIT_S
    ) -> None:
        """Requests that a run be stopped.

        Args:
            run: The run, on whose end a coroutine waits.
            reason: Why it is stopped, in UTF-8.
            within_s: Time after which the lease ends it, in seconds.
        """
        run.request_stop(reason, self.clock.monotonic())
        self.pending.add(run, self.lease.remote_now_s() + within_s)

    async def wait_for_end(self, run: Run, deadline_s: float) -> None:
        """Waits for a run to end, and stops it on request or time-out."""
        while run.end is None:
            remaining_s = deadline_s - self.clock.monotonic()
            if remaining_s <= 0:
                self.request(run, b"deadline exceeded")
            if not run.is_stop_requested:
                await wait_for_event(run.wakeup, remaining_s)
                continue
            run.wakeup.clear()
            is_answered = await self._send_stop(run)
            if run.end is None:
                delay_s = END_GRACE_S if is_answered else STOP_RETRY_DELAY_S
                await wait_for_event(run.wakeup, delay_s)

    def forget(self, run: Run) -> None:
        """Lets a run that has ended no longer limit the lease."""
        self.pending.remove(run, self.clock.monotonic())

    async def _send_stop(self, run: Run) -> bool:
        """Sends one stop; returns True if it was answered."""
        reply = await self.client.stop(run.run_id, STOP_TIMEOUT_S)
        if reply.is_error():
            run.stops_unanswered += 1
            if run.stops_unanswered in LOGGED_UNANSWERED:
                bind_run(self.log, run.run_id).warning(
                    "stop_unanswered",
                    unanswered=run.stops_unanswered,
                    reason=reply.error.reason,
                )
            return False
        now_s = self.clock.monotonic()
        if run.conclusive_from_s is None or run.conclusive_from_s > now_s:
            # After an answered stop the upstream rejects a late start.
            run.conclusive_from_s = now_s
        return True


async def wait_for_event(event: asyncio.Event, timeout_s: float) -> None:
    """Waits for an event, at most for this time in seconds."""
    try:
        async with asyncio.timeout(timeout_s):
            await event.wait()
    except TimeoutError:
        pass
