"""Small stand-ins of the platform and of upstreams.

They serve the demo, the tests and the load tool; a deployment has the real
ones.
"""

from sardinestair.standins.store import Faults, StoreStandin
from sardinestair.standins.upstream import UpstreamStandin

__all__ = ["Faults", "StoreStandin", "UpstreamStandin"]
