"""Which entry owns each job, as far as this entry has been informed."""

import math
from collections import OrderedDict, deque
from collections.abc import Callable, Iterable

import msgspec

from sardinestair.ids import JobId, pack_job_id, unpack_job_id
from sardinestair.messages import MAX_GENERATION, OwnershipBatch

__all__ = ["JobDirectory", "OwnershipRecord"]

MAX_KEPT = 100_000
_COMPLETE = 0x80


class OwnershipRecord(msgspec.Struct):
    """The owner of a job: the only entry that may run it.

    Attributes:
        owner: Membership endpoint of the owner.
        generation: How often the job has changed its owner. Of two records,
            that with the higher generation holds.
        is_complete: True if the job is complete.
        added_s: When the record was added or last changed, in seconds.
        not_before_s: Time until which runs of an earlier owner may be active.
        position: Position in the own log; -1 for jobs of other entries.
        active_s: When the owner has last replied that the job was active.
    """

    owner: str
    generation: int = 0
    is_complete: bool = False
    added_s: float = 0.0
    not_before_s: float = 0.0
    position: int = -1
    active_s: float = -math.inf

    def holds_against(self, other: "OwnershipRecord") -> bool:
        """Returns True if this record replaces another one of the same job.

        All entries decide alike, whatever the order in which the records reach
        them.
        """
        if self.is_complete != other.is_complete:
            return self.is_complete
        if self.generation != other.generation:
            return self.generation > other.generation
        return self.owner < other.owner


class JobDirectory:
    """Owners of the jobs that have been submitted lately, at any entry.

    A job belongs to the entry that has accepted it first. Another entry may
    run it only after it has become its owner.

    Args:
        retention_s: Time for which a record is kept, in seconds.
        runs_end_s: Time after which the runs of a lost entry have ended, in
            seconds.

    Attributes:
        own_endpoint: Membership endpoint of this entry.
        records: The records by job, the latest last.
        log: Own records in the order of their addition: the job's id, the
            state and the time.
        base: Position of the first one in the log.
        sent: Position up to which records have been sent to any entry.
        on_added: Called when an own record has been added; with True if other
            entries need it at once.

    Examples:
        >>> directory = JobDirectory(retention_s=15.0)
        >>> directory.own_endpoint = "10.0.0.1:1"
        >>> job_id = JobId(b"j" * 16)
        >>> directory.add_own(job_id, now_s=0.0)
        >>> directory.is_elsewhere(job_id)
        False
        >>> batch = OwnershipBatch("10.0.0.2:1", [job_id], bytes([1]))
        >>> directory.observe(batch, now_s=0.0)
        [b'jjjjjjjjjjjjjjjj']
        >>> directory.is_elsewhere(job_id)
        True
    """

    def __init__(self, retention_s: float, runs_end_s: float = 0.0):
        self.retention_s = retention_s
        self.runs_end_s = runs_end_s
        self.own_endpoint = ""
        self.records: OrderedDict[JobId, OwnershipRecord] = OrderedDict()
        self.log: deque[tuple[JobId, int, float]] = deque()
        self.base = 0
        self.sent = 0
        self.on_added: Callable[[bool], None] = lambda _is_urgent: None

    def find(self, job_id: JobId) -> OwnershipRecord | None:
        """Returns the record of a job, or None."""
        return self.records.get(job_id)

    def is_elsewhere(self, job_id: JobId) -> bool:
        """Returns True if another entry owns the job."""
        record = self.records.get(job_id)
        return record is not None and record.owner != self.own_endpoint

    def add_own(
        self,
        job_id: JobId,
        now_s: float,
        generation: int = 0,
        not_before_s: float = 0.0,
    ) -> None:
        """Records that this entry owns a job.

        Args:
            job_id: The job's id.
            now_s: Current time in seconds.
            generation: The generation; a known own record keeps its own if
                that is as high.
            not_before_s: Time until which runs of an earlier owner may be
                active.
        """
        known = self.records.get(job_id)
        if known is not None and known.owner == self.own_endpoint:
            if generation <= known.generation:
                return
            known.position = -1
        record = OwnershipRecord(
            self.own_endpoint,
            min(generation, MAX_GENERATION),
            False,
            now_s,
            not_before_s,
        )
        self._set(job_id, record)
        self._append(job_id, record)
        self.evict(now_s)
        # Others have to know soon if the job was theirs before.
        self.on_added(generation > 0)

    def complete_own(
        self, job_id: JobId, now_s: float, is_awaited: bool = False
    ) -> None:
        """Records that a job of this entry is complete.

        Args:
            job_id: The job's id.
            now_s: Current time in seconds.
            is_awaited: True if callers of other entries wait for the job.
        """
        record = self.records.get(job_id)
        if record is None or record.owner != self.own_endpoint:
            return
        record.is_complete = True
        record.added_s = now_s
        self.records.move_to_end(job_id)
        index = record.position - self.base
        if index >= 0 and record.position >= self.sent:
            self.log[index] = (job_id, _state_of(record), now_s)
        else:
            self._append(job_id, record)
        self.on_added(is_awaited)

    def grant(
        self, job_id: JobId, owner: str, generation: int, now_s: float
    ) -> None:
        """Records that another entry has become the owner of a job."""
        self._set(job_id, OwnershipRecord(owner, generation, False, now_s))

    def observe(self, batch: OwnershipBatch, now_s: float) -> list[JobId]:
        """Merges records of another entry.

        Returns:
            The jobs that this entry owned until now.
        """
        lost: list[JobId] = []
        for packed, state in zip(batch.ids, batch.states, strict=True):
            job_id = unpack_job_id(packed)
            record = OwnershipRecord(
                batch.owner,
                state & MAX_GENERATION,
                bool(state & _COMPLETE),
                now_s,
            )
            known = self.records.get(job_id)
            if known is not None and not record.holds_against(known):
                continue
            is_own = known is not None and known.owner == self.own_endpoint
            if is_own and batch.owner != self.own_endpoint:
                lost.append(job_id)
            if batch.owner == self.own_endpoint and record.generation:
                # Of an earlier incarnation of this entry.
                record.not_before_s = now_s + self.runs_end_s
            self._set(job_id, record)
        self.evict(now_s)
        return lost

    def own_since(self, position: int, count: int) -> OwnershipBatch:
        """Returns own records from a position of the log on.

        Args:
            position: Position of the first one.
            count: Maximum number.
        """
        first = min(max(position, self.base), self.end)
        last = min(first + count, self.end)
        rows = [
            self.log[index][:2]
            for index in range(first - self.base, last - self.base)
        ]
        self.sent = max(self.sent, last)
        return _make_batch(self.own_endpoint, rows, first, self.base)

    def records_of(self, owners: Iterable[str]) -> list[OwnershipBatch]:
        """Returns the records of other entries that can't send them."""
        rows: dict[str, list[tuple[JobId, int]]] = {o: [] for o in owners}
        for job_id, record in self.records.items():
            if record.owner in rows:
                rows[record.owner].append((job_id, _state_of(record)))
        return [_make_batch(owner, r) for owner, r in rows.items() if r]

    @property
    def owners(self) -> set[str]:
        """Endpoints of all owners."""
        return {record.owner for record in self.records.values()}

    @property
    def end(self) -> int:
        """Position after the latest own record."""
        return self.base + len(self.log)

    def evict(self, now_s: float) -> None:
        """Forgets records over the retention or the maximum number."""
        while self.records:
            job_id, record = next(iter(self.records.items()))
            is_expired = now_s - record.added_s >= self.retention_s
            if not is_expired and len(self.records) <= MAX_KEPT:
                break
            del self.records[job_id]
        while self.log and now_s - self.log[0][2] >= self.retention_s:
            self.log.popleft()
            self.base += 1

    def _set(self, job_id: JobId, record: OwnershipRecord) -> None:
        self.records[job_id] = record
        self.records.move_to_end(job_id)

    def _append(self, job_id: JobId, record: OwnershipRecord) -> None:
        record.position = self.end
        self.log.append((job_id, _state_of(record), record.added_s))


def _state_of(record: OwnershipRecord) -> int:
    return record.generation | (_COMPLETE if record.is_complete else 0)


def _make_batch(
    owner: str, rows: list[tuple[JobId, int]], first: int = -1, base: int = 0
) -> OwnershipBatch:
    ids = [pack_job_id(job_id) for job_id, _ in rows]
    states = bytes(state for _, state in rows)
    return OwnershipBatch(owner, ids, states, first, base)
