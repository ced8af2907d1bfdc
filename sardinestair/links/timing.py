"""Time limits of a link."""

import msgspec

__all__ = ["DRIFT", "LinkTiming"]

MAX_TICK_S = 0.1

DRIFT = 0.02
"""Largest difference in rate between two steady clocks (platform figure)."""

STOP_S = 0.05
"""Longest time that a stop takes at an upstream (platform figure)."""


class LinkTiming(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """When a link speaks, and when it gives up.

    Tasks of a leased upstream live only while their entry's session does. It
    runs from the moment at which the sidecar sent the last frame that the
    entry has echoed, so a frame that was held up proves nothing. Each of the
    following has to hold, with clocks that differ in rate by `DRIFT`:

        session_s + lease_s * (1 + DRIFT) + stop < time until a caller that
            lost its entry submits again
        lost_s >= (session_s + lease_s) * (1 + DRIFT) + stop

    The first lets no second run begin beside the first through another entry,
    the second none through the same entry.

    Attributes:
        heartbeat_s: Longest time between two frames, in seconds.
        silence_s: After this long without a frame the entry opens a new
            connection, and the sidecar takes back the entry's credits.
        lost_s: After this long without an answer the tasks that the sidecar
            holds count as lost; those of a leased upstream have then ended.
        session_s: Length of a session at a leased upstream, in seconds.
        lease_s: Length of the lease that a sidecar asks its upstream for, in
            seconds.
    """

    heartbeat_s: float = 0.5
    silence_s: float = 1.5
    lost_s: float = 6.0
    session_s: float = 3.0
    lease_s: float = 1.0

    def __post_init__(self) -> None:
        """Checks the second of the inequalities.

        Raises:
            ValueError: If tasks could be taken for ended that still run.
        """
        least_s = (self.session_s + self.lease_s) * (1 + DRIFT) + STOP_S
        if self.lost_s < least_s:
            raise ValueError(
                f"lost_s must be at least {least_s:.2f} s, which is session_s "
                f"and lease_s by the slower clock, got {self.lost_s} s"
            )

    @property
    def tick_s(self) -> float:
        """Time between two looks at what has run out."""
        return min(MAX_TICK_S, self.heartbeat_s / 3)

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
