"""Timeouts and intervals of a link."""

import msgspec

__all__ = ["MAX_CLOCK_DRIFT", "MAX_STOP_S", "STOP_LIMIT_S", "LinkTiming"]

MAX_TICK_S = 0.1

MAX_CLOCK_DRIFT = 0.02
"""Maximum relative rate difference of two monotonic clocks on the platform."""

MAX_STOP_S = 0.05
"""Longest time that an upstream on the platform takes to stop a task."""

STOP_LIMIT_S = 1.0
"""Time after which the lease ends a run that is being stopped, in seconds.

A caller whose connection broke submits its cancelled job again after 1.3 s.
"""


class LinkTiming(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Heartbeat interval, timeouts and lease lengths of a link.

    Tasks of a leased upstream run only as long as the session of their entry.
    The session is counted from the time at which the sidecar sent the latest
    frame that the entry has echoed, so a delayed frame doesn't prolong it.
    Both of these inequalities must hold for clocks whose rates differ by up to
    `MAX_CLOCK_DRIFT`, where stop is `MAX_STOP_S`:

        session_s + lease_s * (1 + MAX_CLOCK_DRIFT) + stop < time until a
            caller that lost its entry submits again
        lost_s >= (session_s + lease_s) * (1 + MAX_CLOCK_DRIFT) + stop

    The first prevents another entry from starting a task that is still
    running, the second prevents the same entry from doing so. They hold for
    any number of tasks and however long their stops take, as the lease isn't
    renewed beyond `session_s + lease_s` before all of them have ended.

    Attributes:
        heartbeat_s: Longest interval between two frames, in seconds.
        silence_s: Time without a frame after which the entry reconnects and
            the sidecar revokes the entry's credits, in seconds.
        lost_s: Time without a reply after which the entry treats the tasks at
            the sidecar as lost, in seconds; at a leased upstream they have
            ended by then.
        session_s: Length of a session at a leased upstream, in seconds.
        lease_s: Length of the lease that a sidecar requests from its upstream,
            in seconds.
        idle_heartbeat_s: Longest interval between two frames while no task
            depends on the link, in seconds. It must be shorter than the
            session, since a start is refused if its session has expired.
    """

    heartbeat_s: float = 0.5
    silence_s: float = 1.5
    lost_s: float = 6.0
    session_s: float = 3.0
    lease_s: float = 1.0
    idle_heartbeat_s: float = 0.5

    def __post_init__(self) -> None:
        """Checks the second inequality and the intervals of heartbeats.

        Raises:
            ValueError: If running tasks could be treated as lost, or starts on
                idle links would be refused.
        """
        if not self.heartbeat_s <= self.idle_heartbeat_s < self.session_s:
            raise ValueError(
                f"idle_heartbeat_s must be in [heartbeat_s, session_s), that "
                f"is [{self.heartbeat_s}, {self.session_s}) s, got "
                f"{self.idle_heartbeat_s} s"
            )
        min_lost_s = (self.session_s + self.lease_s) * (
            1 + MAX_CLOCK_DRIFT
        ) + MAX_STOP_S
        if self.lost_s < min_lost_s:
            raise ValueError(
                f"lost_s must be at least {min_lost_s:.2f} s (session_s plus "
                f"lease_s with clock drift, plus the time to stop a task), "
                f"got {self.lost_s} s"
            )

    @property
    def tick_s(self) -> float:
        """Interval between two checks for expired timeouts."""
        return min(MAX_TICK_S, self.heartbeat_s / 3)

    def heartbeat_interval_s(self, is_idle: bool) -> float:
        """Returns the longest interval between two frames, in seconds.

        Args:
            is_idle: True if no task depends on the link.
        """
        return self.idle_heartbeat_s if is_idle else self.heartbeat_s

    def silence_limit_s(self, is_idle: bool) -> float:
        """Returns the time without a frame that breaks a link, in seconds."""
        extra_s = self.heartbeat_interval_s(is_idle) - self.heartbeat_s
        return self.silence_s + extra_s

    def heartbeat_due_s(self, is_idle: bool) -> float:
        """Time since its last frame after which the entry sends a heartbeat.

        Shorter than the heartbeat interval, so that the sidecar's heartbeats
        are each answered with one.
        """
        return 0.8 * self.heartbeat_interval_s(is_idle)

    def poll_timeout_s(self, is_idle: bool) -> float:
        """Longest time that the entry waits for a frame before it sends one.

        Longer than the heartbeat interval, so that one wake-up both receives
        the sidecar's heartbeat and sends the entry's.
        """
        return 1.3 * self.heartbeat_interval_s(is_idle)
