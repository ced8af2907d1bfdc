"""Logs, metrics and reports."""

from sardinestair.observability.logs import (
    EventLog,
    configure_logging,
    flush_logs,
)
from sardinestair.observability.metrics import Metrics
from sardinestair.observability.start_times import StartStep, StartTimes
from sardinestair.observability.usage import LinkUsage, UsageReporter

__all__ = [
    "EventLog",
    "LinkUsage",
    "Metrics",
    "StartStep",
    "StartTimes",
    "UsageReporter",
    "configure_logging",
    "flush_logs",
]
