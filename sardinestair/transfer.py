"""HTTP client that sends each request at most once."""

import io
import socket
import threading
from collections.abc import Callable, Sequence

import msgspec
import pycurl

__all__ = ["Reply", "ThreadLocalTransfers", "Transfer", "TransferFailure"]

CONNECT_TIMEOUT_MS = 1000
MAX_IDLE_S = 2
MAX_REPLY_BYTES = 16 << 20


class Reply(msgspec.Struct, frozen=True):
    """An HTTP response.

    Attributes:
        status: The HTTP status.
        body: The response body.
    """

    status: int
    body: bytes


class TransferFailure(msgspec.Struct, frozen=True):
    """A request that got no complete response.

    Attributes:
        reason: The error.
        was_sent: True if any part of the request may have reached the server.
        is_refused: True if no process listens at the server's address.
    """

    reason: str
    was_sent: bool
    is_refused: bool = False


class Transfer:
    """A reusable connection that sends each request at most once.

    libcurl resends a request when a reused connection closes before the first
    byte of the response. Resending needs a new socket, which is denied here
    once any part of the request has been sent. Not thread-safe.

    Args:
        max_reply_bytes: Maximum size of a response body.
        max_idle_s: Time for which an idle connection is kept, in seconds. If
            the server closes it earlier, the next request fails.

    Examples:
        >>> transfer = Transfer()
        >>> reply = transfer.perform("GET", "http://127.0.0.1:9/", b"", 1.0)
        >>> reply.was_sent
        False
    """

    def __init__(
        self,
        max_reply_bytes: int = MAX_REPLY_BYTES,
        max_idle_s: int = MAX_IDLE_S,
    ):
        self.max_reply_bytes = max_reply_bytes
        self.was_sent = False
        self.body = io.BytesIO()
        self.should_abort: Callable[[], bool] | None = None
        self.curl = pycurl.Curl()
        self.curl.setopt(pycurl.NOSIGNAL, 1)
        self.curl.setopt(pycurl.TCP_NODELAY, 1)
        self.curl.setopt(pycurl.CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS)
        # A server may close an idle connection while a request is in transit.
        self.curl.setopt(pycurl.MAXAGE_CONN, max_idle_s)
        self.curl.setopt(pycurl.VERBOSE, 1)
        self.curl.setopt(pycurl.DEBUGFUNCTION, self._record_sent)
        self.curl.setopt(pycurl.OPENSOCKETFUNCTION, self._open_socket)
        self.curl.setopt(pycurl.XFERINFOFUNCTION, self._check_abort)

    def perform(
        self,
        method: str,
        url: str,
        body: bytes,
        timeout_s: float,
        headers: Sequence[str] = (),
        on_data: Callable[[bytes], bool] | None = None,
        should_abort: Callable[[], bool] | None = None,
    ) -> Reply | TransferFailure:
        """Sends one request and waits for the response.

        Args:
            method: The HTTP method.
            url: The URL.
            body: The request body; ignored for GET.
            timeout_s: Timeout of the whole transfer, in seconds.
            headers: Header lines.
            on_data: Called with each chunk of the response body, which is then
                not collected; returns False to abort the transfer.
            should_abort: Called about once a second; returns True to abort
                the transfer.

        Returns:
            The response, or the failure.
        """
        self.was_sent = False
        self.body = io.BytesIO()
        self._set_request(method, url, body, headers)
        self.curl.setopt(pycurl.TIMEOUT_MS, max(1, int(timeout_s * 1000)))
        self.curl.setopt(pycurl.WRITEFUNCTION, self._write_callback(on_data))
        self.should_abort = should_abort
        self.curl.setopt(pycurl.NOPROGRESS, int(should_abort is None))
        try:
            self.curl.perform()
        except pycurl.error as error:
            reason = str(error.args[1]) or f"transfer error {error.args[0]}"
            return TransferFailure(reason, self.was_sent)
        status = self.curl.getinfo(pycurl.RESPONSE_CODE)
        return Reply(status, self.body.getvalue())

    def close(self) -> None:
        """Closes the connection."""
        self.curl.close()

    def _set_request(
        self, method: str, url: str, body: bytes, headers: Sequence[str]
    ) -> None:
        self.curl.setopt(pycurl.URL, url)
        self.curl.setopt(pycurl.HTTPHEADER, [*headers, "Expect:"])
        if method == "GET":
            self.curl.setopt(pycurl.HTTPGET, 1)
            self.curl.unsetopt(pycurl.CUSTOMREQUEST)
            return
        self.curl.setopt(pycurl.POSTFIELDS, body)
        if method == "POST":
            self.curl.unsetopt(pycurl.CUSTOMREQUEST)
        else:
            self.curl.setopt(pycurl.CUSTOMREQUEST, method)

    def _write_callback(self, on_data: Callable[[bytes], bool] | None):
        if on_data is not None:
            # libcurl aborts if the returned count differs from the length.
            return lambda data: len(data) if on_data(data) else 0
        return self._collect

    def _collect(self, data: bytes) -> int:
        if self.body.tell() + len(data) > self.max_reply_bytes:
            return 0
        return self.body.write(data)

    def _record_sent(self, kind: int, _data: bytes) -> None:
        if kind in (pycurl.INFOTYPE_HEADER_OUT, pycurl.INFOTYPE_DATA_OUT):
            self.was_sent = True

    def _check_abort(self, *_progress: int) -> bool:
        return self.should_abort is not None and self.should_abort()

    def _open_socket(self, _purpose: int, address) -> socket.socket | int:
        if self.was_sent:
            return pycurl.SOCKET_BAD
        return socket.socket(address.family, address.socktype, address.protocol)


class ThreadLocalTransfers:
    """Gives each thread a `Transfer` of its own; thread-safe.

    Examples:
        >>> transfers = ThreadLocalTransfers()
        >>> transfers.current is transfers.current
        True
    """

    def __init__(self) -> None:
        self.local = threading.local()

    @property
    def current(self) -> Transfer:
        """The `Transfer` of the calling thread."""
        transfer = getattr(self.local, "transfer", None)
        if transfer is None:
            transfer = self.local.transfer = Transfer()
        return transfer
