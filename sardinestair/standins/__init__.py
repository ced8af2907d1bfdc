"""Stand-ins for the platform's services and for upstreams.

They are used by the demo, the tests, the emulator and the load generator, never
in production.
"""

from sardinestair.standins.store import Faults, StoreStandin
from sardinestair.standins.upstream import UpstreamStandin

__all__ = ["Faults", "StoreStandin", "UpstreamStandin"]
