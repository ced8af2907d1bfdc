"""Client of the platform's metadata store."""

import base64
from collections.abc import Callable, Sequence
from typing import TypeVar
from urllib.parse import urlencode

import msgspec
from expression import Error, Ok, Result

from sardinestair.messages import DECODE_ERRORS
from sardinestair.observability import EventLog
from sardinestair.platform.wire import (
    LeaseReply,
    LeaseRequest,
    Precondition,
    PutOperation,
    RangeReply,
    StoreItem,
    TransactionReply,
    TransactionRequest,
    WatchReply,
)
from sardinestair.store.port import (
    CommitResult,
    KeyValue,
    Snapshot,
    StoreError,
    StoreErrorKind,
    Swap,
    no_answer_error,
)
from sardinestair.transfer import Reply, ThreadLocalTransfers, TransferFailure

__all__ = ["PlatformStore"]

T = TypeVar("T")
_log = EventLog("store")

JSON_HEADERS = ("Content-Type: application/json",)
MS_PER_S = 1000
# The platform limits a transaction to this number of keys.
MAX_SWAPS = 32
# Duration of one long poll. A connection that breaks silently is detected
# after this time plus the timeout of a call.
LONG_POLL_S = 0.5
# Statuses which guarantee that a call has had no effect.
NO_EFFECT_STATUSES = frozenset({400, 403, 429, 503})


class PlatformStore:
    """Implements `Store` on the platform's metadata store.

    Thread-safe; each thread uses its own connection.

    Args:
        address: Address of the store, host:port.
        timeout_s: Timeout of one call, in seconds.

    Examples:
        >>> store = PlatformStore("127.0.0.1:9")
        >>> store.read("entries/").error.kind
        <StoreErrorKind.NOT_DONE: 'not_done'>
    """

    def __init__(self, address: str, timeout_s: float = 1.0):
        self.address = address
        self.timeout_s = timeout_s
        self.transfers = ThreadLocalTransfers()

    def read(
        self, prefix: str, may_be_stale: bool = False
    ) -> Result[Snapshot, StoreError]:
        """Reads all pages of the keys with a prefix; see `Store.read`."""
        items: list[KeyValue] = []
        # A change between two pages may be missing from the earlier one.
        revisions: list[int] = []
        query = {"prefix": prefix}
        if may_be_stale:
            query["stale_ok"] = "1"
        while True:
            reply = self._call("GET", "/kv-range?" + urlencode(query))
            page = _decode_reply(reply, RangeReply)
            if page.is_error():
                return Error(page.error)
            items += to_key_values(page.ok.items)
            revisions.append(page.ok.store_revision)
            if not page.ok.more_pages or not page.ok.items:
                return Ok(Snapshot(min(revisions), items))
            query["after"] = page.ok.items[-1].key

    def commit(self, swaps: Sequence[Swap]) -> Result[CommitResult, StoreError]:
        """Applies all swaps in one transaction; see `Store.commit`."""
        if len(swaps) > MAX_SWAPS:
            return Error(
                StoreError(
                    StoreErrorKind.NOT_DONE,
                    f"expected 1 to {MAX_SWAPS} swaps, got {len(swaps)}",
                )
            )
        request = TransactionRequest(
            [Precondition(swap.key, swap.expected_revision) for swap in swaps],
            [
                PutOperation(swap.key, _encode_value(swap.value), swap.lease_id)
                for swap in swaps
                if swap.value is not None
            ],
            [swap.key for swap in swaps if swap.value is None],
        )
        reply = self._call("POST", "/kv-txn", request)
        if isinstance(reply, Reply) and reply.status == 412:
            return _decode_body(reply, TransactionReply).map(
                lambda body: CommitResult(False, 0, to_key_values(body.items))
            )
        return _decode_reply(reply, TransactionReply).map(
            lambda body: CommitResult(True, body.revision, [])
        )

    def delete_before(self, prefix: str, end: str) -> Result[int, StoreError]:
        """Deletes a range of keys; see `Store.delete_before`."""
        result = self.read(prefix)
        if result.is_error():
            return Error(result.error)
        outdated = [item for item in result.ok.items if item.key < end]
        for start in range(0, len(outdated), MAX_SWAPS):
            batch = outdated[start : start + MAX_SWAPS]
            swaps = [Swap(item.key, None, item.revision) for item in batch]
            committed = self.commit(swaps)
            if committed.is_error():
                return Error(committed.error)
        return Ok(len(outdated))

    def grant_lease(self, ttl_s: float) -> Result[int, StoreError]:
        """Grants a lease and returns its id."""
        request = LeaseRequest(int(ttl_s * MS_PER_S))
        reply = self._call("POST", "/kv-lease", request)
        return _decode_reply(reply, LeaseReply).map(lambda body: body.lease)

    def renew_lease(self, lease_id: int) -> Result[bool, StoreError]:
        """Renews a lease; returns False if it has expired."""
        reply = self._call("POST", f"/kv-keep/{lease_id}")
        if isinstance(reply, Reply) and reply.status in (200, 404):
            return Ok(reply.status == 200)
        return Error(_to_error(reply))

    def revoke_lease(self, lease_id: int) -> Result[None, StoreError]:
        """Revokes a lease, which deletes the keys that are bound to it."""
        reply = self._call("DELETE", f"/kv-lease-end/{lease_id}")
        if isinstance(reply, Reply) and reply.status in (200, 404):
            return Ok(None)
        return Error(_to_error(reply))

    def watch(
        self,
        prefix: str,
        from_revision: int,
        on_change: Callable[[int], bool],
        timeout_s: float,
        should_abort: Callable[[], bool],
    ) -> Result[None, StoreError]:
        """Watches keys with a prefix by long polling; see `Store.watch`."""
        after = from_revision - 1
        polls = max(1, round(timeout_s / LONG_POLL_S))
        for _ in range(polls):
            if should_abort():
                break
            query = urlencode(
                {
                    "prefix": prefix,
                    "after": after,
                    "wait_ms": int(LONG_POLL_S * MS_PER_S),
                }
            )
            call_timeout_s = LONG_POLL_S + self.timeout_s
            reply = self._call(
                "GET", "/kv-watch?" + query, None, call_timeout_s
            )
            result = _decode_reply(reply, WatchReply)
            if result.is_error():
                return Error(result.error)
            revisions = [event.revision for event in result.ok.events]
            if not on_change(max(revisions, default=0)):
                break
            after = max(after, result.ok.store_revision)
        return Ok(None)

    def _call(
        self,
        method: str,
        path: str,
        request: msgspec.Struct | None = None,
        timeout_s: float | None = None,
    ) -> Reply | TransferFailure:
        body = b"" if request is None else msgspec.json.encode(request)
        return self.transfers.current.perform(
            method,
            f"http://{self.address}{path}",
            body,
            timeout_s or self.timeout_s,
            JSON_HEADERS,
        )


def _decode_reply(
    reply: Reply | TransferFailure, reply_type: type[T]
) -> Result[T, StoreError]:
    if not isinstance(reply, Reply) or reply.status != 200:
        return Error(_to_error(reply))
    return _decode_body(reply, reply_type)


def _decode_body(reply: Reply, reply_type: type[T]) -> Result[T, StoreError]:
    try:
        return Ok(msgspec.json.decode(reply.body, type=reply_type))
    except DECODE_ERRORS as error:
        return Error(StoreError(StoreErrorKind.UNKNOWN, str(error)))


def to_key_values(items: list[StoreItem]) -> list[KeyValue]:
    """Decodes items; those with an invalid value are logged and skipped."""
    decoded = []
    for item in items:
        try:
            value = base64.b64decode(item.value, validate=True)
        except ValueError as error:
            _log.warning("item_unreadable", key=item.key, reason=str(error))
            continue
        decoded.append(KeyValue(item.key, value, item.revision))
    return decoded


def _encode_value(value: bytes) -> str:
    return base64.b64encode(value).decode()


def _to_error(reply: Reply | TransferFailure) -> StoreError:
    if isinstance(reply, TransferFailure):
        return no_answer_error(reply.reason, reply.was_sent)
    may_have_executed = reply.status not in NO_EFFECT_STATUSES
    kind = (
        StoreErrorKind.UNKNOWN if may_have_executed else StoreErrorKind.NOT_DONE
    )
    return StoreError(kind, f"status {reply.status}")
