"""A deterministic emulator: the real decision code on a clock of its own.

Entries and sidecars are the product's own aggregates; frames between them
arrive at once, and upstreams are models with a speed and faults. Policies can
be compared in seconds, without a network.
"""

from sardinestair.emulator.report import Report
from sardinestair.emulator.system import EmulatedSystem, Fault
from sardinestair.emulator.workload import BUYBACK, JobKind, Workload

__all__ = [
    "BUYBACK",
    "EmulatedSystem",
    "Fault",
    "JobKind",
    "Report",
    "Workload",
]
