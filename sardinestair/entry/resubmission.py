"""Resubmits a job after its earlier runs have ended."""

import asyncio
from collections.abc import Callable

from expression import Error, Result

from sardinestair.entry.dispatcher import Dispatcher
from sardinestair.entry.submission import EARLIER_RUNS_ACTIVE
from sardinestair.jobs import Job
from sardinestair.jobs.request import ParsedRequest
from sardinestair.outcomes import Problem, ProblemKind

__all__ = ["submit_after_earlier_runs"]

POLL_INTERVAL_S = 0.01


CALLER_LEFT = Problem(
    ProblemKind.UNAVAILABLE,
    "the caller has left; this submission did not run",
    not_run=True,
)


async def submit_after_earlier_runs(
    dispatcher: Dispatcher,
    parsed: ParsedRequest,
    has_left: Callable[[], bool],
) -> Result[Job, Problem]:
    """Submits a job, first waiting until its earlier runs have ended.

    Stopping a run takes about 0.1 s. Runs of a lost sidecar end with its
    session, so the wait is bounded by `LinkTiming.lost_s`.

    Args:
        dispatcher: The entry's dispatcher.
        parsed: The validated request.
        has_left: Returns True if the caller no longer waits; the job is then
            refused.

    Returns:
        The job, or the problem with which it is refused.
    """
    clock = dispatcher.clock
    give_up_s = clock.monotonic() + dispatcher.timing.lost_s
    while True:
        if has_left():
            return Error(CALLER_LEFT)
        submitted = dispatcher.submit(parsed)
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
