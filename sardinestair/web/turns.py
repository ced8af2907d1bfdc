"""Turns of connections whose data takes long to handle.

Data in very many small parts, and requests sent ahead of the responses, are
handled a little at a time, so that other connections are served in between.
"""

import time
from collections import deque
from collections.abc import Callable
from typing import Protocol

__all__ = ["TurnQueue", "TurnTaker"]

# Longest time that the turns of one iteration of the loop take together.
MAX_TURNS_S = 0.002
# Number of turns in one iteration; each may start to handle a request.
MAX_TURNS = 4


class TurnTaker(Protocol):
    """A connection that waits for its turn."""

    def take_turn(self) -> None:
        """Handles a part of the data; may request another turn."""


class TurnQueue:
    """Gives turns to connections, in the order of their requests.

    Args:
        call_soon: Calls a function in the next iteration of the event loop.
        timer_s: Returns the time, in seconds.

    Attributes:
        waiting: The connections that wait for a turn.

    Examples:
        >>> iterations = []
        >>> queue = TurnQueue(iterations.append, lambda: 0.0)
        >>> class Connection:
        ...     def take_turn(self):
        ...         print("turn")
        >>> queue.add(Connection())
        >>> iterations.pop()()
        turn
    """

    def __init__(
        self,
        call_soon: Callable[[Callable[[], None]], object],
        timer_s: Callable[[], float] = time.perf_counter,
    ):
        self.call_soon = call_soon
        self.timer_s = timer_s
        self.waiting: deque[TurnTaker] = deque()
        self.is_scheduled = False

    def add(self, connection: TurnTaker) -> None:
        """Gives a connection a turn when those before it have had theirs."""
        self.waiting.append(connection)
        self._schedule()

    def _schedule(self) -> None:
        if self.waiting and not self.is_scheduled:
            self.is_scheduled = True
            self.call_soon(self._run)

    def _run(self) -> None:
        self.is_scheduled = False
        until_s = self.timer_s() + MAX_TURNS_S
        for _ in range(min(MAX_TURNS, len(self.waiting))):
            self.waiting.popleft().take_turn()
            if self.timer_s() >= until_s:
                break
        self._schedule()
