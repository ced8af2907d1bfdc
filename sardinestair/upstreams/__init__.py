"""Upstreams as sidecars see them."""

from sardinestair.upstreams.caller import CallResult, UpstreamCaller
from sardinestair.upstreams.upstream import (
    Announcement,
    Upstream,
    UpstreamState,
)

__all__ = [
    "Announcement",
    "CallResult",
    "Upstream",
    "UpstreamCaller",
    "UpstreamState",
]
