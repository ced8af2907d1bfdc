"""Reads one request from the data of a connection."""

from http import HTTPStatus
from typing import NamedTuple

import httptools

from sardinestair.web.app import Found, WebApp
from sardinestair.web.limits import MAX_FIELDS, MAX_HEADER_BYTES
from sardinestair.web.memory import Cause
from sardinestair.web.messages import (
    Connection,
    Headers,
    Request,
    Response,
    status_response,
)

__all__ = ["Refusal", "RequestReader"]

PARSER_ERRORS = (httptools.HttpParserUpgrade, httptools.HttpParserError)
# The header ends with it, and so does a body in chunks.
END_MARK = b"\r\n\r\n"
CHUNKED_FIELD = b"transfer-encoding"
# A piece that is parsed at a time, unless it is a body of a stated size, is
# longer if there were few parts in the last one.
MIN_PIECE_BYTES = 1 << 10
MAX_PIECE_BYTES = 16 << 10
FEW_PARTS = 4
# Longest header that is parsed in one step with what follows it.
MAX_WHOLE_HEADER_BYTES = 4 << 10
# The route of a body up to this size isn't looked up before it is handled, if
# it has come with the header.
MAX_UNCHECKED_BYTES = 4 << 10
# Number of fields and parts of a body after which `feed` ends early.
MAX_PARTS = 128
# Memory of the parser, the reader and the request without their data.
READER_BYTES = 3072
# Memory of a field beyond its text: two objects, a pair and a place in a list.
FIELD_BYTES = 144
# A body grows in steps of an eighth.
BODY_STEPS = 8


class OverrunError(Exception):
    """The data goes on after the end of the request."""


class Refusal(NamedTuple):
    """Why a request is not read to its end.

    Attributes:
        cause: The cause, by which refusals are counted.
        response: The response.
    """

    cause: Cause
    response: Response


class RequestReader:
    """Reads one request, and never beyond its end.

    If the body has not arrived together with the header, its route and size
    are checked first.

    Args:
        app: The application.
        connection: The connection, for the request handler.

    Attributes:
        request: The request; without its body until it is complete.
        found: The handler, if it was looked up before the body was read.
        refusal: Why the request is not read on, or None.
        is_complete: True once the request has been read.
        is_upgrade: True if what follows the request is not HTTP.
        expects_continue: True once if the peer waits before it sends a body.
        received_bytes: Size of the data read so far.
        body_left: Size of the part of the body that is missing; 0 also if
            the body comes in chunks.
        body_size: Size of the body so far.
    """

    # Defaults of the attributes, most of which rarely change.
    request: Request | None = None
    found: Found | None = None
    refusal: Refusal | None = None
    target = b""
    header_bytes = 0
    gap_bytes = 0
    body: bytes | bytearray = b""
    body_size = 0
    body_left = 0
    received_bytes = 0
    parts = 0
    piece_bytes = MIN_PIECE_BYTES
    # The end of the last piece, as a mark may arrive in two parts.
    tail = b""
    has_header = False
    # True between the header and the body.
    awaits_body = False
    is_complete = False
    is_head = False
    is_upgrade = False
    keep_alive = False
    expects_continue = False

    def __init__(self, app: WebApp, connection: Connection):
        self.app = app
        self.connection = connection
        self.max_body_bytes = app.max_body_bytes
        self.fields: list[tuple[bytes, bytes]] = []
        self.parser: httptools.HttpRequestParser | None = (
            httptools.HttpRequestParser(self)
        )

    @property
    def held_bytes(self) -> int:
        """Memory that the incomplete request takes."""
        return (
            READER_BYTES
            + self.header_bytes
            + self.gap_bytes
            + FIELD_BYTES * len(self.fields)
            + self.body_size
            + self.body_size // BODY_STEPS
        )

    def feed(self, data: bytes, position: int) -> int:
        """Reads until the request is complete or refused, or the data ends.

        It ends earlier after many small parts, so that others get a turn.

        Args:
            data: The data.
            position: Where to begin.

        Returns:
            Where it has ended.
        """
        mark = -1
        if not (position or self.received_bytes):
            mark = data.find(END_MARK, 0, MAX_WHOLE_HEADER_BYTES)
        header_end = mark + len(END_MARK)
        if mark < 0 or not _is_exact(data, header_end):
            return self._feed_pieces(data, position)
        assert self.parser is not None
        self.received_bytes = self.header_bytes = header_end
        try:
            self.parser.feed_data(data)
        except PARSER_ERRORS as error:
            self._handle_error(error)
        if self.is_complete:
            # The parser refers to the reader.
            self.parser = None
            return header_end + self.body_size
        if self.awaits_body and self.refusal is None:
            self.awaits_body = False
            self._check_header()
        self.received_bytes = len(data)
        return len(data)

    def refuse(self, cause: Cause, response: Response) -> None:
        """Refuses the request, and releases what has been read of it."""
        self.refusal = Refusal(cause, response)
        self.release()

    def release(self) -> None:
        """Releases the parser and what has been read."""
        # The parser refers to the reader.
        self.parser = None
        self.fields = []
        self.target = self.body = b""

    # Called by the parser.

    def on_message_begin(self) -> None:
        """Stops the parser after the request."""
        if self.is_complete:
            raise OverrunError

    def on_url(self, url: bytes) -> None:
        """Collects the request target."""
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collects a header field."""
        self.parts += 1
        if self.refusal is not None:
            return
        self.fields.append((name, value))
        if len(self.fields) > MAX_FIELDS:
            self._refuse_header()

    def on_headers_complete(self) -> None:
        """Finds out whether there is a body."""
        if self.refusal is not None:
            return
        self.has_header = True
        for name, value in self.fields:
            lowered = name.lower()
            if lowered == b"content-length":
                self.body_left = int(value)
                self.awaits_body |= self.body_left > 0
            elif lowered == b"transfer-encoding":
                self.awaits_body = True
            elif lowered == b"expect":
                self.expects_continue = True

    def on_body(self, body: bytes) -> None:
        """Collects a part of the body."""
        self.parts += 1
        if self.refusal is not None:
            return
        size = len(body)
        self.body_size += size
        if self.body_left:
            self.body_left -= size
        if self.body_size > self.max_body_bytes:
            self.refuse(
                Cause.BODY, self.app.body_too_large(self.max_body_bytes)
            )
        elif not self.body:
            self.body = body
        elif isinstance(self.body, bytearray):
            self.body += body
        else:
            self.body = bytearray(self.body) + body

    def on_message_complete(self) -> None:
        """Completes the request."""
        if self.refusal is not None:
            return
        assert self.parser is not None
        if self.request is None and not self._make_request():
            return
        assert self.request is not None
        if self.found is None and self.body_size > MAX_UNCHECKED_BYTES:
            self._check_header()
            if self.refusal is not None:
                return
        self.request.body = bytes(self.body)
        # The reader lives until the response is written.
        self.body = b""
        self.fields = []
        self.keep_alive = self.parser.should_keep_alive()
        self.is_complete = True

    # Internals.

    def _feed_pieces(self, data: bytes, position: int) -> int:
        """Reads pieces, none of which goes beyond the end of the request."""
        start, size = position, len(data)
        self.parts = 0
        while position < size and self.parts < MAX_PARTS:
            parts_before = self.parts
            end = self._find_end(data, position, size)
            self._parse(data[position:end])
            position = end
            has_few = self.parts - parts_before <= FEW_PARTS
            longer_bytes = min(2 * self.piece_bytes, MAX_PIECE_BYTES)
            self.piece_bytes = longer_bytes if has_few else MIN_PIECE_BYTES
            if self.awaits_body and self.refusal is None:
                self.awaits_body = False
                if not 0 < self.body_left <= size - position:
                    self._check_header()
            if self.is_complete or self.refusal is not None:
                self.parser = None
                break
        self.received_bytes += position - start
        return position

    def _handle_error(self, error: Exception) -> None:
        if isinstance(error, httptools.HttpParserUpgrade):
            # What follows the request is not HTTP.
            self.is_upgrade = True
        elif not self.is_complete and self.refusal is None:
            self.refuse(Cause.SYNTAX, status_response(HTTPStatus.BAD_REQUEST))

    def _find_end(self, data: bytes, position: int, size: int) -> int:
        """Returns the end of the next piece, which completes one request."""
        if self.body_left:
            return min(size, position + self.body_left)
        if self.tail:
            joined = self.tail + data[position : position + 3]
            found = joined.find(END_MARK)
            if found >= 0:
                return position + found + len(END_MARK) - len(self.tail)
        limit = min(size, position + self.piece_bytes)
        found = data.find(END_MARK, position, limit)
        return limit if found < 0 else found + len(END_MARK)

    def _parse(self, piece: bytes) -> None:
        assert self.parser is not None
        had_header, size_before = self.has_header, self.body_size
        try:
            self.parser.feed_data(piece)
        except PARSER_ERRORS as error:
            self._handle_error(error)
        if self.refusal is not None:
            return
        self.tail = (self.tail + piece[-3:])[-3:]
        if not had_header:
            self.header_bytes += len(piece)
        elif self.body_size > size_before:
            self.gap_bytes = 0
        else:
            # The parser keeps an incomplete field of a trailer.
            self.gap_bytes += len(piece)
        if max(self.header_bytes, self.gap_bytes) > MAX_HEADER_BYTES:
            self._refuse_header()

    def _refuse_header(self) -> None:
        self.refuse(
            Cause.FIELDS,
            status_response(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE),
        )

    def _check_header(self) -> None:
        if self.request is None and not self._make_request():
            return
        assert self.request is not None
        self.found = self.app.find(self.request.method, self.request.path)
        if isinstance(self.found, Response):
            self.refuse(Cause.ROUTE, self.found)
            return
        self.max_body_bytes = self.app.body_limit(self.request, self.found[0])
        refused = self.app.check_header(self.request)
        if refused is not None:
            self.refuse(Cause.ROUTE, refused)
        elif (
            not self.max_body_bytes
            or self.body_size + self.body_left > self.max_body_bytes
        ):
            self.refuse(
                Cause.BODY, self.app.body_too_large(self.max_body_bytes)
            )

    def _make_request(self) -> bool:
        assert self.parser is not None
        method = self.parser.get_method().decode("latin-1")
        self.is_head = method == "HEAD"
        headers = Headers(
            (name.decode("latin-1").lower(), value.decode("latin-1"))
            for name, value in self.fields
        )
        try:
            self.request = Request(
                "GET" if self.is_head else method,
                self.target.decode("latin-1"),
                headers,
                b"",
                self.connection,
            )
        except ValueError:
            self.refuse(Cause.SYNTAX, status_response(HTTPStatus.BAD_REQUEST))
            return False
        return True


def _is_exact(data: bytes, header_end: int) -> bool:
    """Returns True if the end of a request follows from its header."""
    # Empty lines may precede a request, and a body may come in chunks.
    return data[0] not in END_MARK and (
        header_end == len(data)
        or CHUNKED_FIELD not in data[:header_end].lower()
    )
