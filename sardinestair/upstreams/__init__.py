"""The upstream of a sidecar: its state, and clients that run its tasks."""

from sardinestair.upstreams.caller import CallResult, UpstreamCaller
from sardinestair.upstreams.leased import LeasedUpstream
from sardinestair.upstreams.orders import RunClient
from sardinestair.upstreams.upstream import (
    Announcement,
    Upstream,
    UpstreamState,
)

__all__ = [
    "Announcement",
    "CallResult",
    "LeasedUpstream",
    "RunClient",
    "Upstream",
    "UpstreamCaller",
    "UpstreamState",
]
