"""The platform's key-value service, behind a narrow port."""

from sardinestair.store.port import (
    Commit,
    KeyValue,
    Snapshot,
    Store,
    StoreError,
    StoreErrorKind,
    Swap,
)

__all__ = [
    "Commit",
    "KeyValue",
    "Snapshot",
    "Store",
    "StoreError",
    "StoreErrorKind",
    "Swap",
]
