"""Client of an entry's HTTP API for the command-line programs."""

from typing import Any

import msgspec
from expression import Error, Ok, Result

from sardinestair.transfer import Reply, Transfer

__all__ = ["ApiClient", "ApiError"]

JSON_HEADERS = ("Content-Type: application/json",)


class ApiError(msgspec.Struct, frozen=True):
    """A request that was refused, or that got no response.

    Attributes:
        status: The HTTP status, 0 if there was no response.
        document: The problem document. If the entry sent none, `detail`
            contains the response body or the reason for the failure.
    """

    status: int
    document: dict[str, Any]

    def __str__(self) -> str:
        detail = self.document.get("detail", "no reason given")
        details = [
            f"{name}={self.document[name]}"
            for name in ("not_run", "field", "retry_after_s")
            if name in self.document
        ]
        suffix = f" ({', '.join(details)})" if details else ""
        return f"{detail}{suffix}"


class ApiClient:
    """Sends requests to one entry.

    Args:
        base_url: Base URL of the entry.
        timeout_s: Timeout of a request, in seconds.

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
        """Sends a request.

        Args:
            method: The HTTP method.
            path: Path and query.
            body: Value to send as JSON, or None for no body.
            headers: Additional header lines.

        Returns:
            The decoded response body, or the error.
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
            detail = f"{self.base_url} did not respond: {reply.reason}"
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
