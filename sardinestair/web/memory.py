"""Account of the memory that the HTTP connections of a process hold.

All servers of a process share one account. Its budget is divided into two
parts, so that requests of callers can't displace those of operators, readiness
checks and upstreams.
"""

import enum
import resource
from collections import Counter
from collections.abc import Callable, Iterable
from typing import Protocol

from sardinestair.observability import EventLog, Metrics
from sardinestair.web.eviction import (
    Holding,
    select_for_connections,
    select_for_memory,
)

__all__ = [
    "Cause",
    "ServerRole",
    "Holder",
    "MemoryAccount",
    "MemoryShare",
    "budget_bytes",
    "connection_limit",
]

MB = 1 << 20
# What a process needs without requests; the tables of jobs and links, and the
# interpreter.
PROCESS_MB = 72
DEFAULT_BUDGET_BYTES = 64 * MB
MIN_BUDGET_BYTES = 4 * MB
# Part of the budget for operators, readiness checks and upstreams.
SYSTEM_PART = 1 / 8
# Eviction releases this part of what it can beyond what is needed, as it looks
# at all holders.
RELEASE_PART = 1 / 8
# Memory of a connection without a request: transport, protocol and socket.
CONNECTION_BYTES = 4096
# Part of a share that connections without requests may take.
CONNECTION_PART = 1 / 4
# Descriptors for files, listeners, and links of the system.
RESERVED_DESCRIPTORS = 256
# Part of the other descriptors that connections of callers may take.
DESCRIPTOR_PART = 3 / 4
MIN_SYSTEM_CONNECTIONS = 16
# A share has room for this many times the largest body that a server accepts,
# so that it can be read and handled.
BODY_COPIES = 4
LOG_INTERVAL_S = 1.0


class ServerRole(enum.Enum):
    """Whose requests a server takes."""

    CALLERS = "callers"
    SYSTEM = "system"


class Cause(enum.Enum):
    """Why a request was refused or a connection was ended."""

    MEMORY = "memory"
    CONNECTIONS = "connections"
    BODY = "body"
    FIELDS = "fields"
    ROUTE = "route"
    SYNTAX = "syntax"
    SLOW = "slow"
    UNREAD = "unread"


class Holder(Protocol):
    """A connection, as its account sees it.

    Attributes:
        held_bytes: Memory that is charged for it.
    """

    held_bytes: int

    def holding(self) -> Holding:
        """Returns what it holds, and how it progresses."""
        ...

    def evict(self, cause: Cause) -> None:
        """Releases what it holds, ending the request or the connection."""


def budget_bytes(memory_mb: int | None) -> int:
    """Returns the budget of a process's HTTP connections.

    Args:
        memory_mb: Memory of the machine in MB, None if unknown.

    Examples:
        >>> budget_bytes(160) // MB, budget_bytes(168) // MB
        (44, 48)
    """
    if memory_mb is None:
        return DEFAULT_BUDGET_BYTES
    return max(MIN_BUDGET_BYTES, (memory_mb - PROCESS_MB) * MB // 2)


def connection_limit(max_connections: int, descriptors: int) -> int:
    """Returns the number of connections of callers that a process takes.

    Args:
        max_connections: The configured limit.
        descriptors: Number of descriptors that the process may open.

    Examples:
        >>> connection_limit(4096, 1024), connection_limit(1000, 20000)
        (576, 1000)
    """
    free = max(0, descriptors - RESERVED_DESCRIPTORS)
    return max(1, min(max_connections, int(free * DESCRIPTOR_PART)))


class MemoryShare:
    """The part of a budget that the connections of some servers share.

    Args:
        role: Whose requests these servers take.
        limit_bytes: The part of the budget.
        max_connections: Maximum number of connections.
        now_s: Returns the time.
        report: Counts an event; called with the role, the cause and a number.

    Attributes:
        held_bytes: Memory charged for requests and unread responses.
        holders: The connections for which memory is charged.
        connections: All connections.
        peak_bytes: The largest `held_bytes` so far.
    """

    def __init__(
        self,
        role: ServerRole,
        limit_bytes: int,
        max_connections: int,
        now_s: Callable[[], float],
        report: Callable[[ServerRole, Cause, int], None],
    ):
        self.role = role
        self.limit_bytes = limit_bytes
        by_memory = int(limit_bytes * CONNECTION_PART) // CONNECTION_BYTES
        self.max_connections = max(1, min(max_connections, by_memory))
        self.now_s = now_s
        self._report = report
        self.held_bytes = 0
        self.peak_bytes = 0
        self.is_releasing = False
        # Dicts, as sets that keep the order; the connections in order of use.
        self.holders: dict[Holder, None] = {}
        self.connections: dict[Holder, None] = {}

    def make_room_for(self, body_bytes: int) -> None:
        """Raises the limit if a body of this size could never be handled."""
        self.limit_bytes = max(self.limit_bytes, BODY_COPIES * body_bytes)

    def add(self, connection: Holder) -> None:
        """Registers a connection; others are evicted if there are too many."""
        if len(self.connections) >= self.max_connections:
            selected = select_for_connections(
                self._holdings(self.connections), self.now_s()
            )
            self._evict(selected or [connection], Cause.CONNECTIONS)
            if not selected:
                return
        self.connections[connection] = None

    def note_use(self, connection: Holder) -> None:
        """Notes that a connection has just been used.

        The order of use decides between connections whose times are equal, as
        the clock may have a resolution of a millisecond.
        """
        if connection in self.connections:
            del self.connections[connection]
            self.connections[connection] = None

    def remove(self, connection: Holder, kept_bytes: int = 0) -> None:
        """Forgets a connection, and releases what was charged for it.

        Args:
            connection: The connection.
            kept_bytes: What remains charged for a request that is handled,
                until it is set to 0.
        """
        self.connections.pop(connection, None)
        self.charge(connection, kept_bytes)

    def charge(self, holder: Holder, held_bytes: int) -> None:
        """Sets what is charged for a connection.

        Connections are evicted if the share is used up; this one may be among
        them.

        Args:
            holder: The connection.
            held_bytes: What it holds.
        """
        added_bytes = held_bytes - holder.held_bytes
        holder.held_bytes = held_bytes
        self.held_bytes += added_bytes
        if held_bytes:
            self.holders[holder] = None
        else:
            self.holders.pop(holder, None)
        self.peak_bytes = max(self.peak_bytes, self.held_bytes)
        is_over = self.held_bytes > self.limit_bytes
        if is_over and added_bytes > 0 and not self.is_releasing:
            self.is_releasing = True
            self._release()
            self.is_releasing = False

    def report(self, cause: Cause, count: int = 1) -> None:
        """Counts a refusal or an ended connection."""
        self._report(self.role, cause, count)

    def _release(self) -> None:
        holdings = self._holdings(self.holders)
        releasable_bytes = sum(h.released_bytes for h in holdings)
        excess_bytes = self.held_bytes - self.limit_bytes
        selected = select_for_memory(
            holdings,
            excess_bytes + int(releasable_bytes * RELEASE_PART),
            self.now_s(),
        )
        self._evict(selected, Cause.MEMORY)

    @staticmethod
    def _holdings(holders: Iterable[Holder]) -> list[Holding]:
        return [holder.holding() for holder in holders]

    def _evict(self, selected: list[Holder], cause: Cause) -> None:
        for holder in selected:
            if cause is Cause.CONNECTIONS:
                # It is closed only in the next iteration of the loop.
                self.connections.pop(holder, None)
            holder.evict(cause)
        self.report(cause, len(selected))


class MemoryAccount:
    """The budget of a process for its HTTP connections.

    Args:
        limit_bytes: The budget.
        max_connections: Maximum number of connections of callers.
        now_s: Returns the time.
        metrics: Where the metrics are reported; None for none.
        log: The event log.

    Attributes:
        shares: The parts of the budget.
    """

    @classmethod
    def for_process(
        cls,
        memory_mb: int | None,
        max_connections: int,
        now_s: Callable[[], float],
        log: EventLog,
        metrics: Metrics,
    ) -> "MemoryAccount":
        """Returns the account of a process, within the limits of its machine.

        Args:
            memory_mb: Memory of the machine in MB, None if unknown.
            max_connections: The configured number of connections of callers.
            now_s: Returns the time.
            log: The event log.
            metrics: The metrics of the process.
        """
        try:
            descriptors = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        except OSError:
            # Not available in every environment.
            descriptors = resource.RLIM_INFINITY
        if descriptors != resource.RLIM_INFINITY:
            max_connections = connection_limit(max_connections, descriptors)
        limit_bytes = budget_bytes(memory_mb)
        return cls(limit_bytes, max_connections, now_s, log, metrics)

    def __init__(
        self,
        limit_bytes: int,
        max_connections: int,
        now_s: Callable[[], float],
        log: EventLog,
        metrics: Metrics | None = None,
    ):
        self.now_s = now_s
        self.log = log
        self.metrics = metrics
        system_bytes = int(limit_bytes * SYSTEM_PART)
        limits = {
            ServerRole.CALLERS: (limit_bytes - system_bytes, max_connections),
            ServerRole.SYSTEM: (
                system_bytes,
                max(MIN_SYSTEM_CONNECTIONS, max_connections // 8),
            ),
        }
        self.shares = {
            role: MemoryShare(role, share_bytes, count, now_s, self.report)
            for role, (share_bytes, count) in limits.items()
        }
        self.unlogged: Counter[tuple[ServerRole, Cause]] = Counter()
        self.logged_s: dict[tuple[ServerRole, Cause], float] = {}
        if metrics is not None:
            metrics.on_render.append(self.publish)

    def report(self, role: ServerRole, cause: Cause, count: int) -> None:
        """Counts refusals, and logs them at most once a second by cause."""
        if self.metrics is not None:
            self.metrics.count(
                "http_refused_total",
                {"role": role.value, "cause": cause.value},
                count,
            )
        key = (role, cause)
        self.unlogged[key] += count
        now_s = self.now_s()
        last_s = self.logged_s.get(key)
        if last_s is not None and now_s - last_s < LOG_INTERVAL_S:
            return
        self.logged_s[key] = now_s
        share = self.shares[role]
        self.log.warning(
            "http_refused",
            role=role.value,
            cause=cause.value,
            count=self.unlogged.pop(key),
            held_kb=share.held_bytes >> 10,
            budget_kb=share.limit_bytes >> 10,
            connections=len(share.connections),
        )

    def publish(self) -> None:
        """Sets the gauges."""
        if self.metrics is None:
            return
        for role, share in self.shares.items():
            labels = {"role": role.value}
            for name, value in {
                "http_held_bytes": share.held_bytes,
                "http_held_peak_bytes": share.peak_bytes,
                "http_budget_bytes": share.limit_bytes,
                "http_connections": len(share.connections),
            }.items():
                self.metrics.gauge(name, labels, value)
