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
