"""HTTP client in an event loop that sends each request at most once.

`Transfer` is its counterpart for threads that may block.
"""

import asyncio
import select
from collections.abc import Callable
from typing import cast

import httptools

from sardinestair.limits.connections import ConnectionLimit
from sardinestair.transfer import (
    CONNECT_TIMEOUT_MS,
    MAX_IDLE_S,
    MAX_REPLY_BYTES,
    Reply,
    TransferFailure,
)

__all__ = ["WITHDRAWN", "AsyncTransfer", "TransferPool"]

CONNECT_TIMEOUT_S = CONNECT_TIMEOUT_MS / 1000
_LENGTH_FIELDS = frozenset({b"content-length", b"transfer-encoding"})

WITHDRAWN = TransferFailure("the request was withdrawn", was_sent=False)
"""Result of a request that `may_send` has stopped."""


class AsyncTransfer:
    """A reusable connection that sends each request at most once.

    A request is written to a connection once; whatever happens afterwards, it
    is not written again. Only one request may be in progress at a time.

    Args:
        host: IP address of the server.
        port: Port of the server.
        max_reply_bytes: Maximum size of a response body.
        max_idle_s: Time for which an idle connection is kept, in seconds. If
            the server closes it earlier, the next request may fail.

    Attributes:
        connection: The current connection; None before the first request.
    """

    def __init__(
        self,
        host: str,
        port: int,
        max_reply_bytes: int = MAX_REPLY_BYTES,
        max_idle_s: float = MAX_IDLE_S,
    ):
        self.host = host
        self.port = port
        self.max_reply_bytes = max_reply_bytes
        self.max_idle_s = max_idle_s
        self.connection: _ClientConnection | None = None

    async def perform(
        self,
        method: str,
        target: str,
        body: bytes,
        timeout_s: float,
        headers: str = "",
        may_send: Callable[[], bool] | None = None,
    ) -> Reply | TransferFailure:
        """Sends one request and waits for the response.

        Args:
            method: The HTTP method.
            target: Path and query.
            body: The request body.
            timeout_s: Timeout of the whole transfer, in seconds.
            headers: Header lines, each with its line end.
            may_send: Called immediately before the request is written; returns
                False to withdraw it.

        Returns:
            The response, or the failure.
        """
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + timeout_s
        connection = self._take_connection(loop.time())
        if connection is None:
            connected = await self._connect(min(timeout_s, CONNECT_TIMEOUT_S))
            if isinstance(connected, TransferFailure):
                return connected
            connection = connected
        self.connection = connection
        if may_send is not None and not may_send():
            return WITHDRAWN
        head = (
            f"{method} {target} HTTP/1.1\r\nHost: {self.host}:{self.port}\r\n"
            f"{headers}Content-Length: {len(body)}\r\n\r\n"
        )
        reply = connection.send(head.encode("latin-1") + body)
        timer = loop.call_at(deadline_s, connection.fail, "timed out")
        try:
            return await reply
        except asyncio.CancelledError:
            connection.fail("cancelled")
            raise
        finally:
            timer.cancel()

    def close(self) -> None:
        """Closes the connection."""
        if self.connection is not None:
            self.connection.fail("closed")
            self.connection = None

    def _take_connection(self, now_s: float) -> "_ClientConnection | None":
        connection = self.connection
        if connection is None:
            return None
        if now_s - connection.idle_since_s > self.max_idle_s:
            connection.fail("idle for too long")
        return connection if connection.is_reusable() else None

    async def _connect(
        self, timeout_s: float
    ) -> "_ClientConnection | TransferFailure":
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(timeout_s):
                _, connection = await loop.create_connection(
                    lambda: _ClientConnection(self.max_reply_bytes),
                    self.host,
                    self.port,
                )
        except TimeoutError:
            return TransferFailure("connecting timed out", was_sent=False)
        except OSError as error:
            return TransferFailure(
                str(error),
                was_sent=False,
                is_refused=isinstance(error, ConnectionRefusedError),
            )
        return connection


class TransferPool:
    """Sends requests to one server over a bounded number of connections.

    Further requests wait. Connections are reused last in, first out: servers
    close idle ones, so that the fewest possible are kept busy.

    Args:
        host: IP address of the server.
        port: Port of the server.
        limit: Bounds the requests in progress.
        max_idle_s: See `AsyncTransfer`.

    Attributes:
        idle_transfers: Connections without a request.
        longest_wait_s: Longest wait of a request for a connection since the
            last call of `take_longest_wait_s`, in seconds.
    """

    def __init__(
        self,
        host: str,
        port: int,
        limit: ConnectionLimit,
        max_idle_s: float = MAX_IDLE_S,
    ):
        self.host = host
        self.port = port
        self.limit = limit
        self.max_idle_s = max_idle_s
        self.idle_transfers: list[AsyncTransfer] = []
        self.longest_wait_s = 0.0

    async def perform(
        self,
        method: str,
        target: str,
        body: bytes,
        timeout_s: float,
        headers: str = "",
        may_send: Callable[[], bool] | None = None,
        limit: ConnectionLimit | None = None,
    ) -> Reply | TransferFailure:
        """Sends one request; see `AsyncTransfer.perform`.

        The timeout starts once a connection is free. A `limit` replaces that
        of the pool, so that requests of one kind don't wait for another.
        """
        loop = asyncio.get_running_loop()
        queued_s = loop.time()
        async with limit or self.limit:
            self.longest_wait_s = max(
                self.longest_wait_s, loop.time() - queued_s
            )
            transfer = (
                self.idle_transfers.pop()
                if self.idle_transfers
                else AsyncTransfer(
                    self.host, self.port, max_idle_s=self.max_idle_s
                )
            )
            try:
                return await transfer.perform(
                    method, target, body, timeout_s, headers, may_send
                )
            finally:
                self.idle_transfers.append(transfer)

    def take_longest_wait_s(self) -> float:
        """Returns the longest wait for a connection since the last call."""
        longest_s, self.longest_wait_s = self.longest_wait_s, 0.0
        return longest_s

    def close(self) -> None:
        """Closes the idle connections; requests in progress go on."""
        for transfer in self.idle_transfers:
            transfer.close()


class _ClientConnection(asyncio.Protocol):
    """One connection to a server.

    Args:
        max_reply_bytes: Maximum size of a response body.

    Attributes:
        idle_since_s: When the last response was complete, on the loop's clock.
    """

    def __init__(self, max_reply_bytes: int):
        self.max_reply_bytes = max_reply_bytes
        self.loop = asyncio.get_running_loop()
        self.parser = httptools.HttpResponseParser(self)
        self.transport: asyncio.Transport | None = None
        self.waiter: asyncio.Future[Reply | TransferFailure] | None = None
        self.body = bytearray()
        self.is_usable = True
        # True for a response that ends with the connection.
        self.ends_with_connection = False
        self.idle_since_s = self.loop.time()

    def is_reusable(self) -> bool:
        """Returns True if a further request can be sent."""
        transport = self.transport
        if not self.is_usable or transport is None or transport.is_closing():
            return False
        # The server may have closed the connection since the loop has last
        # polled it.
        poller = select.poll()
        poller.register(
            transport.get_extra_info("socket").fileno(), select.POLLIN
        )
        return not poller.poll(0)

    def send(self, request: bytes) -> asyncio.Future[Reply | TransferFailure]:
        """Writes a request; returns the future of its result."""
        assert self.transport is not None and self.waiter is None
        self.waiter = self.loop.create_future()
        self.transport.write(request)
        return self.waiter

    def fail(self, reason: str) -> None:
        """Gives up the connection, and fails a request in progress."""
        self.is_usable = False
        self._finish(TransferFailure(reason, was_sent=True))
        if self.transport is not None:
            self.transport.abort()

    # Called by the event loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport."""
        self.transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends the response, or fails the request in progress."""
        self.is_usable = False
        if self.ends_with_connection and exc is None:
            self._finish(self._make_reply())
        reason = "the connection was closed" if exc is None else str(exc)
        self._finish(TransferFailure(reason, was_sent=True))

    def data_received(self, data: bytes) -> None:
        """Parses a part of a response."""
        if self.waiter is None:
            self.fail("data without a request")
            return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:
            self.fail(f"invalid response: {error}")

    # Called by the parser.

    def on_message_begin(self) -> None:
        """Assumes that the response ends with the connection."""
        self.body = bytearray()
        self.ends_with_connection = True

    def on_header(self, name: bytes, _value: bytes) -> None:
        """Looks for fields that determine where the response ends."""
        if name.lower() in _LENGTH_FIELDS:
            self.ends_with_connection = False

    def on_body(self, body: bytes) -> None:
        """Collects a part of the body."""
        self.body += body
        if len(self.body) > self.max_reply_bytes:
            self.fail(f"the response exceeds {self.max_reply_bytes} bytes")

    def on_message_complete(self) -> None:
        """Completes the request."""
        self.ends_with_connection = False
        if not self.parser.should_keep_alive():
            self.is_usable = False
        self.idle_since_s = self.loop.time()
        if self.parser.get_status_code() < 200:
            return  # An interim response, such as 100 Continue.
        self._finish(self._make_reply())
        if not self.is_usable and self.transport is not None:
            self.transport.close()

    def _make_reply(self) -> Reply:
        return Reply(self.parser.get_status_code(), bytes(self.body))

    def _finish(self, result: Reply | TransferFailure) -> None:
        waiter, self.waiter = self.waiter, None
        if waiter is not None and not waiter.done():
            waiter.set_result(result)
