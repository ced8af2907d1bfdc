"""One connection of an HTTP server: order of responses, and its limits.

A connection without a request costs a few hundred bytes: its reader exists
only while a request is read, and one timer of the server checks the time
limits of all connections. Only one request is read at a time; what a peer
sends ahead is kept unparsed, up to a limit.
"""

import asyncio
import select
from collections.abc import Callable, Iterator
from http import HTTPStatus
from typing import TYPE_CHECKING, cast

from sardinestair.web.charged import ChargedConnection, ConnectionState
from sardinestair.web.eviction import is_too_slow
from sardinestair.web.limits import (
    MAX_AHEAD_BYTES,
    MAX_DISCARDED_BYTES,
    MAX_UNREAD_BYTES,
)
from sardinestair.web.memory import Cause
from sardinestair.web.messages import Response, encode_head, status_response
from sardinestair.web.reader import RequestReader

if TYPE_CHECKING:
    from sardinestair.web.server import HttpServer

__all__ = ["ConnectionState", "HttpConnection"]

# How long data is read and dropped after a refusal that ends a connection.
# Closing it with unread data would reset it, and could destroy the response.
DISCARD_S = 2.0
WRITE_POLL_INTERVAL_S = 0.05
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
END_OF_CHUNKS = b"0\r\n\r\n"
RETRY_AFTER_S = "1"
# Smaller bodies are not charged while their request is handled.
MIN_CHARGED_BYTES = 4096
# A body that is handled exists about this often: as received, as decoded, and
# as what is sent on.
HANDLED_COPIES = 3


class HttpConnection(ChargedConnection):
    """Reads requests from one caller, and writes the responses in order.

    Args:
        server: The server.

    Attributes:
        deadline_s: When the current state has lasted too long, on the loop's
            clock; infinite while a request is handled.
    """

    __slots__ = (
        "deadline_s",
        "discarded_bytes",
        "disconnect_callback",
        "is_half_closed",
        "is_response_unread",
    )

    def __init__(self, server: "HttpServer"):
        super().__init__(server)
        self.disconnect_callback: Callable[[], object] | None = None
        self.is_half_closed = False
        # True if the next request waits for the last response to be read.
        self.is_response_unread = False
        self.discarded_bytes = 0
        self.deadline_s = 0.0

    # The interface of `Connection`, for request handlers.

    @property
    def remote_port(self) -> int:
        """Port of the caller."""
        assert self.transport is not None
        return self.transport.get_extra_info("peername")[1]

    def has_left(self) -> bool:
        """Returns True if the caller has closed the connection."""
        if self.is_half_closed or self.state is ConnectionState.CLOSED:
            return True
        assert self.transport is not None
        if self.transport.is_closing():
            return True
        # The end of the stream may be waiting to be read.
        poller = select.poll()
        poller.register(
            self.transport.get_extra_info("socket").fileno(), select.POLLRDHUP
        )
        return bool(poller.poll(0))

    def on_disconnect(self, callback: Callable[[], object] | None) -> None:
        """Sets what is called once if the caller closes the connection."""
        self.disconnect_callback = callback
        if self.is_half_closed or self.state is ConnectionState.CLOSED:
            self._report_disconnect()

    # Called by the event loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Registers the connection with the server."""
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(MAX_UNREAD_BYTES)
        self._enter_idle()
        self.server.add_connection(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Forgets the connection."""
        self.state = ConnectionState.CLOSED
        if self.reader is not None:
            self.reader.release()
            self.reader = None
        self.unparsed = b""
        self.server.remove_connection(self)
        self._report_disconnect()

    def eof_received(self) -> bool:
        """Notes that the caller sends no more; it may still read."""
        self.is_half_closed = True
        self._report_disconnect()
        return self.has_requests()

    def pause_writing(self) -> None:
        """Notes that the caller does not read its responses."""
        self.write_blocked_s = self.progressed_s = self.server.now_s()
        self._charge()

    def resume_writing(self) -> None:
        """Notes that the caller reads again."""
        self.write_blocked_s = None
        self._charge()
        if self.is_response_unread:
            self.is_response_unread = False
            self._read_next()

    def data_received(self, data: bytes) -> None:
        """Reads a request, or keeps data that was sent ahead."""
        if self.must_close:
            self._discard(len(data))
        elif self.unparsed or self.state is ConnectionState.RESPONDING:
            self._keep_ahead(self.unparsed[self.unparsed_from :] + data, 0)
        else:
            if self.state is ConnectionState.IDLE:
                self._enter_reading()
            self._read(data, 0)

    # Called by the server.

    def has_requests(self) -> bool:
        """Returns True if requests are handled, or may have been sent ahead."""
        is_responding = self.state is ConnectionState.RESPONDING
        return is_responding or bool(self.unparsed)

    def take_turn(self) -> None:
        """Reads from data that was kept, or drops more data."""
        assert self.transport is not None
        if self.transport.is_closing():
            return
        if self.must_close:
            self._resume_reading()
        if self.state is not ConnectionState.READING:
            return
        data, position = self.unparsed, self.unparsed_from
        self.unparsed, self.unparsed_from = b"", 0
        self._read(data, position)
        if len(self.unparsed) - self.unparsed_from <= MAX_AHEAD_BYTES:
            self._resume_reading()
        is_incomplete = self.state is ConnectionState.READING
        if self.is_half_closed and is_incomplete and not self.unparsed:
            self.close()

    def check_time(self, now_s: float) -> None:
        """Ends the connection if it has exceeded a time limit."""
        assert self.transport is not None
        if self.held_bytes or self.transport.get_write_buffer_size():
            self._charge()
        if self.is_reading_paused and self.has_left():
            # The loop reports no end of a connection that it doesn't read.
            self._report_disconnect()
        blocked_s = self.write_blocked_s
        limit_s = self.server.limits.response_timeout_s
        if blocked_s is not None and now_s - blocked_s > limit_s:
            self.share.report(Cause.UNREAD)
            self.transport.abort()
        elif self.transport.is_closing():
            if now_s >= self.deadline_s:
                # The caller does not read its last response.
                self.transport.abort()
        elif self.state is ConnectionState.READING:
            if now_s >= self.deadline_s or self._is_too_slow(now_s):
                response = status_response(HTTPStatus.REQUEST_TIMEOUT)
                self._refuse(Cause.SLOW, response)
        elif now_s >= self.deadline_s:
            self.close()

    def close(self) -> None:
        """Closes the connection after what has been written is sent."""
        assert self.transport is not None
        limit_s = self.server.limits.response_timeout_s
        self.deadline_s = self.server.now_s() + limit_s
        self.transport.close()

    def abort(self) -> None:
        """Closes the connection at once."""
        if self.transport is not None:
            self.transport.abort()

    # The interface of `Holder`, for the account.

    def evict(self, cause: Cause) -> None:
        """Releases what is held besides the request that is handled.

        An incomplete request is refused. Requests sent ahead of the response
        to the one that is handled are dropped, and this response announces
        the end of the connection.
        """
        assert self.transport is not None
        is_unread = self.write_blocked_s is not None
        if is_unread or self.transport.is_closing():
            self.abort()
        elif self.state is ConnectionState.READING:
            response = status_response(HTTPStatus.SERVICE_UNAVAILABLE)
            response.headers["Retry-After"] = RETRY_AFTER_S
            self._write_refusal(response)
            if cause is Cause.CONNECTIONS:
                # Its descriptor is needed at once.
                self.close()
        elif self.state is ConnectionState.RESPONDING:
            self._drop_ahead()
            self._charge()
        elif self.state is ConnectionState.DISCARDING:
            self.abort()
        else:
            self.close()

    # Internals.

    def _enter_idle(self) -> None:
        self.state = ConnectionState.IDLE
        self.since_s = self.progressed_s = self.server.now_s()
        self.deadline_s = self.since_s + self.server.limits.idle_timeout_s
        self.share.note_use(self)

    def _enter_reading(self) -> None:
        self.state = ConnectionState.READING
        self.since_s = self.progressed_s = self.server.now_s()
        self.deadline_s = self.since_s + self.server.limits.request_timeout_s

    def _report_disconnect(self) -> None:
        callback, self.disconnect_callback = self.disconnect_callback, None
        if callback is not None:
            callback()

    def _is_too_slow(self, now_s: float) -> bool:
        reader = self.reader
        if reader is None or not reader.body_left:
            return False
        return is_too_slow(
            reader.body_size,
            reader.body_size + reader.body_left,
            now_s - self.since_s,
            self.server.limits.request_timeout_s,
        )

    def _read(self, data: bytes, position: int) -> None:
        """Reads a request from data; `position` is where its rest begins."""
        reader = self.reader
        if reader is None:
            reader = self.reader = RequestReader(self.server.app, self)
        position = reader.feed(data, position)
        if reader.refusal is not None:
            self._refuse(*reader.refusal)
        elif reader.is_complete:
            self._handle(reader, data, position)
        else:
            if reader.expects_continue and self.transport is not None:
                reader.expects_continue = False
                self.transport.write(CONTINUE)
            self.progressed_s = self.server.now_s()
            if position < len(data):
                self._keep_ahead(data, position)
                self.server.turns.add(self)
            else:
                self._charge()

    def _handle(
        self, reader: RequestReader, data: bytes, position: int
    ) -> None:
        """Starts the response to a complete request."""
        if reader.body_size >= MIN_CHARGED_BYTES:
            self.handled_bytes = HANDLED_COPIES * reader.body_size
            self.share.charge(self, self.handled_bytes)
            if self.state is not ConnectionState.READING:
                # It was refused for want of memory.
                return
        elif self.held_bytes:
            self.share.charge(self, 0)
        self.reader = None
        self.state = ConnectionState.RESPONDING
        self.deadline_s = float("inf")
        self.must_close = reader.is_upgrade
        if position < len(data) and not self.must_close:
            self._keep_ahead(data, position)
        self.server.app.active_requests += 1
        self.server.spawn(self._respond(reader))

    def _discard(self, count: int) -> None:
        """Drops data, a part in each turn."""
        assert self.transport is not None
        self.discarded_bytes += count
        if self.discarded_bytes > MAX_DISCARDED_BYTES:
            self.abort()
        elif not self.is_reading_paused and not self.transport.is_closing():
            self.is_reading_paused = True
            self.transport.pause_reading()
            self.server.turns.add(self)

    async def _respond(self, reader: RequestReader) -> None:
        server = self.server
        assert reader.request is not None
        keep_alive = reader.keep_alive
        try:
            response = await server.app.respond(
                reader.request, server.run_blocking, reader.found
            )
            self.disconnect_callback = None
            keep_alive &= not self._should_close()
            if self.state is ConnectionState.RESPONDING:
                await self._write(response, reader.is_head, keep_alive)
        finally:
            server.app.active_requests -= 1
            self.handled_bytes = 0
            if self.state is ConnectionState.CLOSED:
                self.share.charge(self, 0)
        if self.state is ConnectionState.RESPONDING:
            self._finish_response(keep_alive)

    def _should_close(self) -> bool:
        if self.must_close:
            return True
        is_last = not self.unparsed
        return is_last and (self.is_half_closed or self.server.app.is_closing)

    async def _write(
        self, response: Response, is_head: bool, keep_alive: bool
    ) -> None:
        assert self.transport is not None
        body = response.body
        if isinstance(body, bytes):
            head = encode_head(response, len(body), keep_alive)
            self.transport.write(head if is_head else head + body)
            return
        self.transport.write(encode_head(response, None, keep_alive))
        await self._write_chunks(body)

    async def _write_chunks(self, chunks: Iterator[bytes]) -> None:
        assert self.transport is not None
        while self.state is ConnectionState.RESPONDING:
            if self.write_blocked_s is not None:
                await asyncio.sleep(WRITE_POLL_INTERVAL_S)
                continue
            chunk = await self.server.run_blocking(next, chunks, None)
            if chunk is None:
                self.transport.write(END_OF_CHUNKS)
                return
            if chunk:
                size = f"{len(chunk):x}\r\n".encode()
                self.transport.write(size + chunk + b"\r\n")

    def _finish_response(self, keep_alive: bool) -> None:
        if self.held_bytes:
            self._charge()
        if self.must_close:
            self._enter_discarding()
        elif not keep_alive:
            self.close()
        elif self.write_blocked_s is not None:
            self.is_response_unread = True
        else:
            self._read_next()

    def _read_next(self) -> None:
        """Reads the next request, of which a part may have arrived."""
        if self.unparsed and self._has_begun():
            self._enter_reading()
            self.server.turns.add(self)
        else:
            self._enter_idle()

    def _has_begun(self) -> bool:
        """Returns True if a request has been sent ahead, not only its end."""
        # Some clients send an empty line after a body.
        if self.unparsed[self.unparsed_from :].strip(b"\r\n"):
            return True
        self.unparsed, self.unparsed_from = b"", 0
        return False

    def _refuse(self, cause: Cause, response: Response) -> None:
        """Answers a request that can't be read on, and ends the connection."""
        self.share.report(cause)
        self._write_refusal(response)

    def _write_refusal(self, response: Response) -> None:
        assert self.transport is not None and isinstance(response.body, bytes)
        if self.reader is not None:
            self.reader.release()
            self.reader = None
        self._drop_ahead()
        self.handled_bytes = 0
        head = encode_head(response, len(response.body), keep_alive=False)
        self.transport.write(head + response.body)
        self._enter_discarding()
        self.share.charge(self, 0)

    def _enter_discarding(self) -> None:
        assert self.transport is not None
        self.state = ConnectionState.DISCARDING
        self.since_s = self.server.now_s()
        self.deadline_s = self.since_s + DISCARD_S
        if self.transport.can_write_eof():
            self.transport.write_eof()
