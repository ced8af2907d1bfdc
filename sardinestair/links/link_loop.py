"""Serves all links of an entry.

The busier the entry is, the more frames and links one wake-up handles.
"""

from collections import deque
from typing import Protocol

import msgspec
import zmq

from sardinestair.clock import Clock
from sardinestair.event_loop import LoopHandle
from sardinestair.links.entry_link import EntryLink, LinkOwner, LinkState
from sardinestair.links.sockets import has_message
from sardinestair.links.timing import LinkTiming

__all__ = ["LinkLoop", "LoopOwner"]

RECONNECT_DELAY_S = 0.1
# Longest time between two checks of the links while no task depends on them.
IDLE_TICK_S = 0.2


class LoopOwner(LinkOwner, Protocol):
    """Interface through which the loop calls its entry.

    Attributes:
        ready_links: Links to be served soon; threads only append to it.
    """

    ready_links: deque[EntryLink]


class _Connection(msgspec.Struct, eq=False):
    """The connection of one link.

    Attributes:
        link: The link.
        socket: Its socket, or None while it is disconnected.
        descriptor: The descriptor that signals events of the socket.
        reopen_s: When it is connected next, if it is disconnected.
    """

    link: EntryLink
    socket: zmq.Socket | None = None
    descriptor: int = -1
    reopen_s: float = 0.0


class LinkLoop:
    """Connects links, receives and sends their frames, and reconnects them.

    Its methods are called in one thread, that of the event loop.

    Args:
        owner: The entry.
        clock: The clock.
        timing: Timeouts of the links.

    Attributes:
        handle: Calls `run_once` when there is work; None before `start`.
        connections: Connections of the links that are served, by link.
        connections_by_descriptor: Those that are connected.
        unread: Descriptors of sockets with messages that are not signalled,
            as sending has consumed the signal.
        last_tick_s: When the links were last checked.
        is_awaiting: True if a task depends on the next frame of a link.
    """

    def __init__(self, owner: LoopOwner, clock: Clock, timing: LinkTiming):
        self.owner = owner
        self.clock = clock
        self.timing = timing
        self.handle: LoopHandle | None = None
        self.added: deque[EntryLink] = deque()
        self.connections: dict[EntryLink, _Connection] = {}
        self.connections_by_descriptor: dict[int, _Connection] = {}
        self.unread: set[int] = set()
        self.last_tick_s = 0.0
        self.is_awaiting = False

    def start(self, handle: LoopHandle) -> None:
        """Starts to serve links.

        Args:
            handle: Calls `run_once`.
        """
        self.handle = handle
        self.wake()

    def add(self, link: EntryLink) -> None:
        """Serves a link until it is closed and its tasks have ended."""
        self.added.append(link)
        self.wake()

    def wake(self) -> None:
        """Makes the loop serve the links that are ready; thread-safe."""
        if self.handle is not None:
            self.handle.wake()

    def close(self) -> None:
        """Disconnects all links."""
        for connection in self.connections.values():
            self._disconnect(connection)

    def run_once(self) -> float:
        """Handles received frames, ready links and expired timeouts.

        Returns:
            The time until it is due again, in seconds.
        """
        assert self.handle is not None
        self.owner.link_usage.wakeups += 1
        while self.added:
            link = self.added.popleft()
            self.connections[link] = _Connection(link)
            self._connect(self.connections[link])
        descriptors = self.unread | self.handle.take_readable()
        self.unread = set()
        self._serve(self._receive(descriptors) | self._take_ready())
        now_s = self.clock.monotonic()
        if now_s >= self.last_tick_s + self._tick_interval_s():
            self.last_tick_s = now_s
            self._tick(now_s)
        if self.owner.ready_links or self.unread:
            self.handle.wake()
        return self.last_tick_s + self._tick_interval_s() - now_s

    def _tick_interval_s(self) -> float:
        return self.timing.tick_s if self.is_awaiting else IDLE_TICK_S

    def _receive(self, descriptors: set[int]) -> set[EntryLink]:
        """Handles received frames; returns the links of their connections."""
        received: set[EntryLink] = set()
        with self.owner.lock:
            for descriptor in descriptors:
                connection = self.connections_by_descriptor.get(descriptor)
                if connection is None or connection.socket is None:
                    continue
                received.add(connection.link)
                if not connection.link.receive(connection.socket):
                    self._disconnect(connection)
            if received:
                self.owner.place_waiting()
        return received

    def _take_ready(self) -> set[EntryLink]:
        ready: set[EntryLink] = set()
        while self.owner.ready_links:
            link = self.owner.ready_links.popleft()
            link.is_ready = False
            ready.add(link)
        return ready

    def _serve(self, links: set[EntryLink]) -> None:
        """Sends what is due on links, and disconnects those that failed."""
        for link in links:
            connection = self.connections.get(link)
            if connection is None:
                continue
            self.is_awaiting |= link.awaits_frames
            if link.state is LinkState.CLOSED:
                self._retire(connection)
            elif connection.socket is not None:
                sent_before = link.frames_sent
                if link.is_silent() or not link.flush(connection.socket):
                    self._disconnect(connection)
                elif link.frames_sent > sent_before and has_message(
                    connection.socket
                ):
                    self.unread.add(connection.descriptor)

    def _tick(self, now_s: float) -> None:
        self.is_awaiting = any(link.awaits_frames for link in self.connections)
        due: set[EntryLink] = set()
        for connection in list(self.connections.values()):
            link = connection.link
            if link.state is LinkState.CLOSED:
                due.add(link)
            elif connection.socket is None:
                if connection.reopen_s <= now_s:
                    self._connect(connection)
            elif link.next_due_s <= now_s:
                due.add(link)
        self._serve(due)

    def _connect(self, connection: _Connection) -> None:
        link = connection.link
        if link.state is LinkState.CLOSED:
            return
        socket = link.context.socket(zmq.DEALER)
        link.open_epoch(socket)
        connection.socket = socket
        connection.descriptor = int(socket.get(zmq.FD))
        self.connections_by_descriptor[connection.descriptor] = connection
        if self.handle is not None:
            self.handle.add(connection.descriptor)
        link.notify()

    def _disconnect(self, connection: _Connection) -> None:
        socket, connection.socket = connection.socket, None
        if socket is None:
            return
        if self.handle is not None:
            self.handle.remove(connection.descriptor)
        del self.connections_by_descriptor[connection.descriptor]
        socket.close(linger=0)
        connection.reopen_s = self.clock.monotonic() + RECONNECT_DELAY_S

    def _retire(self, connection: _Connection) -> None:
        """Disconnects a closed link; drops it once its tasks have ended."""
        self._disconnect(connection)
        if connection.link.is_settled():
            del self.connections[connection.link]
            connection.link.log.info("link_closed", epoch=connection.link.epoch)
