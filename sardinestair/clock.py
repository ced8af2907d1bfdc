"""The clock, passed in as an interface."""

import datetime
import time
from typing import Protocol

__all__ = ["Clock", "ManualClock", "SystemClock"]


class Clock(Protocol):
    """Source of time.

    Durations are measured with `monotonic`; `now` is for records that people
    read and for budgets that follow the calendar.
    """

    def monotonic(self) -> float:
        """Returns seconds from an arbitrary start; never goes back."""
        ...

    def now(self) -> datetime.datetime:
        """Returns the current time in UTC."""
        ...


class SystemClock:
    """The clock of the machine.

    Its monotonic time counts the time for which the machine is suspended, so
    that a lease runs out during a suspension as it does elsewhere.

    Examples:
        >>> clock = SystemClock()
        >>> clock.monotonic() <= clock.monotonic()
        True
    """

    def monotonic(self) -> float:
        """Returns the machine's monotonic time in seconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def now(self) -> datetime.datetime:
        """Returns the machine's time in UTC."""
        return datetime.datetime.now(datetime.UTC)


class ManualClock:
    """A clock that moves only when told to.

    Args:
        start: The time that `now` returns at first.

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
            seconds: How far, zero or more.

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
