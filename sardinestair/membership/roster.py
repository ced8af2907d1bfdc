"""The announced sidecars, with the expiry of their announcements."""

from sardinestair.ids import Incarnation
from sardinestair.messages import Announce

__all__ = ["Roster"]


class Roster:
    """The sidecars that announce themselves to an entry.

    Args:
        ttl_s: Lifetime of an announcement, in seconds.

    Attributes:
        sidecars: The latest announcement of each sidecar.
        last_seen_s: When it arrived or was renewed.

    Examples:
        >>> roster = Roster(ttl_s=3.0)
        >>> sidecar = Incarnation(b"s" * 16)
        >>> roster.observe(
        ...     Announce(sidecar, "tcp://127.0.0.1:1", "z", "q", 8, False, 0),
        ...     now_s=0.0,
        ... )
        >>> roster.expired(now_s=2.0)
        []
        >>> roster.expired(now_s=4.0) == [sidecar]
        True
    """

    def __init__(self, ttl_s: float = 3.0):
        self.ttl_s = ttl_s
        self.sidecars: dict[Incarnation, Announce] = {}
        self.last_seen_s: dict[Incarnation, float] = {}

    def observe(self, announce: Announce, now_s: float) -> None:
        """Records an announcement."""
        self.sidecars[announce.sidecar] = announce
        self.last_seen_s[announce.sidecar] = now_s

    def expired(self, now_s: float) -> list[Incarnation]:
        """Returns the sidecars whose announcement has expired."""
        return [
            sidecar
            for sidecar, last_seen_s in self.last_seen_s.items()
            if now_s - last_seen_s > self.ttl_s
        ]

    def renew_all(self, now_s: float) -> None:
        """Renews all announcements as if they had just arrived."""
        self.last_seen_s = dict.fromkeys(self.last_seen_s, now_s)

    def forget(self, sidecar: Incarnation) -> None:
        """Removes a sidecar."""
        self.sidecars.pop(sidecar, None)
        self.last_seen_s.pop(sidecar, None)
