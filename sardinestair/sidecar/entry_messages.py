"""Handles the messages of entries."""

from functools import singledispatch

from sardinestair.links.session import SidecarSession
from sardinestair.messages import (
    Acknowledge,
    Cancel,
    CreditReturn,
    Demand,
    Start,
    Stop,
)
from sardinestair.sidecar.task_runs import TaskRuns

__all__ = ["handle_message"]


@singledispatch
def handle_message(message, session: SidecarSession, runs: TaskRuns) -> None:
    """Handles a message of an entry.

    Args:
        message: The message.
        session: The session with the entry.
        runs: The running tasks, with the ledger of credits.
    """
    runs.log.warning("message_unexpected", kind=type(message).__name__)


@handle_message.register
def _(message: Start, session: SidecarSession, runs: TaskRuns) -> None:
    runs.handle_start(message, session)


@handle_message.register
def _(message: Demand, session: SidecarSession, runs: TaskRuns) -> None:
    now_s = runs.clock.monotonic()
    urgent_at_s = now_s + message.urgency_s
    runs.ledger.update_demand(
        session.entry,
        message.count,
        urgent_at_s,
        now_s,
        message.head_units,
        message.priority,
        message.class_units,
    )


@handle_message.register
def _(message: CreditReturn, session: SidecarSession, runs: TaskRuns) -> None:
    runs.ledger.update_returned(session.entry, message.total)


@handle_message.register
def _(message: Acknowledge, session: SidecarSession, _runs: TaskRuns) -> None:
    session.acknowledge(message.tasks)


@handle_message.register
def _(message: Cancel, session: SidecarSession, runs: TaskRuns) -> None:
    session.cancel(message.tasks)
    runs.stop(message.tasks, b"cancelled")


@handle_message.register
def _(message: Stop, _session: SidecarSession, runs: TaskRuns) -> None:
    runs.stop(message.tasks, b"moved")
