"""Distinguishes stragglers from slow upstreams.

A few runs may take many times their usual time for no fault of their upstream.
One overdue run at an upstream is taken for such a straggler, and several at
once for a slow upstream.
"""

from sardinestair.limits import RetryBudget

__all__ = ["MIN_OVERDUE_RUNS", "OVERDUE_FACTOR", "StragglerPolicy"]

OVERDUE_FACTOR = 2.5
"""Ratio of observed to expected run time from which a run is overdue. About 1 %
of tasks exceed it without any fault of the upstream, if run times within a kind
spread by 0.4."""

MIN_OVERDUE_RUNS = 2
"""Number of runs that have to be overdue at an upstream at the same time before
they count as a slow upstream."""

# Number of long runs that the expected rest rests on at least.
MIN_LONG_RUNS = 4
WINDOW = 50
# Time to stop a run, to report its end and to start it elsewhere.
RESTART_S = 0.1
# Moves allowed for each task that is started, and at first.
MOVE_RATIO = 0.05
INITIAL_MOVES = 10


class StragglerPolicy:
    """Decides whether a straggler is stopped and started elsewhere.

    It is if that is expected to end sooner. The rest of a run that is overdue
    is estimated from runs that were overdue as well and came to their end. The
    number of moves is limited to a share of the starts.

    Attributes:
        mean_rest_: Mean rest of the runs that were overdue, relative to the
            expected run time.
        count_: Number of these runs, at most `WINDOW`.
        budget: Limits the moves.

    Examples:
        >>> stragglers = StragglerPolicy()
        >>> for _ in range(4):
        ...     stragglers.observe_run(run_s=0.7, expected_s=0.1)
        >>> stragglers.should_move(expected_s=0.5, restart_run_s=0.5)
        True
        >>> stragglers.should_move(expected_s=0.5, restart_run_s=2.5)
        False
    """

    def __init__(self) -> None:
        self.mean_rest_ = 0.0
        self.count_ = 0
        self.budget = RetryBudget(MOVE_RATIO, INITIAL_MOVES)

    def observe_run(self, run_s: float, expected_s: float) -> None:
        """Adds a run that has ended.

        Args:
            run_s: Its run time, in seconds.
            expected_s: The expected time on its upstream, in seconds.
        """
        self.budget.deposit()
        rest = run_s / max(expected_s, 1e-6) - OVERDUE_FACTOR
        if rest > 0:
            self.count_ = min(self.count_ + 1, WINDOW)
            self.mean_rest_ += (rest - self.mean_rest_) / self.count_

    def should_move(self, expected_s: float, restart_run_s: float) -> bool:
        """Returns True if an overdue run should be moved; counts the move.

        Args:
            expected_s: The expected time on its upstream, in seconds.
            restart_run_s: The expected time on the other one, in seconds.
        """
        if self.count_ < MIN_LONG_RUNS:
            return False
        rest_s = self.mean_rest_ * expected_s
        return rest_s > RESTART_S + restart_run_s and self.budget.try_withdraw()
