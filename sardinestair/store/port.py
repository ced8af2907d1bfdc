"""Interface to the platform's key-value store."""

import enum
from collections.abc import Callable, Sequence
from typing import Protocol

import msgspec
from expression import Result

__all__ = [
    "ABSENT_REVISION",
    "CommitResult",
    "KeyValue",
    "Snapshot",
    "Store",
    "StoreError",
    "StoreErrorKind",
    "Swap",
    "no_answer_error",
]

ABSENT_REVISION = 0
"""Revision of a key that does not exist."""


class StoreErrorKind(enum.Enum):
    """Whether a failed call may have taken effect."""

    NOT_DONE = "not_done"
    UNKNOWN = "unknown"


class StoreError(msgspec.Struct, frozen=True):
    """A call without a usable answer.

    Attributes:
        kind: UNKNOWN if a write may have taken effect or may still do so.
        reason: Description of the failure.
    """

    kind: StoreErrorKind
    reason: str


def no_answer_error(reason: str, was_sent: bool) -> StoreError:
    """Returns the error for a call that was not answered.

    Args:
        reason: Description of the failure.
        was_sent: True if any part of the request may have reached the store.
    """
    kind = StoreErrorKind.UNKNOWN if was_sent else StoreErrorKind.NOT_DONE
    return StoreError(kind, reason)


class KeyValue(msgspec.Struct, frozen=True):
    """A key with its value.

    Attributes:
        key: Key without the prefix of the deployment.
        value: Value.
        revision: Revision of the key's last change.
    """

    key: str
    value: bytes
    revision: int


class Snapshot(msgspec.Struct, frozen=True):
    """Result of a range read.

    Attributes:
        revision: Revision of the store at the time of the read.
        items: Keys with their values, in key order.
    """

    revision: int
    items: list[KeyValue]


class Swap(msgspec.Struct, frozen=True):
    """A compare-and-swap write of one key.

    Attributes:
        key: Key to write.
        value: New value, or None to delete the key.
        expected_revision: Revision that the key must have; `ABSENT_REVISION`
            requires that the key does not exist.
        lease_id: Id of the lease that the key is bound to, 0 for none.
    """

    key: str
    value: bytes | None
    expected_revision: int
    lease_id: int = 0


class CommitResult(msgspec.Struct, frozen=True):
    """Result of a transaction.

    Attributes:
        succeeded: True if all swaps were applied, False if none was.
        revision: Revision of the store after a successful transaction.
        current: Keys of the swaps with their current values if the
            transaction failed; keys that do not exist are left out.
    """

    succeeded: bool
    revision: int
    current: list[KeyValue]


class Store(Protocol):
    """Key-value store; each call counts against the platform's rate limits."""

    def read(
        self, prefix: str, may_be_stale: bool = False
    ) -> Result[Snapshot, StoreError]:
        """Reads all keys with a prefix.

        Args:
            prefix: Prefix of the keys.
            may_be_stale: Whether an outdated answer is acceptable.
        """
        ...

    def commit(self, swaps: Sequence[Swap]) -> Result[CommitResult, StoreError]:
        """Applies all swaps in one transaction, or none if a key has changed.

        Args:
            swaps: Writes of the transaction.
        """
        ...

    def delete_before(self, prefix: str, end: str) -> Result[int, StoreError]:
        """Deletes a range of keys and returns their number.

        Args:
            prefix: Prefix of the keys.
            end: Key that ends the range, exclusive.
        """
        ...

    def grant_lease(self, ttl_s: int) -> Result[int, StoreError]:
        """Grants a lease and returns its id."""
        ...

    def renew_lease(self, lease_id: int) -> Result[bool, StoreError]:
        """Renews a lease; returns False if it has expired."""
        ...

    def revoke_lease(self, lease_id: int) -> Result[None, StoreError]:
        """Revokes a lease, which deletes the keys that are bound to it."""
        ...

    def watch(
        self,
        prefix: str,
        from_revision: int,
        on_change: Callable[[int], bool],
        timeout_s: float,
        should_abort: Callable[[], bool],
    ) -> Result[None, StoreError]:
        """Watches for changes of keys with a prefix.

        Args:
            prefix: Prefix of the keys.
            from_revision: Revision from which changes are reported.
            on_change: Called with the revision of each change, and with 0
                once the watch is established; returns False to end the watch.
            timeout_s: Maximum duration of the watch, in seconds.
            should_abort: Called about once a second; returns True to end the
                watch.
        """
        ...
