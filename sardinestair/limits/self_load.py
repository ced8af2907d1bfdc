"""The delay that an entry adds to each job because it lacks processor time."""

from collections import deque

import msgspec
from expression import Error, Ok, Result

from sardinestair.limits.admission import MIN_RETRY_AFTER_S, ServiceLoad
from sardinestair.outcomes import Problem, ProblemKind

__all__ = ["EntryDelay"]

# Time constant of the mean, in seconds: shorter than a load peak, longer than
# one slow callback.
TIME_CONSTANT_S = 1.0
# Time after which one slow callback has no effect, in seconds.
RECENT_S = 0.5
# How often a job waits for the entry: for its request to be read, for the last
# outcome, and for its answer to be written.
PASSES = 3.0
# Part of a job's slack that the entry may use up. The rest is for the wait for
# an upstream.
MAX_SLACK_SHARE = 0.25


class EntryDelay:
    """Estimates the delay of jobs from how late the entry's timers are.

    An entry that gets too little processor time serves requests, outcomes and
    timers late alike. The mean over time of the lateness is kept, and is what
    each pass of a job through the entry takes. An entry that has just caught up
    adds no more than its latest timers were late.

    Attributes:
        mean_s_: Mean lateness, in seconds.
        observed_s: When a timer was observed last, on the entry's clock.
        recent: When the latest timers were observed and how late they were, in
            seconds.

    Examples:
        >>> delay = EntryDelay()
        >>> for tick in range(100):
        ...     delay.observe(0.2, now_s=tick * 0.25)
        >>> round(delay.job_delay_s, 1)
        0.6
    """

    def __init__(self) -> None:
        self.mean_s_ = 0.0
        self.observed_s = 0.0
        self.recent: deque[tuple[float, float]] = deque()

    def observe(self, delay_s: float, now_s: float) -> None:
        """Adds the lateness of a timer.

        Args:
            delay_s: By how much it was late, in seconds.
            now_s: Current time in seconds.
        """
        elapsed_s = max(0.0, now_s - self.observed_s)
        weight = elapsed_s / (elapsed_s + TIME_CONSTANT_S)
        self.mean_s_ += weight * (delay_s - self.mean_s_)
        self.observed_s = now_s
        self.recent.append((now_s, delay_s))
        while self.recent[0][0] < now_s - RECENT_S:
            self.recent.popleft()

    def add_to(self, load: ServiceLoad) -> ServiceLoad:
        """Returns a load whose predicted response time includes the delay."""
        return msgspec.structs.replace(
            load,
            expected_response_s=load.expected_response_s + self.job_delay_s,
        )

    def check(self, slack_s: float) -> Result[None, Problem]:
        """Refuses a job that this entry alone would make late.

        A job that can't be in time anywhere is not refused for that.

        Args:
            slack_s: Time that the job may take beyond its run, in seconds.

        Returns:
            Ok, or the problem that the caller receives.
        """
        if slack_s <= 0 or self.job_delay_s <= MAX_SLACK_SHARE * slack_s:
            return Ok(None)
        return Error(
            Problem(
                ProblemKind.OVERLOADED,
                f"this entry would delay the job by {self.job_delay_s:.2f} s; "
                f"submit through another entry",
                not_run=True,
                retry_after_s=MIN_RETRY_AFTER_S,
            )
        )

    @property
    def job_delay_s(self) -> float:
        """Time that the entry is expected to add to a job, in seconds."""
        latest_s = max((delay_s for _, delay_s in self.recent), default=0.0)
        return PASSES * min(self.mean_s_, latest_s)
