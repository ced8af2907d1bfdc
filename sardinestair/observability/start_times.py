"""Time from the start of a process until it is of use, step by step."""

import enum
import threading

from sardinestair.clock import Clock
from sardinestair.observability.logs import EventLog
from sardinestair.observability.metrics import Metrics

__all__ = ["StartStep", "StartTimes"]


class StartStep(enum.Enum):
    """A step of the start of an entry or a sidecar."""

    LOADED = "loaded"
    """The program has been imported and assembled."""

    CONFIGURED = "configured"
    """The entry has adopted settings."""

    SERVING = "serving"
    """The entry accepts callers."""

    LINKED = "linked"
    """A link between the entry and a sidecar is up."""

    UPSTREAM = "upstream"
    """The sidecar's upstream has announced itself."""

    CLEAR = "clear"
    """No run of an earlier sidecar can be active."""

    CREDITS = "credits"
    """The entry holds its first credits."""

    OUTCOME = "outcome"
    """The entry knows the outcome of its first run of a task."""


class StartTimes:
    """Logs and publishes when a process first reached each step.

    Thread-safe.

    Args:
        process_start_s: When the process started, on `clock`.
        clock: The clock.
        metrics: Where the times are published, as `start_seconds` by step.
        log: Receives one `start_step` line per step.

    Attributes:
        after_s: Time since the start by step, in seconds.

    Examples:
        >>> from sardinestair.clock import ManualClock
        >>> clock = ManualClock()
        >>> times = StartTimes(
        ...     clock.monotonic(), clock, Metrics(), EventLog("doctest")
        ... )
        >>> times.reach(StartStep.LOADED)
        True
        >>> times.reach(StartStep.LOADED)
        False
    """

    def __init__(
        self,
        process_start_s: float,
        clock: Clock,
        metrics: Metrics,
        log: EventLog,
    ):
        self.process_start_s = process_start_s
        self.clock = clock
        self.metrics = metrics
        self.log = log
        self.lock = threading.Lock()
        self.after_s: dict[StartStep, float] = {}

    def reach(self, step: StartStep) -> bool:
        """Notes that a step is reached; returns True the first time."""
        if step in self.after_s:
            return False
        after_s = self.clock.monotonic() - self.process_start_s
        with self.lock:
            if self.after_s.setdefault(step, after_s) is not after_s:
                return False
        labels = {"step": step.value}
        self.metrics.gauge("start_seconds", labels, after_s)
        self.log.info("start_step", step=step.value, after_s=after_s)
        return True
