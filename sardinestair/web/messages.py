"""Requests and responses of the HTTP server."""

import email.utils
import functools
import http
import time
from collections.abc import Callable, Iterable, Iterator, Mapping
from typing import Protocol
from urllib.parse import parse_qsl, unquote

import httptools
import msgspec

from sardinestair.outcomes import Problem

__all__ = [
    "JSON_TYPE",
    "PROBLEM_TYPE",
    "Connection",
    "Headers",
    "Request",
    "Response",
    "encode_head",
    "json_response",
    "problem_response",
    "retry_after",
    "status_response",
]

JSON_TYPE = "application/json"
PROBLEM_TYPE = "application/problem+json"
TEXT_TYPE = "text/plain; charset=utf-8"


class Connection(Protocol):
    """The connection of a caller, as request handlers see it."""

    def has_left(self) -> bool:
        """Returns True if the caller has closed the connection."""
        ...

    def on_disconnect(self, callback: Callable[[], object] | None) -> None:
        """Sets what is called once if the caller closes the connection."""

    @property
    def remote_port(self) -> int:
        """Port of the caller."""
        ...


class Headers:
    """Header fields of a request; names are case-insensitive.

    Args:
        fields: Names in lower case, and values. Of a repeated field the first
            value counts.

    Examples:
        >>> headers = Headers([("x-deadline-ms", "250")])
        >>> headers.get("X-Deadline-Ms")
        '250'
        >>> "Prefer" in headers
        False
    """

    def __init__(self, fields: Iterable[tuple[str, str]] = ()):
        self.values: dict[str, str] = {}
        for name, value in fields:
            self.values.setdefault(name, value)

    def __contains__(self, name: str) -> bool:
        return name.lower() in self.values

    def get(self, name: str, default: str = "") -> str:
        """Returns the value of a field."""
        return self.values.get(name.lower(), default)


class Request:
    """A complete request.

    Args:
        method: The method.
        target: The request target, as in the first line of the request.
        headers: The header fields.
        body: The body.
        connection: The caller's connection; None in a test without a server.

    Attributes:
        path: The decoded path.
        query: The query string, without the question mark.

    Raises:
        ValueError: If the target is no URL.

    Examples:
        >>> request = Request("GET", "/v1/jobs/12?n=a%20b", Headers())
        >>> request.path, request.args
        ('/v1/jobs/12', {'n': 'a b'})
    """

    def __init__(
        self,
        method: str,
        target: str,
        headers: Headers,
        body: bytes = b"",
        connection: Connection | None = None,
    ):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.connection = connection
        try:
            url = httptools.parse_url(target.encode())
        except httptools.HttpParserInvalidURLError as error:
            raise ValueError(f"invalid request target: {error}") from error
        self.path = unquote((url.path or b"/").decode("latin-1"))
        self.query = (url.query or b"").decode("latin-1")

    @property
    def host(self) -> str:
        """The value of the `Host` field."""
        return self.headers.get("host")

    @property
    def args(self) -> dict[str, str]:
        """Parameters of the query; of a repeated one the first value counts."""
        pairs = parse_qsl(self.query, keep_blank_values=True)
        return dict(reversed(pairs))


class Response:
    """A response.

    Args:
        body: The body; an iterator is sent in chunks as it yields, and may
            block.
        status: The status.
        mimetype: The media type.
        headers: Further header fields, which go before `mimetype`.

    Attributes:
        headers: All header fields but those of the connection.
    """

    def __init__(
        self,
        body: bytes | Iterator[bytes] = b"",
        status: int = 200,
        mimetype: str = TEXT_TYPE,
        headers: Mapping[str, str] | None = None,
    ):
        self.body = body
        self.status = status
        self.headers = {"Content-Type": mimetype, **(headers or {})}


def json_response(value: object, status: int = 200) -> Response:
    """Returns a response with a JSON body.

    Args:
        value: The value to encode.
        status: The HTTP status.
    """
    return Response(msgspec.json.encode(value), status, JSON_TYPE)


def problem_response(problem: Problem, job: str | None = None) -> Response:
    """Returns a response with a problem document.

    Args:
        problem: The problem.
        job: The text form of the job id, if there is one.
    """
    response = Response(
        msgspec.json.encode(problem.to_document(job)),
        problem.status,
        PROBLEM_TYPE,
    )
    if problem.retry_after_s is not None:
        response.headers["Retry-After"] = retry_after(problem)
    return response


def retry_after(problem: Problem) -> str:
    """Returns the `Retry-After` value: whole seconds, at least 1."""
    return str(max(1, -int(-(problem.retry_after_s or 0.0) // 1)))


def status_response(status: http.HTTPStatus, not_run: bool = True) -> Response:
    """Returns the problem document of a status that has no `Problem`.

    Args:
        status: The status.
        not_run: True if the request certainly had no effect.
    """
    document = {
        "type": "about:blank",
        "title": status.phrase,
        "status": status.value,
        "detail": status.description,
        "not_run": not_run,
    }
    return Response(msgspec.json.encode(document), status.value, PROBLEM_TYPE)


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
        phrase = http.HTTPStatus(response.status).phrase
    except ValueError:
        phrase = "Unknown"
    lines = [f"HTTP/1.1 {response.status} {phrase}"]
    lines += [f"{name}: {value}" for name, value in response.headers.items()]
    lines.append(f"Date: {_format_date(int(time.time()))}")
    if body_size is None:
        lines.append("Transfer-Encoding: chunked")
    else:
        lines.append(f"Content-Length: {body_size}")
    if not keep_alive:
        lines.append("Connection: close")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


@functools.lru_cache(maxsize=1)
def _format_date(time_s: int) -> str:
    return email.utils.formatdate(time_s, usegmt=True)
