"""Links between entries and sidecars over ZeroMQ."""

from sardinestair.links.entry_link import EntryLink, LinkState
from sardinestair.links.fence import FrameFence, FrameStatus
from sardinestair.links.link_loop import LinkLoop
from sardinestair.links.session import SidecarSession, StartDecision
from sardinestair.links.timing import LinkTiming

__all__ = [
    "EntryLink",
    "FrameFence",
    "FrameStatus",
    "LinkLoop",
    "LinkState",
    "LinkTiming",
    "SidecarSession",
    "StartDecision",
]
