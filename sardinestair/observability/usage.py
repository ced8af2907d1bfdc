"""Processor time of a process by purpose, and counters of its hot paths.

Neither is kept in metrics as it occurs: the hot paths only add to integers,
and the processor time of threads is read from the system when it is reported.
"""

import threading
import time
from collections import defaultdict
from collections.abc import Callable, Mapping

import msgspec

from sardinestair.clock import Clock
from sardinestair.observability.logs import EventLog
from sardinestair.observability.metrics import Metrics

__all__ = ["LinkUsage", "UsageReporter", "read_processor_times"]

REPORT_INTERVAL_S = 5.0
MS_PER_S = 1000.0
# Purpose of threads that were started by libraries, by their name's start.
_PURPOSES = {
    "MainThread": "main",
    "blocking": "blocking",
    "http": "blocking",
    "log": "log",
}
OTHER_PURPOSE = "other"
# The event loop without its tasks: requests, calls to upstreams, and waiting.
LOOP_PURPOSE = "loop"


class LinkUsage(msgspec.Struct):
    """Counters of the links of one process since its start.

    Attributes:
        wakeups: How often a thread that serves links woke up.
        frames_sent: Frames sent.
        frames_received: Frames received.
        idle_frames_sent: Those of the frames sent that carry no message.
        connections: Connections opened.
    """

    wakeups: int = 0
    frames_sent: int = 0
    frames_received: int = 0
    idle_frames_sent: int = 0
    connections: int = 0

    def count_sent(self, has_messages: bool) -> None:
        """Counts a frame that is sent."""
        self.frames_sent += 1
        self.idle_frames_sent += not has_messages


def _purpose_of(thread_name: str) -> str:
    for prefix, purpose in _PURPOSES.items():
        if thread_name.startswith(prefix):
            return purpose
    return thread_name.partition("/")[0]


def read_processor_times(
    loop_busy_s: Mapping[str, float] | None = None,
) -> dict[str, float]:
    """Returns the processor time of the process by purpose, in seconds.

    The purpose of a thread is its name up to a slash. The thread of the event
    loop serves several: `loop` is its time without that of `loop_busy_s`, if
    the loop has a thread of that name. `other` is the time of
    native threads, such as those of ZeroMQ, and of threads that have ended; it
    is all of the time where the system has no clocks of threads.

    Args:
        loop_busy_s: Time spent in tasks of the event loop, by purpose.
    """
    times: defaultdict[str, float] = defaultdict(float)
    for thread in threading.enumerate():
        try:
            clock_id = time.pthread_getcpuclockid(thread.ident or 0)
            spent_s = time.clock_gettime(clock_id)
        except (OSError, OverflowError):
            continue  # The thread has ended.
        times[_purpose_of(thread.name)] += spent_s
    process_s = time.process_time()
    threads_s = sum(times.values())
    if threads_s > process_s:
        times.clear()
        threads_s = 0.0
    times[OTHER_PURPOSE] += process_s - threads_s
    rest = LOOP_PURPOSE if LOOP_PURPOSE in times else OTHER_PURPOSE
    for purpose, spent_s in dict(loop_busy_s or {}).items():
        times[rest] -= spent_s
        times[purpose] += spent_s
    return dict(times)


class UsageReporter:
    """Reports the processor time by purpose and the counters of links.

    Args:
        clock: The clock.
        metrics: Where totals are published.
        log: Receives one `usage` line per interval.
        links: Counters of the links.
        read_times: Returns the processor time by purpose, in seconds.
        read_levels: Returns further values by name, reported as they are.

    Examples:
        >>> from sardinestair.clock import ManualClock
        >>> reporter = UsageReporter(
        ...     ManualClock(), Metrics(), EventLog("doctest"), LinkUsage()
        ... )
        >>> reporter.report_if_due()
        False
    """

    def __init__(
        self,
        clock: Clock,
        metrics: Metrics,
        log: EventLog,
        links: LinkUsage,
        read_times: Callable[[], dict[str, float]] = read_processor_times,
        read_levels: Callable[[], dict[str, float]] = dict,
    ):
        self.clock = clock
        self.metrics = metrics
        self.log = log
        self.links = links
        self.read_times = read_times
        self.read_levels = read_levels
        self.last_report_s = clock.monotonic()
        self.last_times_s: dict[str, float] = {}
        self.last_links = LinkUsage()

    def report_if_due(self) -> bool:
        """Reports the usage since the last report; returns True if it did."""
        now_s = self.clock.monotonic()
        elapsed_s = now_s - self.last_report_s
        if elapsed_s < REPORT_INTERVAL_S:
            return False
        times_s = self.read_times()
        links = msgspec.structs.replace(self.links)
        fields: dict[str, float] = {
            f"{purpose}_ms_per_s": (spent_s - self.last_times_s.get(purpose, 0))
            * MS_PER_S
            / elapsed_s
            for purpose, spent_s in sorted(times_s.items())
        }
        for name in LinkUsage.__struct_fields__:
            added = getattr(links, name) - getattr(self.last_links, name)
            fields[f"{name}_per_s"] = added / elapsed_s
        fields |= self.read_levels()
        self.log.info("usage", interval_s=elapsed_s, **fields)
        self._publish(times_s, links)
        self.last_report_s = now_s
        self.last_times_s, self.last_links = times_s, links
        return True

    def _publish(self, times_s: dict[str, float], links: LinkUsage) -> None:
        for purpose, spent_s in times_s.items():
            labels = {"purpose": purpose}
            self.metrics.gauge("processor_seconds", labels, spent_s)
        for name in LinkUsage.__struct_fields__:
            self.metrics.gauge(f"link_{name}", {}, getattr(links, name))
