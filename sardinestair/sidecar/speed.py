"""How slow a sidecar's upstream is, estimated from all of its runs.

An entry sees only its own tasks, and a new one none. The sidecar sees the runs
of all entries, and announces what they show.
"""

import math
from collections import deque
from collections.abc import Hashable, Sequence

import msgspec

from sardinestair.messages import KindSlowdown, TaskState

__all__ = ["UpstreamSpeed", "interquartile_mean"]

# Runs of a kind that an estimate covers, and those that show a change.
WINDOW = 48
RECENT = 12
MIN_RECENT = 6
# Ratio of recent to earlier runs that counts as a change. Over three standard
# errors, if the logarithms of the ratios have a standard deviation of 0.4.
CHANGE_THRESHOLD = math.log(1.6)
MAX_LOG_RATIO = math.log(20.0)
MAX_KINDS = 16
MAX_ANNOUNCED_KINDS = 3


class _Active(msgspec.Struct):
    """A run that has not ended."""

    kind: str
    expected_s: float
    started_s: float


def interquartile_mean(values: Sequence[float]) -> float:
    """Returns the mean of the middle half of the values.

    Up to a quarter of the values may be arbitrarily large, such as those of
    a few runs that take far longer than the others.

    Examples:
        >>> interquartile_mean([1.0, 2.0, 3.0, 1000.0])
        2.5
    """
    ranked = sorted(values)
    cut = len(ranked) // 4
    middle = ranked[cut : len(ranked) - cut]
    return sum(middle) / len(middle)


class UpstreamSpeed:
    """Estimates the ratio of observed to expected run times by kind.

    The ratio is taken against the run time that the entry expects on a typical
    upstream. The estimate is the interquartile mean of the logarithms, so that
    single runs that take far longer don't count as a slow upstream. A run in
    progress counts once it has taken longer than the estimate, so that
    several of them show a slow upstream before any has ended.

    Attributes:
        log_ratios_: Logarithms of the ratios of the latest runs, by kind.
        active: Runs that have not ended.
        observed_s: When the latest run was observed, on the sidecar's clock;
            negative infinity before the first.

    Examples:
        >>> speed = UpstreamSpeed()
        >>> for number in range(20):
        ...     speed.start(number, "quote", expected_s=0.1, now_s=0.0)
        ...     speed.observe_end(number, TaskState.DONE, 0.2, now_s=0.2)
        >>> [found] = speed.estimates(now_s=0.2)
        >>> found.kind, round(found.slowdown, 2), found.samples
        ('quote', 2.0, 20)
    """

    def __init__(self) -> None:
        self.log_ratios_: dict[str, deque[float]] = {}
        self.active: dict[Hashable, _Active] = {}
        self.observed_s = -math.inf

    def start(
        self, run: Hashable, kind: str, expected_s: float, now_s: float
    ) -> None:
        """Records the start of a run.

        Args:
            run: Identifies the run.
            kind: Kind of its job.
            expected_s: Expected run time on a typical upstream, in seconds;
                without one, the run is not observed.
            now_s: Current time in seconds.
        """
        if expected_s > 0:
            self.active[run] = _Active(kind, expected_s, now_s)

    def observe_end(
        self, run: Hashable, state: TaskState, run_s: float, now_s: float
    ) -> None:
        """Adds a run that has ended.

        A run that was interrupted counts only if it had already taken longer
        than the estimate, and one that failed never.

        Args:
            run: Identifies the run.
            state: How it ended.
            run_s: Its run time in seconds.
            now_s: Current time in seconds.
        """
        active = self.active.pop(run, None)
        if active is None:
            return
        if state is TaskState.INTERRUPTED:
            log_ratio = _log_ratio(now_s - active.started_s, active)
            is_observed = log_ratio > self._estimate(active.kind, now_s)
        else:
            log_ratio = _log_ratio(run_s, active)
            is_observed = state is TaskState.DONE and run_s > 0
        if is_observed:
            self._add(active.kind, log_ratio)
            self.observed_s = now_s

    def estimates(self, now_s: float) -> list[KindSlowdown]:
        """Returns the estimates of the kinds with the most runs.

        Args:
            now_s: Current time in seconds.
        """
        kinds = sorted(
            self.log_ratios_,
            key=lambda kind: len(self.log_ratios_[kind]),
            reverse=True,
        )
        return [
            KindSlowdown(
                kind,
                math.exp(self._estimate(kind, now_s)),
                len(self.log_ratios_[kind]),
            )
            for kind in kinds[:MAX_ANNOUNCED_KINDS]
        ]

    def _add(self, kind: str, log_ratio: float) -> None:
        # The kind observed last is the last one of the dictionary.
        ratios = self.log_ratios_.pop(kind, None)
        if ratios is None:
            ratios = deque(maxlen=WINDOW)
        ratios.append(log_ratio)
        self.log_ratios_[kind] = ratios
        if len(self.log_ratios_) > MAX_KINDS:
            del self.log_ratios_[next(iter(self.log_ratios_))]

    def _estimate(self, kind: str, now_s: float) -> float:
        """Returns the logarithm of the slowdown; 0 if nothing is known."""
        ended = list(self.log_ratios_.get(kind, ()))
        usual = interquartile_mean(ended) if ended else 0.0
        overdue = [
            log_ratio
            for active in self.active.values()
            if active.kind == kind
            and (log_ratio := _log_ratio(now_s - active.started_s, active))
            > usual
        ]
        latest = (ended + overdue)[-max(RECENT, len(overdue)) :]
        if len(latest) < MIN_RECENT:
            return usual
        recent = interquartile_mean(latest)
        if abs(recent - usual) > CHANGE_THRESHOLD:
            return recent
        return usual


def _log_ratio(run_s: float, active: _Active) -> float:
    log_ratio = math.log(max(run_s, 1e-6) / active.expected_s)
    return max(-MAX_LOG_RATIO, min(MAX_LOG_RATIO, log_ratio))
