"""Notices that a process may not have read what others have sent."""

__all__ = ["PauseMonitor"]

MAX_GAP_S = 0.5
# Replies to the first messages of a process come within this time.
START_S = 0.3
CATCH_UP_S = 0.05


class PauseMonitor:
    """Determines whether messages of other processes are read as they come.

    They aren't when the process has just started, or was paused.

    Args:
        now_s: Start of the process, in seconds.

    Attributes:
        last_read_s: When messages were read last.
        current_from_s: Time from which all earlier messages have been read.

    Examples:
        >>> pauses = PauseMonitor(now_s=0.0)
        >>> pauses.is_current(now_s=0.2)
        False
        >>> pauses.observe_read(now_s=0.3)
        >>> pauses.is_current(now_s=0.4)
        True
        >>> pauses.is_current(now_s=2.0)
        False
    """

    def __init__(self, now_s: float):
        self.last_read_s = now_s
        self.current_from_s = now_s + START_S

    def observe_read(self, now_s: float) -> None:
        """Notes that waiting messages have been read."""
        if now_s - self.last_read_s > MAX_GAP_S:
            self.current_from_s = now_s + CATCH_UP_S
        self.last_read_s = now_s

    def is_current(self, now_s: float) -> bool:
        """Returns False if messages may be waiting that were sent long ago."""
        is_paused = now_s - self.last_read_s > MAX_GAP_S
        return now_s >= self.current_from_s and not is_paused
