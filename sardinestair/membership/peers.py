"""Directory of the other entries of the system."""

import msgspec

from sardinestair.endpoints import select_endpoints
from sardinestair.ids import Incarnation

__all__ = ["Peer", "PeerDirectory"]


class Peer(msgspec.Struct):
    """What a process has learned of an entry.

    Attributes:
        endpoint: Its membership endpoint, host:port.
        is_static: True if it is listed in the settings; it never expires.
        last_seen_s: When it was added, last replied or was last found
            registered, on the local clock.
        http_address: Base URL of its HTTP API, empty until it is observed.
        incarnation: Its incarnation, empty until it is observed.
    """

    endpoint: str
    is_static: bool
    last_seen_s: float
    http_address: str = ""
    incarnation: Incarnation = Incarnation(b"")


class PeerDirectory:
    """Entries by their membership endpoint.

    An entry expires only if for `forget_after_s` it neither replies nor is
    registered in the store. An outage of the store or an expired lease alone
    therefore removes no entry.

    Args:
        own_endpoint: The process's own endpoint, never listed as a peer.
        forget_after_s: Time since an entry was last seen after which it
            expires, in seconds.

    Examples:
        >>> peers = PeerDirectory("127.0.0.1:1", forget_after_s=30.0)
        >>> peers.learn(["127.0.0.1:1", "127.0.0.1:2"], now_s=0.0)
        ['127.0.0.1:2']
        >>> peers.expire(now_s=31.0)
        ['127.0.0.1:2']
    """

    def __init__(self, own_endpoint: str, forget_after_s: float = 30.0):
        self.own_endpoint = own_endpoint
        self.forget_after_s = forget_after_s
        self.peers: dict[str, Peer] = {}

    def add_static(self, endpoints: list[str], now_s: float) -> None:
        """Adds the entries listed in the settings."""
        for endpoint in endpoints:
            if endpoint != self.own_endpoint:
                self.peers[endpoint] = Peer(endpoint, True, now_s)

    def learn(self, endpoints: list[str], now_s: float) -> list[str]:
        """Adds entries named by other processes; skips invalid endpoints.

        Returns:
            The endpoints that were not known before.
        """
        known = {self.own_endpoint, *self.peers}
        valid = select_endpoints(dict.fromkeys(endpoints))
        new = [endpoint for endpoint in valid if endpoint not in known]
        for endpoint in new:
            self.peers[endpoint] = Peer(endpoint, False, now_s)
        return new

    def observe(
        self,
        endpoint: str,
        http_address: str,
        incarnation: Incarnation,
        now_s: float,
    ) -> None:
        """Records a message or the registration of an entry."""
        peer = self.peers.get(endpoint)
        if peer is not None:
            peer.last_seen_s = now_s
            peer.http_address = http_address
            peer.incarnation = incarnation

    def expire(self, now_s: float) -> list[str]:
        """Removes the entries that were not seen for `forget_after_s`.

        Returns:
            The endpoints of the removed entries.
        """
        gone = [
            peer.endpoint
            for peer in self.peers.values()
            if not peer.is_static
            and now_s - peer.last_seen_s > self.forget_after_s
        ]
        for endpoint in gone:
            del self.peers[endpoint]
        return gone

    def endpoints(self) -> list[str]:
        """Returns all endpoints, including the process's own."""
        return sorted({self.own_endpoint, *self.peers})

    def recently_seen(self, now_s: float, within_s: float) -> list[Peer]:
        """Returns the entries observed within the last `within_s` seconds."""
        return [
            peer
            for peer in self.peers.values()
            if peer.http_address and now_s - peer.last_seen_s <= within_s
        ]
