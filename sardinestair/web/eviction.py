"""Which connections are evicted when memory or connections run short.

Pure decisions on what each connection holds and when it last progressed. A
request that is being handled is never chosen for what it holds itself.
"""

import enum
from collections import Counter
from collections.abc import Callable, Iterable
from typing import Generic, NamedTuple, TypeVar

__all__ = [
    "Activity",
    "Holding",
    "is_behind",
    "is_too_slow",
    "select_for_connections",
    "select_for_memory",
]

T = TypeVar("T")

# Without data for this long a connection counts as stopped while others need
# its place. A lost packet is repeated sooner.
STALL_S = 0.5
# The same for responses, of which it is checked once a second how much is read.
UNREAD_STALL_S = 2.5
# A request counts as slow below this rate, averaged over its time.
LEAST_RATE_BYTES_PER_S = 4096
# Part of the time limit of a request after which its rate is checked.
RATE_GRACE_SHARE = 0.5
# One selection ends up to this part of the connections at once, as it looks at
# all of them.
BATCH_SHARE = 1 / 32


class Activity(enum.Enum):
    """What a connection is doing, as far as eviction is concerned.

    IDLE: no request is being read or handled.
    READING: a request is incomplete.
    RUNNING: a request is handled.
    BLOCKED: the peer does not read the responses.
    ENDING: the last response has been written.
    """

    IDLE = "idle"
    READING = "reading"
    RUNNING = "running"
    BLOCKED = "blocked"
    ENDING = "ending"


class Holding(NamedTuple, Generic[T]):
    """What a connection holds, and how it progresses.

    Attributes:
        connection: The connection.
        activity: What it is doing.
        released_bytes: Memory that ending it would release.
        received_bytes: Data of the incomplete request that has arrived.
        since_s: When the activity began.
        progressed_s: When data last arrived, or was last read by the peer.
        address: IP address of the peer.
    """

    connection: T
    activity: Activity
    released_bytes: int
    received_bytes: int
    since_s: float
    progressed_s: float
    address: str


def is_behind(holding: Holding, now_s: float) -> bool:
    """Returns True if a peer has stopped, or is slower than the least rate.

    Examples:
        >>> trickle = Holding(1, Activity.READING, 9000, 90, 0.0, 3.0, "::1")
        >>> is_behind(trickle, 3.0)
        True
        >>> is_behind(trickle._replace(received_bytes=90_000), 3.0)
        False
    """
    if holding.activity in (Activity.IDLE, Activity.RUNNING):
        return False
    is_blocked = holding.activity is Activity.BLOCKED
    stall_s = UNREAD_STALL_S if is_blocked else STALL_S
    if now_s - holding.progressed_s > stall_s:
        return True
    lasted_s = now_s - holding.since_s - STALL_S
    return (
        holding.activity is Activity.READING
        and holding.received_bytes < lasted_s * LEAST_RATE_BYTES_PER_S
    )


def is_too_slow(
    received_bytes: int, expected_bytes: int, lasted_s: float, timeout_s: float
) -> bool:
    """Returns True if a body can hardly be complete within the time limit.

    A body that arrives at an even rate and in time is never too slow.

    Args:
        received_bytes: Size of what has arrived.
        expected_bytes: Size of the whole body, 0 if unknown.
        lasted_s: Time since the request began, in seconds.
        timeout_s: Time limit of a request, in seconds.

    Examples:
        >>> is_too_slow(0, 1000, 4.0, 10.0), is_too_slow(90, 1000, 6.0, 10.0)
        (False, True)
    """
    due_share = lasted_s / timeout_s - RATE_GRACE_SHARE
    return received_bytes < expected_bytes * due_share


def select_for_memory(
    holdings: Iterable[Holding[T]], excess_bytes: int, now_s: float
) -> list[T]:
    """Returns the connections to end so that memory is released.

    Those that are behind come first, the largest of them at the front. If that
    is not enough, those of the address that holds most follow, large ones
    before small ones and the newest first, so that earlier requests complete.

    Args:
        holdings: All connections that hold something.
        excess_bytes: How much has to be released.
        now_s: The time.

    Returns:
        The connections, as few as suffice; fewer than needed only if no
        other one would release anything.
    """
    candidates = [h for h in holdings if h.released_bytes > 0]
    held_by_address: Counter[str] = Counter()
    for holding in candidates:
        held_by_address[holding.address] += holding.released_bytes
    mean_bytes = sum(held_by_address.values()) / max(1, len(candidates))

    def rank(holding: Holding[T]) -> tuple[float, ...]:
        if is_behind(holding, now_s):
            return (0, -holding.released_bytes)
        is_small = holding.released_bytes < mean_bytes / 2
        held_bytes = held_by_address[holding.address]
        return (1, is_small, -held_bytes, -holding.since_s)

    selected, released_bytes = [], 0
    for holding in sorted(candidates, key=rank):
        if released_bytes >= excess_bytes:
            break
        selected.append(holding.connection)
        released_bytes += holding.released_bytes
    return selected


def select_for_connections(
    holdings: Iterable[Holding[T]], now_s: float
) -> list[T]:
    """Returns the connections to end so that another one can be accepted.

    Connections that end anyway and those that are behind come first, then
    those idle for longest. If there is none, the request that has been
    incomplete for longest is evicted. Several may end at once, but no more
    than one that is idle.

    Args:
        holdings: All connections.
        now_s: The time.

    Returns:
        The connections; empty if all handle requests.
    """
    candidates = [h for h in holdings if h.activity is not Activity.RUNNING]
    ranked = sorted(candidates, key=_connection_rank(now_s))
    batch = ranked[: max(1, int(len(candidates) * BATCH_SHARE))]
    return [
        holding.connection
        for number, holding in enumerate(batch)
        if number == 0 or holding.activity is not Activity.IDLE
    ]


def _connection_rank(
    now_s: float,
) -> Callable[[Holding], tuple[int, float]]:
    def rank(holding: Holding) -> tuple[int, float]:
        if holding.activity is Activity.ENDING:
            return 0, holding.since_s
        if is_behind(holding, now_s):
            return 1, holding.since_s
        is_idle = holding.activity is Activity.IDLE
        if is_idle and now_s - holding.since_s > STALL_S:
            return 2, holding.since_s
        return 3 + (holding.activity is Activity.BLOCKED), holding.since_s

    return rank
