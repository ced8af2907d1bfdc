"""State of a sidecar's upstream: its announcement, and whether it serves."""

import enum
from typing import Annotated

import msgspec
from msgspec import Meta

from sardinestair.limits.resources import Resources
from sardinestair.upstreams.warmup import Warmup

__all__ = ["Announcement", "Upstream", "UpstreamState"]

MAX_SLOTS = 4096
MAX_TTL_S = 300.0
MAX_COLD_S = 3600.0
_SERVICE_NAME = r"^[a-z0-9][a-z0-9._-]{0,62}$"


class Announcement(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of an upstream's announcement to its sidecar.

    Attributes:
        service: Name of the service that it provides.
        address: Base URL, with IP address and port.
        slots: Number of tasks that it runs concurrently; ignored if a
            capacity is given.
        connections: Maximum number of connections that it accepts.
        ttl_s: Time after which the announcement expires, in seconds.
        health_path: Path that returns 2xx while the upstream is healthy, or
            empty if it has none.
        capacity: Its resources, for an upstream without a fixed number of
            slots.
        cold_s: Time for which it is still slow after its start, in seconds.
        rack: Its rack, or empty if unknown.
    """

    service: Annotated[str, Meta(pattern=_SERVICE_NAME)]
    address: Annotated[str, Meta(pattern=r"^http://[^/\s]+$")]
    slots: Annotated[int, Meta(ge=1, le=MAX_SLOTS)]
    connections: Annotated[int, Meta(ge=1, le=65536)] = 64
    ttl_s: Annotated[float, Meta(gt=0, le=MAX_TTL_S)] = 5.0
    health_path: Annotated[str, Meta(pattern=r"^(/\S*)?$")] = ""
    capacity: Resources | None = None
    cold_s: Annotated[float, Meta(ge=0, le=MAX_COLD_S)] = 0.0
    rack: Annotated[str, Meta(max_length=63)] = ""


class UpstreamState(enum.Enum):
    """Whether the upstream accepts new tasks.

    ABSENT is the state before the first announcement. LEAVING is the state
    after it has left, or its announcement has expired; UNREACHABLE after it
    has stopped answering.
    """

    ABSENT = "absent"
    SERVING = "serving"
    LEAVING = "leaving"
    UNREACHABLE = "unreachable"


class Upstream:
    """The upstream of a sidecar.

    It serves from its announcement until it leaves or the announcement
    expires. A later announcement makes it serve again.

    Attributes:
        state: Whether it accepts new tasks.
        announcement: The last announcement without its `cold_s`, or None
            before the first.
        expires_s: When the announcement expires, on the sidecar's clock.
        leaves_at_s: When it leaves at the earliest, on the sidecar's clock;
            None if it has not announced when.
        warmup: Time for which it is still slow.

    Examples:
        >>> upstream = Upstream()
        >>> upstream.announce(
        ...     Announcement("quotes", "http://127.0.0.1:9", 8, ttl_s=5), 0.0
        ... )
        True
        >>> upstream.slots
        8
        >>> upstream.expire(now_s=6.0)
        True
        >>> upstream.state
        <UpstreamState.LEAVING: 'leaving'>
    """

    def __init__(self) -> None:
        self.state = UpstreamState.ABSENT
        self.announcement: Announcement | None = None
        self.expires_s = 0.0
        self.leaves_at_s: float | None = None
        self.warmup = Warmup()

    @property
    def slots(self) -> int:
        """Credits of the upstream when idle.

        Thousandths of a core if it has a capacity, otherwise its slots, at
        most one per connection.
        """
        if self.announcement is None:
            return 0
        if self.announcement.capacity is not None:
            return self.announcement.capacity.cpu_millis
        return min(self.announcement.slots, self.announcement.connections)

    @property
    def capacity(self) -> Resources | None:
        """Its resources, or None if it has slots instead."""
        return self.announcement.capacity if self.announcement else None

    @property
    def rack(self) -> str:
        """Its rack, or empty if unknown."""
        return self.announcement.rack if self.announcement else ""

    @property
    def service(self) -> str:
        """Name of its service, or empty before the first announcement."""
        return self.announcement.service if self.announcement else ""

    def announce(self, announcement: Announcement, now_s: float) -> bool:
        """Handles an announcement.

        Args:
            announcement: The announcement.
            now_s: Current time on the sidecar's clock, in seconds.

        Returns:
            True if it changed the state or differs from the last one, False
            if it only extended the expiry.
        """
        was_serving = self.state is UpstreamState.SERVING
        self.warmup.observe(announcement.cold_s, now_s)
        # The rest of the cold time differs in each announcement.
        lasting = msgspec.structs.replace(announcement, cold_s=0.0)
        changed = not was_serving or lasting != self.announcement
        self.announcement = lasting
        self.expires_s = now_s + announcement.ttl_s
        self.leaves_at_s = None
        self.state = UpstreamState.SERVING
        return changed

    def leave(self, leaves_at_s: float | None = None) -> bool:
        """Stops accepting new tasks.

        Args:
            leaves_at_s: When it leaves at the earliest, on the sidecar's
                clock, if announced.

        Returns:
            True if the upstream was serving.
        """
        if leaves_at_s is not None:
            self.leaves_at_s = leaves_at_s
        was_serving = self.state is UpstreamState.SERVING
        if was_serving or self.state is UpstreamState.UNREACHABLE:
            self.state = UpstreamState.LEAVING
        return was_serving

    def lose(self) -> bool:
        """Stops accepting new tasks until the next announcement.

        Returns:
            True if the upstream was serving.
        """
        if self.state is not UpstreamState.SERVING:
            return False
        self.state = UpstreamState.UNREACHABLE
        return True

    def expire(self, now_s: float) -> bool:
        """Stops accepting new tasks if the announcement has expired.

        Args:
            now_s: Current time on the sidecar's clock, in seconds.

        Returns:
            True if the upstream was serving until now.
        """
        is_serving = self.state is UpstreamState.SERVING
        return is_serving and now_s >= self.expires_s and self.leave()
