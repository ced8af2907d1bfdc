"""Evacuated availability zones in the store, outside the users' platform."""

import datetime
from collections.abc import Callable

import msgspec
from expression import Error, Ok, Result

from sardinestair.clock import Clock
from sardinestair.observability import EventLog
from sardinestair.outcomes import Problem, ProblemKind
from sardinestair.store.port import (
    ABSENT_REVISION,
    Snapshot,
    Store,
    StoreError,
    Swap,
)
from sardinestair.store.worker import StoreWorker

__all__ = [
    "EVACUATIONS_PREFIX",
    "EvacuationFollower",
    "EvacuationRecord",
    "EvacuationWriter",
]

EVACUATIONS_PREFIX = "evacuations/"
READ_INTERVAL_S = 1.0


class EvacuationRecord(msgspec.Struct, frozen=True):
    """Value of the key of an evacuated zone.

    Attributes:
        author: Who requested the evacuation.
        time: When it was requested, in UTC.
    """

    author: str
    time: datetime.datetime


class EvacuationWriter:
    """Begins and ends evacuations at the request of operators.

    Args:
        store: Key-value store that holds the records.
        clock: Clock for timestamps.
    """

    def __init__(self, store: Store, clock: Clock):
        self.store = store
        self.clock = clock

    def begin(self, zone: str, author: str) -> Result[bool, Problem]:
        """Evacuates a zone.

        Returns:
            True if the zone was not evacuated before, or the problem.
        """
        record = EvacuationRecord(author, self.clock.now())
        value = msgspec.json.encode(record)
        swap = Swap(EVACUATIONS_PREFIX + zone, value, ABSENT_REVISION)
        return self._commit(swap)

    def end(self, zone: str) -> Result[bool, Problem]:
        """Ends the evacuation of a zone.

        Returns:
            True if the zone was evacuated before, or the problem.
        """
        found = self.store.read(EVACUATIONS_PREFIX + zone)
        if found.is_error():
            return Error(_unanswered(found.error))
        for item in found.ok.items:
            if item.key == EVACUATIONS_PREFIX + zone:
                return self._commit(Swap(item.key, None, item.revision))
        return Ok(False)

    def _commit(self, swap: Swap) -> Result[bool, Problem]:
        done = self.store.commit([swap])
        return done.map(lambda result: result.succeeded).map_error(_unanswered)


class EvacuationFollower(StoreWorker):
    """Reads the evacuated zones periodically.

    Args:
        store: Key-value store that holds the records.
        on_snapshot: Called with each snapshot of the records.
        interval_s: Time between two reads, in seconds.
    """

    def __init__(
        self,
        store: Store,
        on_snapshot: Callable[[Snapshot], object],
        interval_s: float = READ_INTERVAL_S,
    ):
        super().__init__()
        self.store = store
        self.on_snapshot = on_snapshot
        self.interval_s = interval_s
        self.log = EventLog("evacuation")

    def run_once(self) -> float:
        """Reads once; returns the time between two reads."""
        self.refresh()
        return self.interval_s

    def refresh(self) -> None:
        """Reads once; without an answer the last snapshot stays in force."""
        found = self.store.read(EVACUATIONS_PREFIX)
        if found.is_error():
            self.log.warning("store_unanswered", reason=found.error.reason)
            return
        self.on_snapshot(found.ok)


def _unanswered(error: StoreError) -> Problem:
    return Problem(
        ProblemKind.UNAVAILABLE,
        f"the store did not answer, so the change may or may not have been "
        f"made; repeating it is safe: {error.reason}",
        not_run=False,
        retry_after_s=1.0,
    )
