"""Limits of an HTTP server."""

from typing import Annotated

import msgspec
from msgspec import Meta

__all__ = ["HttpLimits"]

Seconds = Annotated[float, Meta(gt=0, le=3600)]


class HttpLimits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits of an HTTP server.

    Attributes:
        request_timeout_s: Time from the first byte of a request to its last,
            in seconds. A request that takes longer gets status 408, and its
            connection is closed.
        response_timeout_s: Time for which a caller may leave a response
            unread, in seconds; then its connection is reset.
        idle_timeout_s: Time for which a connection without a request is kept,
            in seconds.
        max_connections: Number of connections above which the one that has
            been idle longest is closed for each new one.
    """

    request_timeout_s: Seconds = 10.0
    response_timeout_s: Seconds = 10.0
    idle_timeout_s: Seconds = 60.0
    max_connections: Annotated[int, Meta(ge=1, le=1 << 20)] = 4096
