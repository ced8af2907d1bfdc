"""Admission by feasibility: refuses jobs that could not end in time.

With urgency classes a job waits for the tasks of its own and of more urgent
classes, also for those that arrive while it waits. What is left of the room
decides whether its last task can start in time.
"""

import math
from collections import defaultdict

import msgspec

from sardinestair.ids import JobId

__all__ = [
    "ArrivalEstimator",
    "LoadAhead",
    "GuaranteedShare",
    "spread_retry_s",
    "usable_slack_s",
]

# Time constant of the estimate of the tasks that arrive, in seconds.
ARRIVAL_WINDOW_S = 0.5
# Allowance for messages between entry and upstreams.
MESSAGING_MARGIN_S = 0.03
# Share of its slack that a job may be predicted to wait. The rest is a margin
# for tasks that run longer than expected and for slow upstreams.
MAX_SLACK_SHARE = 0.7
# Share of the room that a class is given whatever arrives in more urgent ones.
GUARANTEED_SHARE = 0.05
# Time for which a guaranteed share that is not used is kept, in seconds.
GUARANTEE_WINDOW_S = 1.0
# Share of the room that is assumed to be left for a class at least, so that the
# predicted wait stays finite.
MIN_LEFT_SHARE = 0.1
# `Retry-After` of a refusal is at most this many times the wait.
RETRY_SPREAD = 2.0
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 60.0


class LoadAhead(msgspec.Struct, frozen=True):
    """Load ahead of a new job, as seen from its class.

    Attributes:
        tasks_ahead: Number of waiting tasks that go before it.
        own_tasks: Number of its own tasks.
        tasks_per_s: Tasks that this entry can start per second on upstreams
            that are fast enough for the job.
        more_urgent_per_s: Tasks that arrive per second in more urgent classes.
        backlog_s: Time to work off what waits at all entries in classes at
            least as urgent, in seconds; None if it is not known.

    Examples:
        >>> load = LoadAhead(
        ...     tasks_ahead=10, own_tasks=1, tasks_per_s=50.0,
        ...     more_urgent_per_s=25.0,
        ... )
        >>> load.wait_s
        0.4
    """

    tasks_ahead: float
    own_tasks: int
    tasks_per_s: float
    more_urgent_per_s: float = 0.0
    backlog_s: float | None = None

    @property
    def tasks_left_per_s(self) -> float:
        """Tasks per second that are left for the class."""
        return max(
            self.tasks_per_s - self.more_urgent_per_s,
            MIN_LEFT_SHARE * self.tasks_per_s,
        )

    @property
    def wait_s(self) -> float:
        """Predicted time until the job's last task starts, in seconds."""
        if self.tasks_per_s <= 0:
            return math.inf
        left = self.tasks_left_per_s
        own_s = (self.tasks_ahead + self.own_tasks - 1) / left
        if self.backlog_s is None:
            return own_s
        return max(own_s, self.backlog_s * self.tasks_per_s / left)


def usable_slack_s(slack_s: float) -> float:
    """Returns the predicted wait up to which a job is accepted, in seconds.

    Args:
        slack_s: Time for which its last task may wait.

    Examples:
        >>> usable_slack_s(1.03)
        0.7
    """
    return MAX_SLACK_SHARE * max(0.0, slack_s - MESSAGING_MARGIN_S)


def spread_retry_s(job_id: JobId, wait_s: float) -> float:
    """Returns when a refused caller should come back, in seconds.

    The times of different jobs are spread, so that callers who were refused
    together don't come back together.

    Args:
        job_id: Id of the job, from which its part of the spread is derived.
        wait_s: Predicted wait, in seconds.
    """
    part = int.from_bytes(job_id[-2:], "big") / 0x10000
    wait_s = min(max(wait_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)
    return round(wait_s * (1 + (RETRY_SPREAD - 1) * part), 2)


class ArrivalEstimator:
    """Learns how many tasks arrive per second, by class.

    Attributes:
        rates_: Tasks per second, by class, as of the last arrival in it.
        updated_s_: Time of that arrival, by class.

    Examples:
        >>> arrivals = ArrivalEstimator()
        >>> for second in range(20):
        ...     arrivals.observe(0, 3, float(second))
        >>> 2.5 < arrivals.more_urgent_per_s(1, 19.5) < 3.5
        True
        >>> arrivals.more_urgent_per_s(0, 19.5)
        0.0
    """

    def __init__(self, window_s: float = ARRIVAL_WINDOW_S):
        self.window_s = window_s
        self.rates_: dict[int, float] = {}
        self.updated_s_: dict[int, float] = {}

    def observe(self, priority: int, tasks: int, now_s: float) -> None:
        """Adds a job that has arrived.

        Args:
            priority: Its class.
            tasks: Number of its tasks.
            now_s: Current time in seconds.
        """
        rate = self._rate(priority, now_s) + tasks / self.window_s
        self.rates_[priority] = rate
        self.updated_s_[priority] = now_s

    def more_urgent_per_s(self, priority: int, now_s: float) -> float:
        """Returns the tasks that arrive per second in more urgent classes."""
        return sum(
            (self._rate(p, now_s) for p in self.rates_ if p < priority), 0.0
        )

    def _rate(self, priority: int, now_s: float) -> float:
        rate = self.rates_.get(priority, 0.0)
        age_s = now_s - self.updated_s_.get(priority, now_s)
        return rate * math.exp(-age_s / self.window_s)


class GuaranteedShare:
    """Bounds how far more urgent classes displace a class.

    Each class but the most urgent one may put work of a share of the room into
    the most urgent class, where it goes by its latest start.

    Attributes:
        tokens_: Run time that may be accepted now, by class, in seconds; it is
            negative after a job larger than the rest.
        refilled_s_: Time of the last refill, by class.

    Examples:
        >>> shares = GuaranteedShare()
        >>> shares.try_acquire(2, work_s=7.0, throughput=30.0, now_s=0.0)
        True
        >>> shares.try_acquire(2, work_s=7.0, throughput=30.0, now_s=0.1)
        False
    """

    def __init__(self, share: float = GUARANTEED_SHARE):
        self.share = share
        self.tokens_: defaultdict[int, float] = defaultdict(float)
        self.refilled_s_: dict[int, float] = {}

    def try_acquire(
        self, priority: int, work_s: float, throughput: float, now_s: float
    ) -> bool:
        """Takes the tokens for a job, if any are left.

        Args:
            priority: Class of the job.
            work_s: Expected run time of its tasks, in seconds.
            throughput: Run time that this entry gets done per second.
            now_s: Current time in seconds.

        Returns:
            True if the job is within the guaranteed share.
        """
        rate = self.share * throughput
        limit = rate * GUARANTEE_WINDOW_S
        last_s = self.refilled_s_.get(priority, now_s - GUARANTEE_WINDOW_S)
        tokens = self.tokens_[priority] + rate * (now_s - last_s)
        self.refilled_s_[priority] = now_s
        self.tokens_[priority] = min(tokens, limit)
        if self.tokens_[priority] <= 0:
            return False
        self.tokens_[priority] -= work_s
        return True
