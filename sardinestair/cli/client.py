"""Talks to an entry's HTTP API for the command line."""

from typing import Any

import msgspec
from expression import Error, Ok, Result

from sardinestair.transfer import Reply, Transfer

__all__ = ["ApiClient", "ApiError"]

JSON_HEADERS = ("Content-Type: application/json",)


class ApiError(msgspec.Struct, frozen=True):
    """A request that an entry refused, or could not be asked.

    Attributes:
        status: The HTTP status, 0 if there was no reply.
        document: The problem document, or the reason as its `detail`.
    """

    status: int
    document: dict[str, Any]

    def __str__(self) -> str:
        detail = self.document.get("detail", "no reason given")
        flags = [
            f"{name}={self.document[name]}"
            for name in ("not_run", "field", "retry_after_s")
            if name in self.document
        ]
        suffix = f" ({', '.join(flags)})" if flags else ""
        return f"{detail}{suffix}"


class ApiClient:
    """Requests to one entry.

    Args:
        base_url: Base URL of the entry.
        timeout_s: Longest time for one request, in seconds.

    Examples:
        >>> client = ApiClient("http://127.0.0.1:9")
        >>> client.call("GET", "/healthz").error.status
        0
    """

    def __init__(self, base_url: str, timeout_s: float = 300.0):
        self.base_url = base_url.rstrip("/")
        self.timeout_s = timeout_s
        self.transfer = Transfer()

    def call(
        self,
        method: str,
        path: str,
        body: Any = None,
        headers: tuple[str, ...] = (),
    ) -> Result[Any, ApiError]:
        """Sends one request.

        Args:
            method: The HTTP method.
            path: Path and query.
            body: What to send as JSON, or None.
            headers: More header lines.

        Returns:
            The decoded reply, or what went wrong.
        """
        data = b"" if body is None else msgspec.json.encode(body)
        reply = self.transfer.perform(
            method,
            self.base_url + path,
            data,
            self.timeout_s,
            JSON_HEADERS + headers,
        )
        if not isinstance(reply, Reply):
            detail = f"{self.base_url} gave no answer: {reply.reason}"
            document = {"detail": detail, "not_run": not reply.was_sent}
            return Error(ApiError(0, document))
        try:
            value = msgspec.json.decode(reply.body) if reply.body else None
        except msgspec.DecodeError:
            value = {"detail": reply.body.decode("utf-8", "replace")}
        if 200 <= reply.status < 300:
            return Ok(value)
        document = value if isinstance(value, dict) else {"detail": str(value)}
        return Error(ApiError(reply.status, document))
