"""Time limits of a link."""

import msgspec

__all__ = ["LinkTiming"]


class LinkTiming(msgspec.Struct, frozen=True):
    """When a link speaks, and when it gives up.

    Attributes:
        heartbeat_s: Longest time between two frames, in seconds.
        silence_s: After this long without a frame the entry opens a new
            connection, and the sidecar takes back the entry's credits.
        lost_s: After this long without an answer the tasks that the sidecar
            holds count as lost.
    """

    heartbeat_s: float = 0.5
    silence_s: float = 1.5
    lost_s: float = 6.0

    @property
    def answer_after_s(self) -> float:
        """After this time the entry answers a frame with a heartbeat."""
        return 0.8 * self.heartbeat_s

    @property
    def answer_wait_s(self) -> float:
        """The entry waits this long for a frame to answer.

        Longer than a heartbeat, so that one wake-up serves both directions.
        """
        return 1.3 * self.heartbeat_s
