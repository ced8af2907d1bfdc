"""What a connection of an HTTP server holds, and its account."""

import asyncio
import enum
import fcntl
import struct
import termios
from typing import TYPE_CHECKING, Self

from sardinestair.web.eviction import Activity, Holding
from sardinestair.web.limits import MAX_AHEAD_BYTES
from sardinestair.web.memory import Cause, MemoryShare
from sardinestair.web.reader import RequestReader

if TYPE_CHECKING:
    from sardinestair.web.server import HttpServer

__all__ = ["ChargedConnection", "ConnectionState"]


class ConnectionState(enum.Enum):
    """What a connection does.

    IDLE: no byte of a request has arrived since the last response.
    READING: a part of a request has arrived.
    RESPONDING: a request is handled, or its response has to be read before
        the next request is handled.
    DISCARDING: the last response has been written; data is read and dropped.
    CLOSED: the connection is gone.
    """

    IDLE = "idle"
    READING = "reading"
    RESPONDING = "responding"
    DISCARDING = "discarding"
    CLOSED = "closed"


_ACTIVITIES = {
    ConnectionState.IDLE: Activity.IDLE,
    ConnectionState.READING: Activity.READING,
    ConnectionState.RESPONDING: Activity.RUNNING,
    ConnectionState.DISCARDING: Activity.ENDING,
    ConnectionState.CLOSED: Activity.ENDING,
}


class ChargedConnection(asyncio.Protocol):
    """A connection whose memory is charged to its server's share.

    Args:
        server: The server.

    Attributes:
        state: What the connection does.
        since_s: When the last request began, or the connection became idle.
        progressed_s: When data of a request last arrived, or a part of an
            unread response was read.
        write_blocked_s: Since when the caller has left a response unread, or
            None.
        must_close: True if no further request is read.
        held_bytes: Memory that is charged for the connection.
        handled_bytes: The part of it for the request that is handled.
        unparsed: Data sent ahead; what comes before `unparsed_from` has been
            read.
    """

    __slots__ = (
        "handled_bytes",
        "held_bytes",
        "is_reading_paused",
        "must_close",
        "progressed_s",
        "reader",
        "server",
        "share",
        "since_s",
        "state",
        "transport",
        "unparsed",
        "unparsed_from",
        "unread_bytes",
        "write_blocked_s",
    )

    def __init__(self, server: "HttpServer"):
        self.server = server
        self.share: MemoryShare = server.share
        self.state = ConnectionState.IDLE
        self.transport: asyncio.Transport | None = None
        self.reader: RequestReader | None = None
        self.unparsed = b""
        self.unparsed_from = 0
        self.is_reading_paused = False
        self.must_close = False
        self.write_blocked_s: float | None = None
        self.held_bytes = 0
        self.handled_bytes = 0
        self.unread_bytes = 0
        self.since_s = self.progressed_s = 0.0

    def holding(self) -> Holding[Self]:
        """Returns what the connection holds, and how it progresses."""
        assert self.transport is not None
        activity = _ACTIVITIES[self.state]
        if self.write_blocked_s is not None:
            activity = Activity.BLOCKED
        elif self.transport.is_closing():
            activity = Activity.ENDING
        is_reading = self.state is ConnectionState.READING
        kept_bytes = 0 if is_reading else self.handled_bytes
        peer = self.transport.get_extra_info("peername")
        return Holding(
            self,
            activity,
            self.held_bytes - kept_bytes,
            self.reader.received_bytes if self.reader is not None else 0,
            self.since_s,
            self.progressed_s,
            peer[0] if peer else "",
        )

    def evict(self, cause: Cause) -> None:
        """Releases what it holds, ending the request or the connection."""
        raise NotImplementedError

    def _charge(self) -> None:
        """Charges what the connection holds; it may be evicted."""
        if self.state is ConnectionState.CLOSED:
            return
        assert self.transport is not None
        unread_bytes = self.transport.get_write_buffer_size()
        if unread_bytes < self.unread_bytes:
            self.progressed_s = self.server.now_s()
        self.unread_bytes = unread_bytes
        held_bytes = self.handled_bytes + unread_bytes + len(self.unparsed)
        if self.reader is not None:
            held_bytes += self.reader.held_bytes
        if self.is_reading_paused:
            held_bytes += count_received(self.transport)
        self.share.charge(self, held_bytes)

    def _keep_ahead(self, data: bytes, position: int) -> None:
        """Keeps data that was sent ahead; pauses reading at the limit."""
        assert self.transport is not None
        self.unparsed, self.unparsed_from = data, position
        is_over = len(data) - position > MAX_AHEAD_BYTES
        if is_over and not self.is_reading_paused:
            self.is_reading_paused = True
            self.transport.pause_reading()
        self._charge()

    def _drop_ahead(self) -> None:
        """Drops what was sent ahead, and what follows."""
        self.must_close = True
        self.unparsed, self.unparsed_from = b"", 0
        self._resume_reading()

    def _resume_reading(self) -> None:
        if self.is_reading_paused:
            assert self.transport is not None
            self.is_reading_paused = False
            self.transport.resume_reading()


def count_received(transport: asyncio.Transport) -> int:
    """Returns the size of the data that has arrived and was not read."""
    descriptor = transport.get_extra_info("socket").fileno()
    try:
        answer = fcntl.ioctl(descriptor, termios.FIONREAD, bytes(4))
    except OSError:
        # Not available in every environment.
        return 0
    return struct.unpack("i", answer)[0]
