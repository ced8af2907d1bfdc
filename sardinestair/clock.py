"""Clock interface, with a system and a manual implementation."""

import datetime
import time
from typing import Protocol

__all__ = ["Clock", "ManualClock", "SystemClock"]


class Clock(Protocol):
    """Source of time.

    `monotonic` is for measuring durations; `now` is for timestamps shown to
    people and for budgets per calendar month.
    """

    def monotonic(self) -> float:
        """Returns seconds since an arbitrary origin; never decreases."""
        ...

    def now(self) -> datetime.datetime:
        """Returns the current time in UTC."""
        ...


class SystemClock:
    """The system clock.

    Its monotonic time includes the time for which the machine is suspended,
    so that a lease expires during a suspension as it does on other machines.

    Examples:
        >>> clock = SystemClock()
        >>> clock.monotonic() <= clock.monotonic()
        True
    """

    def monotonic(self) -> float:
        """Returns the time since boot, in seconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def now(self) -> datetime.datetime:
        """Returns the system time in UTC."""
        return datetime.datetime.now(datetime.UTC)


class ManualClock:
    """A clock for tests and emulation that moves only on `advance`.

    Args:
        start: The time that `now` returns before the first `advance`.

    Examples:
        >>> clock = ManualClock()
        >>> clock.advance(2.5)
        >>> clock.monotonic()
        2.5
    """

    def __init__(
        self,
        start: datetime.datetime = datetime.datetime(
            2026, 1, 1, tzinfo=datetime.UTC
        ),
    ):
        self.start = start
        self.elapsed_s = 0.0

    def advance(self, seconds: float) -> None:
        """Moves the clock forward.

        Args:
            seconds: Number of seconds, zero or more.

        Raises:
            ValueError: If `seconds` is negative.
        """
        if seconds < 0:
            raise ValueError(f"seconds must be >= 0, got {seconds}")
        self.elapsed_s += seconds

    def monotonic(self) -> float:
        """Returns the seconds advanced so far."""
        return self.elapsed_s

    def now(self) -> datetime.datetime:
        """Returns the start time plus the seconds advanced."""
        return self.start + datetime.timedelta(seconds=self.elapsed_s)
