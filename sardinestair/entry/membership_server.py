"""Answers the announcements of sidecars and the hellos of other entries."""

from collections.abc import Callable
from functools import singledispatchmethod

import msgspec
import zmq

from sardinestair.endpoints import check_endpoint
from sardinestair.entry.dispatcher import Dispatcher
from sardinestair.entry.ownership_exchange import OwnershipExchange
from sardinestair.event_loop import LoopHandle
from sardinestair.ids import Incarnation
from sardinestair.links.entry_link import EntryLink
from sardinestair.links.sockets import has_message, limit_peers, receive
from sardinestair.membership import PauseMonitor, PeerDirectory, Roster
from sardinestair.messages import (
    DECODE_ERRORS,
    Announce,
    AnnounceReply,
    OwnershipUpdate,
    PeerHello,
    PeerReply,
)
from sardinestair.observability import EventLog
from sardinestair.settings.tree import Favour, resolve_settings
from sardinestair.sidecar.policy import SidecarPolicy

__all__ = ["MembershipServer"]

CHECK_INTERVAL_S = 0.2
MAX_MESSAGES_PER_ITERATION = 64
# The largest message names 1,000 withdrawn jobs, in 18 KB.
MAX_MESSAGE_BYTES = 64 << 10
# Announcements and hellos are sent periodically, so lost replies are repeated.
MAX_QUEUED_MESSAGES = 32
LINK_SCHEME = "tcp://"
PAUSE_THRESHOLD_S = 1.0
RECALL_DELAY_S = {Favour.RESPONSE: 0.0, Favour.MESSAGES: 0.05}


class MembershipServer:
    """Answers announcements, and opens and removes links accordingly.

    Its methods are called in one thread, that of the event loop. Replies carry
    the settings in force if the sender's are older.

    Args:
        endpoint: ZeroMQ endpoint to listen on.
        dispatcher: The entry's dispatcher.
        roster: The known sidecars.
        peers: The known entries; `own_endpoint` is set here.
        start_link: Adds a new link to the `LinkLoop`.
        context: The ZeroMQ context.

    Attributes:
        http_address: Base URL of the entry's HTTP API.
        settings_revision: Revision of the settings tree in force.
        pauses: Notices that messages may not have been read.
        handle: Calls `run_once` when there is work; None before `start`.
        exchange: Exchanges the owners of jobs; None before it is assembled.
    """

    def __init__(
        self,
        endpoint: str,
        dispatcher: Dispatcher,
        roster: Roster,
        peers: PeerDirectory,
        start_link: Callable[[EntryLink], object],
        context: zmq.Context,
    ):
        self.dispatcher = dispatcher
        self.roster = roster
        self.peers = peers
        self.http_address = ""
        self.start_link = start_link
        self.settings_revision = 0
        self.last_check_s = dispatcher.clock.monotonic()
        self.pauses = PauseMonitor(self.last_check_s)
        self.handle: LoopHandle | None = None
        self.exchange: OwnershipExchange | None = None
        self.socket = context.socket(zmq.ROUTER)
        limit_peers(self.socket, MAX_MESSAGE_BYTES, MAX_QUEUED_MESSAGES)
        self.socket.bind(endpoint)
        self.endpoint = self.socket.get(zmq.LAST_ENDPOINT).decode()
        self.decoder = msgspec.msgpack.Decoder(
            Announce | PeerHello | OwnershipUpdate
        )
        self.peers.own_endpoint = self.endpoint.removeprefix("tcp://")
        dispatcher.directory.own_endpoint = self.peers.own_endpoint
        dispatcher.takeover.is_current = self.is_current
        self.log = EventLog("membership")

    def start(self, handle: LoopHandle) -> None:
        """Starts to serve.

        Args:
            handle: Calls `run_once`.
        """
        self.handle = handle
        self.pauses = PauseMonitor(self.dispatcher.clock.monotonic())
        handle.add(int(self.socket.get(zmq.FD)))
        handle.wake()

    def run_once(self) -> float:
        """Answers received messages, and removes expired sidecars.

        Returns:
            The time until it is due again, in seconds.
        """
        for _ in range(MAX_MESSAGES_PER_ITERATION):
            parts = receive(self.socket)
            if parts is None:
                break
            self._handle(parts[0], parts[-1])
        else:
            self._wake()
        now_s = self.dispatcher.clock.monotonic()
        self.pauses.observe_read(now_s)
        if now_s >= self.last_check_s + CHECK_INTERVAL_S:
            self._remove_expired_sidecars(now_s)
        return self.last_check_s + CHECK_INTERVAL_S - now_s

    def is_current(self) -> bool:
        """Returns False if messages may be waiting that were sent long ago."""
        return self.pauses.is_current(self.dispatcher.clock.monotonic())

    def close(self) -> None:
        """Closes the socket."""
        self.socket.close(linger=0)

    def _wake(self) -> None:
        if self.handle is not None:
            self.handle.wake()

    def _handle(self, route: bytes, data: bytes) -> None:
        try:
            message = self.decoder.decode(data)
            if isinstance(message, Announce):
                check_endpoint(message.endpoint.removeprefix(LINK_SCHEME))
        except (*DECODE_ERRORS, ValueError) as error:
            self.log.warning("announce_undecodable", reason=str(error))
            return
        reply = self._answer(message)
        if reply is not None:
            self.socket.send_multipart([route, msgspec.msgpack.encode(reply)])
        if has_message(self.socket):
            self._wake()

    @singledispatchmethod
    def _answer(self, message) -> AnnounceReply | PeerReply | None:
        raise AssertionError(f"unexpected message {message!r}")

    @_answer.register
    def _(self, update: OwnershipUpdate) -> None:
        if self.exchange is not None:
            self.exchange.handle_update(update)

    @_answer.register
    def _(self, hello: PeerHello) -> PeerReply:
        now_s = self.dispatcher.clock.monotonic()
        self.peers.learn([hello.endpoint], now_s)
        self.peers.observe(
            hello.endpoint, hello.http_address, hello.entry, now_s
        )
        self.dispatcher.handle_withdrawn(hello.withdrawn)
        self.dispatcher.observe_evacuations(hello.evacuations)
        received = -1
        if self.exchange is not None and hello.shares_owners:
            self.exchange.add_peer(hello.endpoint, hello.entry)
            received = self.exchange.received_from(hello.endpoint, hello.entry)
        settings = b""
        if hello.settings_revision < self.settings_revision:
            settings = msgspec.json.encode(self.dispatcher.tree)
        return PeerReply(
            self.dispatcher.incarnation,
            self.http_address,
            self.peers.endpoints(),
            self.settings_revision,
            settings,
            self.dispatcher.evacuations.view,
            received,
        )

    @_answer.register
    def _(self, announce: Announce) -> AnnounceReply:
        now_s = self.dispatcher.clock.monotonic()
        self.roster.observe(announce, now_s)
        self.dispatcher.observe_evacuations(announce.evacuations)
        link = self.dispatcher.handle_announcement(announce)
        if link is not None:
            self.start_link(link)
        settings = b""
        tree = self.dispatcher.tree
        is_behind = announce.settings_revision < self.settings_revision
        if tree is not None and announce.service and is_behind:
            values = resolve_settings(tree, announce.service, announce.zone)
            policy = SidecarPolicy(
                values.not_run_statuses,
                values.read_ahead,
                RECALL_DELAY_S[values.favour],
                values.cold_share,
                values.idle_grant_delay_s,
            )
            settings = msgspec.json.encode(policy)
        return AnnounceReply(
            self.dispatcher.incarnation,
            self.peers.endpoints(),
            self.settings_revision,
            settings,
            self.dispatcher.evacuations.view,
        )

    def _remove_expired_sidecars(self, now_s: float) -> None:
        if now_s - self.last_check_s > PAUSE_THRESHOLD_S:
            # This process was paused and could not receive announcements, so
            # their age proves nothing.
            self.roster.renew_all(now_s)
        self.last_check_s = now_s
        for sidecar in self.roster.expired(now_s):
            link = self.dispatcher.links.get(sidecar)
            if link is not None and self._should_keep(sidecar, link, now_s):
                continue
            self.roster.forget(sidecar)
            self.dispatcher.remove_sidecar(sidecar)

    def _should_keep(
        self, sidecar: Incarnation, link: EntryLink, now_s: float
    ) -> bool:
        """Returns True for a responsive link, unless its sidecar has left.

        A leaving sidecar is kept while it holds tasks.
        """
        has_left = self.roster.sidecars[sidecar].leaving
        is_settled = has_left and not link.outstanding
        return self._is_responsive(link, now_s) and not is_settled

    def _is_responsive(self, link: EntryLink, now_s: float) -> bool:
        """Returns True if the sidecar has answered on the link recently.

        An expired announcement alone does not close such a link.
        """
        silent_s = now_s - link.last_received_s
        return silent_s <= self.dispatcher.timing.lost_s
