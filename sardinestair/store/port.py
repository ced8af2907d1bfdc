"""What the system asks of the platform's key-value service."""

import enum
from collections.abc import Callable, Sequence
from typing import Protocol

import msgspec
from expression import Result

__all__ = [
    "ABSENT",
    "Commit",
    "KeyValue",
    "Snapshot",
    "Store",
    "StoreError",
    "StoreErrorKind",
    "Swap",
    "unanswered",
]

ABSENT = 0
"""Revision of a key that does not exist."""


class StoreErrorKind(enum.Enum):
    """What a failed call may have done."""

    NOT_DONE = "not_done"
    UNKNOWN = "unknown"


class StoreError(msgspec.Struct, frozen=True):
    """A call without an answer.

    Attributes:
        kind: UNKNOWN if a write may have taken effect, or may yet.
        reason: What went wrong.
    """

    kind: StoreErrorKind
    reason: str


def unanswered(reason: str, was_sent: bool) -> StoreError:
    """Returns the error of a call that got no answer.

    Args:
        reason: What went wrong.
        was_sent: True if any of it may have reached the store.
    """
    kind = StoreErrorKind.UNKNOWN if was_sent else StoreErrorKind.NOT_DONE
    return StoreError(kind, reason)


class KeyValue(msgspec.Struct, frozen=True):
    """A key with its value.

    Attributes:
        key: The key, without the prefix of the deployment.
        value: The value.
        revision: Revision of the last change.
    """

    key: str
    value: bytes
    revision: int


class Snapshot(msgspec.Struct, frozen=True):
    """Keys as of one moment.

    Attributes:
        revision: Revision of the store.
        items: The keys in order.
    """

    revision: int
    items: list[KeyValue]


class Swap(msgspec.Struct, frozen=True):
    """A write on condition that the key has not changed.

    Attributes:
        key: The key.
        value: The new value, or None to delete the key.
        expected: Revision that the key must have; `ABSENT` creates it.
        lease: Lease with which the key ends, 0 for none.
    """

    key: str
    value: bytes | None
    expected: int
    lease: int = 0


class Commit(msgspec.Struct, frozen=True):
    """The answer to a group of swaps, all of which happen or none.

    Attributes:
        succeeded: True if they happened.
        revision: Revision of the store.
        current: The keys as they are, if they did not.
    """

    succeeded: bool
    revision: int
    current: list[KeyValue]


class Store(Protocol):
    """The platform's service; every call counts against its rates."""

    def read(
        self, prefix: str, may_be_stale: bool = False
    ) -> Result[Snapshot, StoreError]:
        """Reads all keys with a prefix; old values if they may be stale."""
        ...

    def commit(self, swaps: Sequence[Swap]) -> Result[Commit, StoreError]:
        """Writes a group of keys if none of them has changed."""
        ...

    def delete_before(self, prefix: str, end: str) -> Result[int, StoreError]:
        """Deletes the keys with a prefix that sort before another key."""
        ...

    def grant_lease(self, ttl_s: int) -> Result[int, StoreError]:
        """Grants a lease; returns its id."""
        ...

    def keep_lease(self, lease: int) -> Result[bool, StoreError]:
        """Renews a lease; returns False if it has lapsed."""
        ...

    def revoke_lease(self, lease: int) -> Result[None, StoreError]:
        """Ends a lease and its keys."""
        ...

    def watch(
        self,
        prefix: str,
        from_revision: int,
        on_change: Callable[[int], bool],
        timeout_s: float,
        should_abort: Callable[[], bool],
    ) -> Result[None, StoreError]:
        """Waits for changes of keys with a prefix.

        Args:
            prefix: The prefix.
            from_revision: First revision of interest.
            on_change: Called with the revision of each change, and with 0
                once the watch stands; returns False to end the watch.
            timeout_s: Longest time to watch, in seconds.
            should_abort: Asked about once a second; returns True to end the
                watch.
        """
        ...
