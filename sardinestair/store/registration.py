"""Registers an entry in the store under a lease and reads all entries."""

from collections.abc import Callable

import msgspec
from expression import Result

from sardinestair.endpoints import check_endpoint
from sardinestair.messages import DECODE_ERRORS
from sardinestair.observability import EventLog
from sardinestair.store.port import (
    ABSENT_REVISION,
    KeyValue,
    Store,
    StoreError,
    Swap,
)
from sardinestair.store.worker import StoreWorker

__all__ = ["EntryRecord", "Registration", "read_entries"]

ENTRIES_PREFIX = "entries/"
LEASE_TTL_S = 10
RENEWAL_INTERVAL_S = 3.0

_log = EventLog("registration")


class EntryRecord(msgspec.Struct, frozen=True):
    """Value of an entry's key.

    Attributes:
        entry: Incarnation of the entry, in hexadecimal.
        endpoint: Membership endpoint, host:port.
        http_address: Base URL of the entry's HTTP API.
    """

    entry: str
    endpoint: str
    http_address: str

    def __post_init__(self) -> None:
        """Checks the endpoint.

        Raises:
            ValueError: If it is not host:port.
        """
        check_endpoint(self.endpoint)


def read_entries(
    store: Store, may_be_stale: bool = False
) -> Result[list[EntryRecord], StoreError]:
    """Reads the registered entries; records that can't be decoded are skipped.

    Args:
        store: Key-value store that holds the records.
        may_be_stale: Whether an outdated answer is acceptable.
    """
    result = store.read(ENTRIES_PREFIX, may_be_stale)
    return result.map(lambda snapshot: _decode_records(snapshot.items))


def _decode_records(items: list[KeyValue]) -> list[EntryRecord]:
    records = []
    for item in items:
        try:
            records.append(msgspec.json.decode(item.value, type=EntryRecord))
        except DECODE_ERRORS as error:
            _log.warning("record_unreadable", key=item.key, reason=str(error))
    return records


class Registration(StoreWorker):
    """Keeps an entry registered.

    An expired lease is replaced by a new one. While the store is unavailable,
    the entry continues to run and the registration is retried.

    Args:
        store: Key-value store that holds the records.
        record: Record to register.
        on_records: Called with all registered entries after each renewal.
        interval_s: Time between two renewals, in seconds.

    Attributes:
        lease_id: Id of the current lease, 0 if there is none.
    """

    def __init__(
        self,
        store: Store,
        record: EntryRecord,
        on_records: Callable[[list[EntryRecord]], object],
        interval_s: float = RENEWAL_INTERVAL_S,
    ):
        super().__init__()
        self.interval_s = interval_s
        self.store = store
        self.record = record
        self.on_records = on_records
        self.lease_id = 0
        self.log = EventLog("registration")

    def run_once(self) -> float:
        """Renews the registration; returns the time between two renewals."""
        self.renew()
        return self.interval_s

    def finish(self) -> None:
        """Ends the registration."""
        if self.lease_id:
            self.store.revoke_lease(self.lease_id)

    def renew(self) -> None:
        """Renews the lease or requests a new one, and reads all entries."""
        if self.lease_id:
            renewed = self.store.renew_lease(self.lease_id)
            if renewed.is_ok() and not renewed.ok:
                self.log.warning("lease_lapsed", lease=self.lease_id)
                self.lease_id = 0
        if not self.lease_id:
            self._register()
        entries = read_entries(self.store)
        if entries.is_error():
            self.log.warning("store_unanswered", reason=entries.error.reason)
            return
        if self.lease_id and self.record not in entries.ok:
            # The store has deleted the key although the lease still exists.
            self.log.warning("registration_gone", lease=self.lease_id)
            self._register()
        self.on_records(entries.ok)

    def _register(self) -> None:
        granted = self.store.grant_lease(LEASE_TTL_S)
        if granted.is_error():
            self.log.warning("store_unanswered", reason=granted.error.reason)
            return
        key = ENTRIES_PREFIX + self.record.entry
        existing = self.store.read(key)
        if existing.is_error():
            return
        expected = (
            existing.ok.items[0].revision
            if existing.ok.items
            else ABSENT_REVISION
        )
        value = msgspec.json.encode(self.record)
        written = self.store.commit([Swap(key, value, expected, granted.ok)])
        if written.is_ok() and written.ok.succeeded:
            self.lease_id = granted.ok
            self.log.info("entry_registered", lease=self.lease_id)
