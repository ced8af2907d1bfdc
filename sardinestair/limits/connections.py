"""Bounds the connections to one server, with more of them in a burst."""

import asyncio
import math
from collections import deque

__all__ = ["ConnectionLimit"]

# Interval after which the rate of requests that finish is known.
GROW_INTERVAL_S = 0.01
# In a burst, requests should wait no longer than this.
MAX_WAIT_S = 0.2
# Requests that one connection serves in that time if each takes 50 ms.
MAX_WAITING_PER_CONNECTION = 4


class ConnectionLimit:
    """Admits requests in order of arrival, as connections are free.

    `usual` connections serve all requests as long as these take little time. If
    those that wait would take longer than `MAX_WAIT_S` at the current rate,
    further connections are used, one for each `MAX_WAITING_PER_CONNECTION`.

    Args:
        usual: Connections outside of a burst, at least 1.
        most: Connections in a burst; as many as usual if not given.

    Attributes:
        active: Number of requests admitted and not finished.
        waiting: The other requests; each future ends with its admission.
        finished: Number of requests finished in this interval.

    Examples:
        >>> async def use(limit):
        ...     async with limit:
        ...         return limit.active
        >>> asyncio.run(use(ConnectionLimit(usual=1)))
        1
    """

    def __init__(self, usual: int, most: int | None = None):
        self.usual = usual
        self.most = usual if most is None else most
        self.active = 0
        self.waiting: deque[asyncio.Future[None]] = deque()
        self.finished = 0
        self.growth: asyncio.TimerHandle | None = None

    async def __aenter__(self) -> None:
        """Waits until the request may use a connection."""
        if self.active < self.usual and not self.waiting:
            self.active += 1
            return
        admission = asyncio.get_running_loop().create_future()
        self.waiting.append(admission)
        self._schedule_growth()
        try:
            await admission
        except asyncio.CancelledError:
            if not admission.cancelled():
                self._release()
            elif admission in self.waiting:
                self.waiting.remove(admission)
            raise

    async def __aexit__(self, *_error: object) -> None:
        """Gives the connection to the request that has waited longest."""
        self.finished += 1
        self._release()

    def _release(self) -> None:
        self.active -= 1
        self._admit_next()

    def _admit_next(self) -> bool:
        while self.waiting:
            admission = self.waiting.popleft()
            if not admission.done():
                self.active += 1
                admission.set_result(None)
                return True
        return False

    def _schedule_growth(self) -> None:
        if self.growth is None and self.most > self.usual:
            self.finished = 0
            self.growth = asyncio.get_running_loop().call_later(
                GROW_INTERVAL_S, self._grow
            )

    def _grow(self) -> None:
        self.growth = None
        waiting = len(self.waiting)
        if waiting * GROW_INTERVAL_S > self.finished * MAX_WAIT_S:
            wanted = math.ceil(waiting / MAX_WAITING_PER_CONNECTION)
            limit = min(self.most, wanted)
            while self.active < limit and self._admit_next():
                pass
        if self.waiting:
            self._schedule_growth()
