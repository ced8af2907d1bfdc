"""Log lines about runs."""

from sardinestair.observability import EventLog
from sardinestair.upstreams.orders import RunId

__all__ = ["LOGGED_UNANSWERED", "bind_run"]

# Numbers of consecutive unanswered requests at which a line is logged.
LOGGED_UNANSWERED = frozenset({1, 2, 10, 100, 1000})


def bind_run(log: EventLog, run_id: RunId) -> EventLog:
    """Returns a log whose lines name the run."""
    return log.bind(job=run_id.job, task=run_id.index, run=run_id.attempt)
