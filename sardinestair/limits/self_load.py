"""The delay that an entry adds to each job because it lacks processor time."""

import msgspec

from sardinestair.limits.admission import ServiceLoad

__all__ = ["EntryDelay"]

# Time constant of the mean, in seconds: shorter than a load peak, longer than
# one slow callback.
TIME_CONSTANT_S = 1.0
# How often a job waits for the entry: for its request to be read, for the last
# outcome, and for its answer to be written.
PASSES = 3.0


class EntryDelay:
    """Estimates the delay of jobs from how late the entry's timers are.

    An entry that gets too little processor time serves requests, outcomes and
    timers late alike. The mean over time of the lateness is kept, and is what
    each pass of a job through the entry takes.

    Attributes:
        mean_s_: Mean lateness, in seconds.
        observed_s: When a timer was observed last, on the entry's clock.

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

    def add_to(self, load: ServiceLoad) -> ServiceLoad:
        """Returns a load whose predicted response time includes the delay."""
        return msgspec.structs.replace(
            load,
            expected_response_s=load.expected_response_s + self.job_delay_s,
        )

    @property
    def job_delay_s(self) -> float:
        """Time that the entry is expected to add to a job, in seconds."""
        return PASSES * self.mean_s_
