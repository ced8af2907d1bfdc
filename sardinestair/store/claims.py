"""Claims that make an entry the only one to run an unrepeatable job.

An entry claims such a job in the store before it starts it. A claim is a key
that can be created only once. Pending claims are written together in one
transaction, a group commit as for transactional snapshot writes (see
docs/DESIGN.md). Their keys are grouped by the minute in the job's id, so that
old claims can be deleted as one key range.
"""

import enum
import os
import threading
import time
from collections import OrderedDict, deque
from collections.abc import Callable

import msgspec

from sardinestair.clock import Clock
from sardinestair.ids import Incarnation, JobId, job_id_time_s
from sardinestair.messages import DECODE_ERRORS
from sardinestair.observability import EventLog, Metrics
from sardinestair.store.port import (
    ABSENT_REVISION,
    CommitResult,
    KeyValue,
    Store,
    StoreError,
    StoreErrorKind,
    Swap,
)

__all__ = [
    "Claim",
    "ClaimOutcome",
    "ClaimWriter",
    "claim_key",
    "delete_old_claims",
]

SECONDS_PER_MINUTE = 60
MAX_GROUP_SIZE = 100
RETRY_DELAY_S = 0.05
NONCE_BYTES = 8
MAX_REUSABLE_CLAIMS = 20_000
CLAIMS_PREFIX = "claims/"


class Claim(msgspec.Struct, frozen=True):
    """Value of a claim's key.

    Attributes:
        entry: Incarnation of the claiming entry, in hexadecimal.
        nonce: Random number of this claim attempt, in hexadecimal.
        http_address: Base URL of the claiming entry's HTTP API.
    """

    entry: str
    nonce: str
    http_address: str


UNREADABLE_CLAIM = Claim("", "", "")
"""Stands for a claim that can't be decoded."""


class ClaimOutcome(enum.Enum):
    """Result of an attempt to claim a job.

    OWNED is a claim by this attempt, HELD one by another attempt. UNAVAILABLE
    means that the store did not answer in time.
    """

    OWNED = "owned"
    HELD = "held"
    UNAVAILABLE = "unavailable"


ClaimCallback = Callable[[ClaimOutcome, Claim | None], None]


class PendingClaim(msgspec.Struct):
    """A claim that has yet to be written.

    Attributes:
        job_id: Id of the job.
        claim: Value to write.
        deadline_s: Time after which it is not retried, on the entry's clock.
        callback: Called with the result.
        in_doubt: True if an earlier write may have taken effect.
    """

    job_id: JobId
    claim: Claim
    deadline_s: float
    callback: ClaimCallback
    in_doubt: bool = False


def claim_key(job_id: JobId) -> str:
    """Returns the key of a job's claim.

    Examples:
        >>> claim_key(JobId(bytes(16)))
        'claims/0000000000/00000000000000000000000000000000'
    """
    minute = int(job_id_time_s(job_id)) // SECONDS_PER_MINUTE
    return f"{CLAIMS_PREFIX}{minute:010d}/{job_id.hex()}"


def delete_old_claims(store: Store, now_s: float, retention_s: float) -> int:
    """Deletes the claims of jobs whose ids are too old to be resubmitted.

    Args:
        store: Key-value store that holds the claims.
        now_s: Current time, in seconds since the Unix epoch.
        retention_s: Age from which a job's id is refused, in seconds.

    Returns:
        Number of deleted claims; 0 if the store did not answer.
    """
    # One extra minute allows for clock differences between machines.
    minute = int(now_s - retention_s) // SECONDS_PER_MINUTE - 1
    deleted = store.delete_before(
        CLAIMS_PREFIX, f"{CLAIMS_PREFIX}{minute:010d}/"
    )
    return deleted.ok if deleted.is_ok() else 0


class ClaimWriter:
    """Writes claims in groups and retries writes whose answer was lost.

    A retry carries the same nonce, so that a claim whose answer was lost is
    recognised as one's own. If the writer gives up on such a claim, the job
    is refused as not run, although the claim may exist or may still be
    created. The writer therefore keeps the claim, and a resubmission of the
    job to this process reuses it. Kept claims are lost when the process ends.

    Args:
        store: Key-value store that holds the claims.
        entry: Incarnation of the entry.
        http_address: Returns the base URL of the entry's HTTP API.
        clock: Clock for the wait limit.
        metrics: Metrics of the process.
        wait_s: Longest wait for the store, in seconds.
        max_group_size: Maximum number of claims in one write.
        on_first_claim: Called before the first claim is queued.

    Attributes:
        pending: Claims to write, oldest first.
        reusable_claims: Claims that exist or may exist in the store though
            their job has not run, by job.
    """

    def __init__(
        self,
        store: Store,
        entry: Incarnation,
        http_address: Callable[[], str],
        clock: Clock,
        metrics: Metrics,
        wait_s: float = 2.0,
        max_group_size: int = MAX_GROUP_SIZE,
        on_first_claim: Callable[[], object] = lambda: None,
    ):
        self.store = store
        self.entry = entry
        self.http_address = http_address
        self.clock = clock
        self.metrics = metrics
        self.wait_s = wait_s
        self.max_group_size = max_group_size
        self.on_first_claim = on_first_claim
        self.has_claimed = False
        self.pending: deque[PendingClaim] = deque()
        self.reusable_claims: OrderedDict[JobId, Claim] = OrderedDict()
        self.condition = threading.Condition()
        self.stopping = False
        self.log = EventLog("claims")

    def submit(self, job_id: JobId, callback: ClaimCallback) -> None:
        """Queues a claim; the callback is called in the writer's thread."""
        if not self.has_claimed:
            self.has_claimed = True
            self.on_first_claim()
        with self.condition:
            claim = self.reusable_claims.pop(job_id, None) or self._new_claim()
            deadline_s = self.clock.monotonic() + self.wait_s
            self.pending.append(
                PendingClaim(job_id, claim, deadline_s, callback)
            )
            self.condition.notify()

    def keep_for_resubmission(self, job_id: JobId, claim: Claim) -> None:
        """Keeps the claim of a job that has not run, for a resubmission."""
        with self.condition:
            self.reusable_claims[job_id] = claim
            while len(self.reusable_claims) > MAX_REUSABLE_CLAIMS:
                self.reusable_claims.popitem(last=False)

    def run(self) -> None:
        """Writes claims until `stop` is called."""
        while not self.stopping:
            with self.condition:
                while not self.pending and not self.stopping:
                    self.condition.wait()
                count = min(len(self.pending), self.max_group_size)
                group = [self.pending.popleft() for _ in range(count)]
            if group:
                self.write_group(group)

    def stop(self) -> None:
        """Makes `run` return."""
        with self.condition:
            self.stopping = True
            self.condition.notify_all()

    def write_group(self, group: list[PendingClaim]) -> None:
        """Writes one group of claims and reports the results.

        Claims without a result are returned to the head of the queue.
        """
        swaps = [
            Swap(
                claim_key(p.job_id),
                msgspec.json.encode(p.claim),
                ABSENT_REVISION,
            )
            for p in group
        ]
        answer = self.store.commit(swaps)
        self.metrics.count("claim_writes_total", {})
        if answer.is_error():
            self._handle_error(group, answer.error)
            return
        self._report_results(group, answer.ok)

    def _report_results(
        self, group: list[PendingClaim], commit: CommitResult
    ) -> None:
        existing = {
            item.key: self._decode_claim(item) for item in commit.current
        }
        remaining = []
        for pending in group:
            claim = existing.get(claim_key(pending.job_id))
            if commit.succeeded or claim == pending.claim:
                pending.callback(ClaimOutcome.OWNED, pending.claim)
            elif claim is not None:
                pending.callback(ClaimOutcome.HELD, claim)
            else:
                # The transaction failed because of another claim in the group.
                remaining.append(pending)
        self._requeue(remaining)

    def _decode_claim(self, item: KeyValue) -> Claim:
        try:
            return msgspec.json.decode(item.value, type=Claim)
        except DECODE_ERRORS as error:
            # Somebody holds the job, but it is unknown who.
            self.log.warning(
                "claim_unreadable", key=item.key, reason=str(error)
            )
            return UNREADABLE_CLAIM

    def _handle_error(
        self, group: list[PendingClaim], error: StoreError
    ) -> None:
        now_s = self.clock.monotonic()
        self.log.warning("claims_unanswered", reason=error.reason)
        remaining = []
        for pending in group:
            pending.in_doubt |= error.kind is StoreErrorKind.UNKNOWN
            if now_s < pending.deadline_s:
                remaining.append(pending)
                continue
            if pending.in_doubt:
                self.keep_for_resubmission(pending.job_id, pending.claim)
            pending.callback(ClaimOutcome.UNAVAILABLE, None)
        self._requeue(remaining)
        if remaining:
            time.sleep(RETRY_DELAY_S)

    def _requeue(self, remaining: list[PendingClaim]) -> None:
        with self.condition:
            self.pending.extendleft(reversed(remaining))

    def _new_claim(self) -> Claim:
        nonce = os.urandom(NONCE_BYTES).hex()
        return Claim(self.entry.hex(), nonce, self.http_address())
