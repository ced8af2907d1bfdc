"""Deterministic discrete-event emulator for comparing policies.

It runs the production dispatchers and link servers on a manual clock. Frames
between them are delivered instantly, and upstreams are models with a speed and
injected faults, so policies can be compared in seconds and without a network.
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
