"""Resubmits a job after its earlier runs have ended."""

import asyncio
from collections.abc import Callable

from expression import Error, Ok, Result

from sardinestair.entry.dispatcher import Dispatcher
from sardinestair.entry.submission import (
    EARLIER_RUNS_ACTIVE,
    OWNED_ELSEWHERE,
)
from sardinestair.entry.takeover import CALLER_LEFT, ElsewhereJob
from sardinestair.jobs import Job
from sardinestair.jobs.request import ParsedRequest
from sardinestair.outcomes import Problem

__all__ = ["submit_after_earlier_runs"]

POLL_INTERVAL_S = 0.01


async def submit_after_earlier_runs(
    dispatcher: Dispatcher,
    parsed: ParsedRequest,
    has_left: Callable[[], bool],
) -> Result[Job | ElsewhereJob, Problem]:
    """Submits a job, first waiting until its earlier runs have ended.

    A job that another entry owns is taken over, unless it runs there or is
    complete. Stopping a run takes about 0.1 s. Runs of a lost sidecar or entry
    end with its session, so the wait is bounded by `LinkTiming.lost_s`.

    Args:
        dispatcher: The entry's dispatcher.
        parsed: The validated request.
        has_left: Returns True if the caller no longer waits; the job is then
            refused.

    Returns:
        The job, or how it ended at another entry, or the problem with which
        it is refused.
    """
    await dispatcher.takeover.catch_up()
    clock = dispatcher.clock
    give_up_s = clock.monotonic() + dispatcher.timing.lost_s
    while True:
        if has_left():
            return Error(CALLER_LEFT)
        submitted = dispatcher.submit(parsed)
        if submitted.is_error() and submitted.error is OWNED_ELSEWHERE:
            settled = await dispatcher.takeover.settle(parsed, has_left)
            if settled.is_error():
                return Error(settled.error)
            if settled.ok is not None:
                return Ok(settled.ok)
            # Runs of a lost owner may be active for `lost_s` from now on.
            give_up_s = clock.monotonic() + 2 * dispatcher.timing.lost_s
            continue
        is_blocked = (
            submitted.is_error() and submitted.error is EARLIER_RUNS_ACTIVE
        )
        if not is_blocked:
            return submitted
        if clock.monotonic() >= give_up_s:
            with dispatcher.lock:
                dispatcher.record_refusal(parsed, EARLIER_RUNS_ACTIVE)
            return Error(EARLIER_RUNS_ACTIVE)
        await asyncio.sleep(POLL_INTERVAL_S)
