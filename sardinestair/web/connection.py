"""One connection of an HTTP server: parsing, order of responses, time limits.

A connection without a request costs a few hundred bytes: its parser exists
only while a request is read or answered, and one timer of the server checks
the time limits of all connections.
"""

import asyncio
import email.utils
import enum
import select
from collections import deque
from collections.abc import Callable, Iterator
from http import HTTPStatus
from typing import TYPE_CHECKING, cast

import httptools

from sardinestair.web.messages import (
    Headers,
    Request,
    Response,
    status_response,
)

if TYPE_CHECKING:
    from sardinestair.web.server import HttpServer

__all__ = ["ConnectionState", "HttpConnection"]

MAX_HEADER_BYTES = 32 << 10
# Requests that a caller may send ahead of the responses on one connection.
MAX_QUEUED_REQUESTS = 16
# How long data is read and dropped after a refusal that ends a connection.
# Closing it with unread data would reset it, and could destroy the response.
DISCARD_S = 2.0
WRITE_POLL_INTERVAL_S = 0.05
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
END_OF_CHUNKS = b"0\r\n\r\n"


class ConnectionState(enum.Enum):
    """What a connection does.

    IDLE: no byte of a request has arrived since the last response.
    READING: a part of a request has arrived.
    RESPONDING: a request is handled; further ones wait.
    DISCARDING: the last response has been written; data is read and dropped.
    CLOSED: the connection is gone.
    """

    IDLE = "idle"
    READING = "reading"
    RESPONDING = "responding"
    DISCARDING = "discarding"
    CLOSED = "closed"


class HttpConnection(asyncio.Protocol):
    """Reads requests from one caller, and writes the responses in order.

    Args:
        server: The server.

    Attributes:
        state: What the connection does.
        deadline_s: When the current state has lasted too long, on the loop's
            clock; infinite while a request is handled.
        refusal: Answer to data that can't be parsed, sent after the responses
            to the requests before it.
        must_close: True if the connection can't be kept for another request.
    """

    __slots__ = (
        "body",
        "body_size",
        "deadline_s",
        "disconnect_callback",
        "fields",
        "header_size",
        "is_half_closed",
        "is_message_begun",
        "is_refused",
        "must_close",
        "parser",
        "queued",
        "refusal",
        "server",
        "state",
        "target",
        "transport",
        "write_blocked_s",
    )

    def __init__(self, server: "HttpServer"):
        self.server = server
        self.state = ConnectionState.IDLE
        self.transport: asyncio.Transport | None = None
        self.parser: httptools.HttpRequestParser | None = None
        self.queued: deque[tuple[Request, bool, bool]] | None = None
        self.disconnect_callback: Callable[[], object] | None = None
        self.refusal: Response | None = None
        self.is_half_closed = False
        self.is_refused = False
        self.must_close = False
        self.write_blocked_s: float | None = None
        self.deadline_s = 0.0
        self._reset_message()

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
        self._enter_idle()
        self.server.add_connection(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Forgets the connection."""
        self.state = ConnectionState.CLOSED
        self.parser = None
        self.queued = None
        self.server.remove_connection(self)
        self._report_disconnect()

    def eof_received(self) -> bool:
        """Notes that the caller sends no more; it may still read."""
        self.is_half_closed = True
        self._report_disconnect()
        return self.state is ConnectionState.RESPONDING

    def pause_writing(self) -> None:
        """Notes that the caller does not read its responses."""
        self.write_blocked_s = self.server.now_s()

    def resume_writing(self) -> None:
        """Notes that the caller reads again."""
        self.write_blocked_s = None

    def data_received(self, data: bytes) -> None:
        """Parses received data."""
        if self.is_refused or self.must_close:
            return
        if self.state is ConnectionState.IDLE:
            self._enter_reading()
        if self.parser is None:
            self.parser = httptools.HttpRequestParser(self)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # The request is answered as usual; what follows is not HTTP.
            self.must_close = True
        except httptools.HttpParserError:
            if not self.is_refused:
                self._refuse(status_response(HTTPStatus.BAD_REQUEST))

    # Called by the parser.

    def on_message_begin(self) -> None:
        """Prepares for the next request."""
        self._reset_message()
        self.is_message_begun = True

    def on_url(self, url: bytes) -> None:
        """Collects the request target."""
        self.target += url
        self._count_header_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collects a header field."""
        self.fields.append((name, value))
        self._count_header_bytes(len(name) + len(value))

    def on_headers_complete(self) -> None:
        """Answers `Expect: 100-continue`, and refuses a body over the limit."""
        if self.is_refused:
            return
        for name, value in self.fields:
            if name.lower() == b"content-length":
                if int(value) > self.server.app.max_body_bytes:
                    self._refuse(self.server.app.body_too_large())
            elif name.lower() == b"expect" and self.transport is not None:
                self.transport.write(CONTINUE)

    def on_body(self, body: bytes) -> None:
        """Collects a part of the body."""
        if self.is_refused:
            return
        self.body.append(body)
        self.body_size += len(body)
        if self.body_size > self.server.app.max_body_bytes:
            self._refuse(self.server.app.body_too_large())

    def on_message_complete(self) -> None:
        """Handles a complete request, or queues it behind earlier ones."""
        if self.is_refused:
            return
        assert self.parser is not None and self.transport is not None
        try:
            request = self._make_request()
        except ValueError:
            self._refuse(status_response(HTTPStatus.BAD_REQUEST))
            return
        is_head = self.parser.get_method() == b"HEAD"
        keep_alive = self.parser.should_keep_alive()
        self._reset_message()
        if self.state is not ConnectionState.RESPONDING:
            self._start_response(request, is_head, keep_alive)
            return
        if self.queued is None:
            self.queued = deque()
        self.queued.append((request, is_head, keep_alive))
        if len(self.queued) >= MAX_QUEUED_REQUESTS:
            self.transport.pause_reading()

    # Called by the server.

    def check_time(self, now_s: float) -> None:
        """Ends the connection if it has exceeded a time limit."""
        assert self.transport is not None
        blocked_s = self.write_blocked_s
        limit_s = self.server.limits.response_timeout_s
        if blocked_s is not None and now_s - blocked_s > limit_s:
            self.transport.abort()
        elif now_s < self.deadline_s:
            return
        elif self.transport.is_closing():
            # The caller does not read its last response.
            self.transport.abort()
        elif self.state is ConnectionState.READING:
            self._refuse(status_response(HTTPStatus.REQUEST_TIMEOUT))
        else:
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

    # Internals.

    def _reset_message(self) -> None:
        self.target = b""
        self.fields: list[tuple[bytes, bytes]] = []
        self.header_size = 0
        self.body: list[bytes] = []
        self.body_size = 0
        self.is_message_begun = False

    def _enter_idle(self) -> None:
        self.state = ConnectionState.IDLE
        self.parser = None
        limit_s = self.server.limits.idle_timeout_s
        self.deadline_s = self.server.now_s() + limit_s

    def _enter_reading(self) -> None:
        self.state = ConnectionState.READING
        limit_s = self.server.limits.request_timeout_s
        self.deadline_s = self.server.now_s() + limit_s

    def _report_disconnect(self) -> None:
        callback, self.disconnect_callback = self.disconnect_callback, None
        if callback is not None:
            callback()

    def _count_header_bytes(self, count: int) -> None:
        self.header_size += count
        if self.header_size > MAX_HEADER_BYTES and not self.is_refused:
            self._refuse(
                status_response(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
            )

    def _make_request(self) -> Request:
        assert self.parser is not None
        headers = Headers(
            (name.decode("latin-1").lower(), value.decode("latin-1"))
            for name, value in self.fields
        )
        method = self.parser.get_method().decode("latin-1")
        return Request(
            "GET" if method == "HEAD" else method,
            self.target.decode("latin-1"),
            headers,
            b"".join(self.body),
            self,
        )

    def _start_response(
        self, request: Request, is_head: bool, keep_alive: bool
    ) -> None:
        self.state = ConnectionState.RESPONDING
        self.deadline_s = float("inf")
        self.server.app.active_requests += 1
        self.server.spawn(self._respond(request, is_head, keep_alive))

    async def _respond(
        self, request: Request, is_head: bool, keep_alive: bool
    ) -> None:
        server = self.server
        try:
            response = await server.app.respond(request, server.run_blocking)
            self.disconnect_callback = None
            is_last = not self.queued and self.refusal is None
            keep_alive &= not (is_last and self._should_close())
            if self.state is ConnectionState.RESPONDING:
                await self._write(response, is_head, keep_alive)
        finally:
            server.app.active_requests -= 1
        if self.state is ConnectionState.RESPONDING:
            self._finish_response(keep_alive)

    def _should_close(self) -> bool:
        return (
            self.is_half_closed or self.must_close or self.server.app.is_closing
        )

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
        assert self.transport is not None
        if not keep_alive:
            self.close()
        elif self.queued:
            self.transport.resume_reading()
            self._start_response(*self.queued.popleft())
        elif self.refusal is not None:
            self._write_refusal(self.refusal)
        elif self.is_message_begun:
            # A part of the next request has arrived during the response.
            self._enter_reading()
        else:
            self._enter_idle()
            self.server.mark_idle(self)

    def _refuse(self, response: Response) -> None:
        """Answers a request that can't be read on, and ends the connection."""
        self.is_refused = True
        if self.state is ConnectionState.RESPONDING:
            self.refusal = response
        else:
            self._write_refusal(response)

    def _write_refusal(self, response: Response) -> None:
        assert self.transport is not None and isinstance(response.body, bytes)
        self.state = ConnectionState.DISCARDING
        self.deadline_s = self.server.now_s() + DISCARD_S
        head = encode_head(response, len(response.body), keep_alive=False)
        self.transport.write(head + response.body)
        if self.transport.can_write_eof():
            self.transport.write_eof()


def encode_head(
    response: Response, body_size: int | None, keep_alive: bool
) -> bytes:
    """Returns the status line and the header fields of a response.

    Args:
        response: The response.
        body_size: Size of the body, or None to send it in chunks.
        keep_alive: False to announce that the connection will be closed.
    """
    try:
        phrase = HTTPStatus(response.status).phrase
    except ValueError:
        phrase = "Unknown"
    lines = [f"HTTP/1.1 {response.status} {phrase}"]
    lines += [f"{name}: {value}" for name, value in response.headers.items()]
    lines.append(f"Date: {email.utils.formatdate(usegmt=True)}")
    if body_size is None:
        lines.append("Transfer-Encoding: chunked")
    else:
        lines.append(f"Content-Length: {body_size}")
    if not keep_alive:
        lines.append("Connection: close")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")
