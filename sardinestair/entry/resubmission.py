"""Submits a job again once its earlier runs have ended."""

import threading

from expression import Error, Result

from sardinestair.entry.dispatcher import SETTLING, Dispatcher
from sardinestair.jobs import Job
from sardinestair.jobs.request import ParsedRequest
from sardinestair.outcomes import Problem

__all__ = ["submit_settled"]

CHECK_S = 0.01


def submit_settled(
    dispatcher: Dispatcher, parsed: ParsedRequest
) -> Result[Job, Problem]:
    """Submits a job, after its earlier runs have been stopped if there are any.

    A stop takes a tenth of a second; runs that a lost sidecar had have ended
    with their session.

    Args:
        dispatcher: The entry's aggregate.
        parsed: The checked request.

    Returns:
        The job, or the problem with which it is refused.
    """
    clock = dispatcher.clock
    limit_s = clock.monotonic() + dispatcher.timing.lost_s
    pause = threading.Event()
    while True:
        submitted = dispatcher.submit(parsed)
        is_settling = submitted.is_error() and submitted.error is SETTLING
        if not is_settling:
            return submitted
        if clock.monotonic() >= limit_s:
            with dispatcher.lock:
                dispatcher.record_refusal(parsed, SETTLING)
            return Error(SETTLING)
        pause.wait(CHECK_S)
