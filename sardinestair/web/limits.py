"""Limits of an HTTP server."""

from typing import Annotated

import msgspec
from msgspec import Meta

__all__ = [
    "MAX_AHEAD_BYTES",
    "MAX_DISCARDED_BYTES",
    "MAX_FIELDS",
    "MAX_HEADER_BYTES",
    "MAX_UNREAD_BYTES",
    "HttpLimits",
]

MAX_HEADER_BYTES = 32 << 10
MAX_FIELDS = 100
# Data that a peer may send ahead of the responses before reading is paused.
MAX_AHEAD_BYTES = 32 << 10
# Unread responses above which no further request of a connection is handled.
MAX_UNREAD_BYTES = 16 << 10
# Data that is read and dropped after a refusal that ends a connection.
MAX_DISCARDED_BYTES = 16 << 20

Seconds = Annotated[float, Meta(gt=0, le=3600)]


class HttpLimits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits of an HTTP server.

    Attributes:
        request_timeout_s: Time from the first byte of a request to its last,
            in seconds. A request that takes longer gets status 408, and its
            connection is closed; so does one whose body of a stated size is
            far behind an even rate after half of this time.
        response_timeout_s: Time for which a caller may leave a response
            unread, in seconds; then its connection is reset.
        idle_timeout_s: Time for which a connection without a request is kept,
            in seconds.
        max_connections: Number of connections of callers above which others
            are evicted for each new one: those that have stopped in the
            middle of a request, then the one that has been idle longest. A
            process also takes no more than a quarter of its memory budget
            allows, and an eighth of this number at the servers for operators,
            readiness checks and upstreams.
    """

    request_timeout_s: Seconds = 10.0
    response_timeout_s: Seconds = 10.0
    idle_timeout_s: Seconds = 60.0
    max_connections: Annotated[int, Meta(ge=1, le=1 << 20)] = 4096
