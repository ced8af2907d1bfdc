"""Exchanges settings and endpoints with the other entries."""

from collections.abc import Callable

import msgspec

from sardinestair.entry.membership_server import MembershipServer
from sardinestair.ids import Incarnation
from sardinestair.membership import Announcer
from sardinestair.messages import DECODE_ERRORS, PeerHello, PeerReply
from sardinestair.observability import EventLog
from sardinestair.settings import SettingsTree

__all__ = ["Gossip"]

MIN_INTERVAL_S = 1.0
MAX_INTERVAL_S = 5.0
# Bounds the messages of an entry; settings reach all entries within a second or
# two, as each entry passes them on.
MAX_MESSAGES_PER_S = 4.0
MIN_PEER_TIMEOUT_S = 5.0
# Cancelled jobs reach other entries within this time. Their tasks run on
# meanwhile, but one message serves many jobs.
WITHDRAWAL_DELAY_S = 0.5


class Gossip:
    """Exchanges messages with all other entries in turn.

    Each gets one per second; with many entries, one in up to `MAX_INTERVAL_S`.

    Its methods are called in one thread, that of the event loop. An entry that
    has lost its watch on the store, or that starts while the
    store is down, gets the settings in force from its peers.

    Args:
        membership: The entry's membership server.
        start_announcer: Makes a new announcer announce.
        adopt: Called with the revision and tree of received settings.

    Attributes:
        announcers: Announcer of each peer, by the peer's endpoint.
        observe_reply: Called with each reply: the peer's endpoint and
            incarnation, and the number of own records that it has received.
    """

    def __init__(
        self,
        membership: MembershipServer,
        start_announcer: Callable[[Announcer[PeerReply]], object],
        adopt: Callable[[int, SettingsTree], bool],
    ):
        self.membership = membership
        self.start_announcer = start_announcer
        self.adopt = adopt
        self.announcers: dict[str, Announcer[PeerReply]] = {}
        self.observe_reply: Callable[[str, Incarnation, int], None] = (
            lambda _endpoint, _incarnation, _received: None
        )
        self.stopping = False
        self.log = EventLog("gossip")

    @property
    def interval_s(self) -> float:
        """Interval between two messages to the same entry, in seconds."""
        interval_s = len(self.announcers) / MAX_MESSAGES_PER_S
        return min(max(interval_s, MIN_INTERVAL_S), MAX_INTERVAL_S)

    @property
    def peer_timeout_s(self) -> float:
        """Time without a message after which an entry counts as gone."""
        return max(MIN_PEER_TIMEOUT_S, 3 * self.interval_s)

    def start(self) -> None:
        """Starts an announcer for each known peer."""
        for endpoint in list(self.membership.peers.peers):
            self._add_announcer(endpoint)

    def stop(self) -> None:
        """Stops all announcers."""
        self.stopping = True
        for announcer in list(self.announcers.values()):
            announcer.stop()

    def add_endpoints(self, endpoints: list[str]) -> None:
        """Adds endpoints known to peers or the store; drops silent peers."""
        membership = self.membership
        now_s = membership.dispatcher.clock.monotonic()
        membership.peers.learn(endpoints, now_s)
        for endpoint in list(membership.peers.peers):
            if endpoint not in self.announcers:
                self._add_announcer(endpoint)
        for endpoint in membership.peers.expire(now_s):
            announcer = self.announcers.pop(endpoint, None)
            if announcer is not None:
                announcer.stop()

    def share_withdrawn(self) -> None:
        """Sends the jobs that were cancelled to the other entries soon."""
        for announcer in self.announcers.values():
            announcer.notify_within(WITHDRAWAL_DELAY_S)

    def _add_announcer(self, endpoint: str) -> None:
        if self.stopping:
            return
        announcer = Announcer(
            endpoint,
            self._make_hello,
            PeerReply,
            lambda reply: self._handle_reply(endpoint, reply),
            self.interval_s,
            self.membership.dispatcher.context,
            self.membership.dispatcher.clock,
        )
        self.announcers[endpoint] = announcer
        for other in self.announcers.values():
            other.interval_s = self.interval_s
        self.start_announcer(announcer)

    def _make_hello(self) -> PeerHello:
        dispatcher = self.membership.dispatcher
        return PeerHello(
            dispatcher.incarnation,
            self.membership.peers.own_endpoint,
            self.membership.http_address,
            self.membership.settings_revision,
            # In two messages at least, as one may be lost.
            dispatcher.withdrawn.recent(
                dispatcher.clock.monotonic(), 2 * self.interval_s
            ),
            dispatcher.evacuations.view,
            True,
        )

    def _adopt(self, reply: PeerReply) -> None:
        try:
            tree = msgspec.json.decode(reply.settings, type=SettingsTree)
        except DECODE_ERRORS as error:
            self.log.warning("settings_undecodable", reason=str(error))
            return
        self.adopt(reply.settings_revision, tree)

    def _handle_reply(self, endpoint: str, reply: PeerReply) -> None:
        now_s = self.membership.dispatcher.clock.monotonic()
        self.membership.peers.observe(
            endpoint, reply.http_address, reply.entry, now_s
        )
        self.observe_reply(endpoint, reply.entry, reply.owned_received)
        if reply.settings:
            self._adopt(reply)
        self.add_endpoints(reply.entries)
        dispatcher = self.membership.dispatcher
        dispatcher.observe_evacuations(reply.evacuations)
        dispatcher.admission_controller.share.entry_count = 1 + len(
            self.membership.peers.recently_seen(now_s, self.peer_timeout_s)
        )
