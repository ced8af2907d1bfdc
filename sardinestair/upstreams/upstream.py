"""The upstream of a sidecar: its announcement and its right to new work."""

import enum
from typing import Annotated

import msgspec
from msgspec import Meta

from sardinestair.limits.resources import Resources

__all__ = ["Announcement", "Upstream", "UpstreamState"]

MAX_SLOTS = 4096
MAX_TTL_S = 300.0
_NAME = r"^[a-z0-9][a-z0-9._-]{0,62}$"


class Announcement(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What an upstream says of itself.

    Attributes:
        service: The service that it answers for.
        address: Base URL, with the IP number and port.
        slots: Tasks that it runs at a time; not used if it has a capacity.
        connections: Connections that it accepts.
        ttl_s: How long the announcement holds, in seconds.
        health_path: Path that answers 2xx while the upstream is well, or
            empty if it has none.
        capacity: Its resources, for an upstream that does not count slots.
    """

    service: Annotated[str, Meta(pattern=_NAME)]
    address: Annotated[str, Meta(pattern=r"^http://[^/\s]+$")]
    slots: Annotated[int, Meta(ge=1, le=MAX_SLOTS)]
    connections: Annotated[int, Meta(ge=1, le=65536)] = 64
    ttl_s: Annotated[float, Meta(gt=0, le=MAX_TTL_S)] = 5.0
    health_path: Annotated[str, Meta(pattern=r"^(/\S*)?$")] = ""
    capacity: Resources | None = None


class UpstreamState(enum.Enum):
    """Whether the upstream gets new work."""

    ABSENT = "absent"
    SERVING = "serving"
    LEAVING = "leaving"


class Upstream:
    """The upstream beside a sidecar.

    It serves from its announcement until it leaves or the announcement runs
    out. Leaving ends with a later announcement.

    Attributes:
        state: Whether it gets new work.
        announcement: The last announcement, or None before the first.
        expires_s: When the announcement runs out, on the sidecar's clock.

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

    @property
    def slots(self) -> int:
        """Credit units: thousandths of a core, or slots within connections."""
        if self.announcement is None:
            return 0
        if self.announcement.capacity is not None:
            return self.announcement.capacity.cpu_millis
        return min(self.announcement.slots, self.announcement.connections)

    @property
    def capacity(self) -> Resources | None:
        """Its resources, or None if it counts slots."""
        return self.announcement.capacity if self.announcement else None

    @property
    def service(self) -> str:
        """The service that it answers for, or empty."""
        return self.announcement.service if self.announcement else ""

    def announce(self, announcement: Announcement, now_s: float) -> bool:
        """Takes an announcement.

        Args:
            announcement: What the upstream says.
            now_s: The present, in seconds.

        Returns:
            True if more than the expiry has changed.
        """
        changed = (
            self.state is not UpstreamState.SERVING
            or announcement != self.announcement
        )
        self.announcement = announcement
        self.expires_s = now_s + announcement.ttl_s
        self.state = UpstreamState.SERVING
        return changed

    def leave(self) -> bool:
        """Stops new work.

        Returns:
            True if the upstream was serving.
        """
        if self.state is not UpstreamState.SERVING:
            return False
        self.state = UpstreamState.LEAVING
        return True

    def expire(self, now_s: float) -> bool:
        """Stops new work if the announcement has run out.

        Args:
            now_s: The present, in seconds.

        Returns:
            True if it has just run out.
        """
        return now_s >= self.expires_s and self.leave()
