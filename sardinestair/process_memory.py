"""Memory that the connections of a process may take."""

import zmq

from sardinestair.event_loop import EventLoop
from sardinestair.links.sockets import limit_messages
from sardinestair.observability import EventLog, Metrics
from sardinestair.settings import EntrySettings, SidecarSettings
from sardinestair.web import MemoryAccount

__all__ = ["make_context", "make_memory_account"]


def make_context(settings: EntrySettings | SidecarSettings) -> zmq.Context:
    """Returns a ZeroMQ context with limited messages.

    Args:
        settings: The process's settings.
    """
    context = zmq.Context()
    limit_messages(context, settings.memory_mb, settings.link_limits)
    return context


def make_memory_account(
    settings: EntrySettings | SidecarSettings,
    event_loop: EventLoop,
    log: EventLog,
    metrics: Metrics,
) -> MemoryAccount:
    """Returns the account of the memory that HTTP connections hold.

    Args:
        settings: The process's settings.
        event_loop: The process's event loop.
        log: The event log.
        metrics: The process's metrics.
    """
    return MemoryAccount.for_process(
        settings.memory_mb,
        settings.http.max_connections,
        event_loop.loop.time,
        log,
        metrics,
    )
