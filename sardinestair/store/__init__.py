"""Access to the platform's key-value store through a small interface."""

from sardinestair.store.port import (
    CommitResult,
    KeyValue,
    Snapshot,
    Store,
    StoreError,
    StoreErrorKind,
    Swap,
)

__all__ = [
    "CommitResult",
    "KeyValue",
    "Snapshot",
    "Store",
    "StoreError",
    "StoreErrorKind",
    "Swap",
]
