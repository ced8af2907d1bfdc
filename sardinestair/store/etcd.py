"""Client for a key-value store with etcd's v3 API as JSON over HTTP."""

import base64
from collections.abc import Callable, Sequence
from typing import Any

import msgspec
from expression import Error, Ok, Result

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

__all__ = ["EtcdStore"]

JSON_HEADERS = ("Content-Type: application/json",)


class EtcdStore:
    """Key-value store behind etcd's API; implements `Store`.

    Thread-safe; each thread has its own connection. A call goes to the
    endpoint that was reached last, and fails over to the next one only if the
    request can't have reached it.

    Args:
        endpoints: Base URLs.
        prefix: Prefix that is added to each key.
        timeout_s: Timeout of one call, in seconds.

    Examples:
        >>> store = EtcdStore(["http://127.0.0.1:9"])
        >>> store.read("settings/").error.kind
        <StoreErrorKind.NOT_DONE: 'not_done'>
    """

    def __init__(
        self,
        endpoints: Sequence[str],
        prefix: str = "/sardinestair/",
        timeout_s: float = 1.0,
    ):
        self.endpoints = list(endpoints)
        self.prefix = prefix
        self.timeout_s = timeout_s
        self.endpoint_index = 0
        self.transfers = ThreadLocalTransfers()

    def read(
        self, prefix: str, may_be_stale: bool = False
    ) -> Result[Snapshot, StoreError]:
        """Reads all keys with a prefix; see `Store.read`."""
        request = {**self._prefix_range(prefix), "serializable": may_be_stale}
        answer = self._call("/v3/kv/range", request)
        return answer.map(self._to_snapshot)

    def commit(self, swaps: Sequence[Swap]) -> Result[CommitResult, StoreError]:
        """Applies all swaps in one transaction; see `Store.commit`."""
        request = {
            "compare": [self._compare(swap) for swap in swaps],
            "success": [self._operation(swap) for swap in swaps],
            "failure": [
                {"requestRange": {"key": self._encode_key(swap.key)}}
                for swap in swaps
            ],
        }
        answer = self._call("/v3/kv/txn", request)
        return answer.map(self._to_commit)

    def delete_before(self, prefix: str, end: str) -> Result[int, StoreError]:
        """Deletes a range of keys; see `Store.delete_before`."""
        request = {
            "key": self._encode_key(prefix),
            "range_end": self._encode_key(end),
        }
        answer = self._call("/v3/kv/deleterange", request)
        return answer.map(lambda body: int(body.get("deleted", 0)))

    def grant_lease(self, ttl_s: int) -> Result[int, StoreError]:
        """Grants a lease and returns its id."""
        answer = self._call("/v3/lease/grant", {"TTL": str(ttl_s)})
        return answer.map(lambda body: int(body["ID"]))

    def renew_lease(self, lease_id: int) -> Result[bool, StoreError]:
        """Renews a lease; returns False if it has expired."""
        answer = self._call("/v3/lease/keepalive", {"ID": str(lease_id)})
        return answer.map(
            lambda body: int(body.get("result", body).get("TTL", 0)) > 0
        )

    def revoke_lease(self, lease_id: int) -> Result[None, StoreError]:
        """Revokes a lease, which deletes the keys that are bound to it."""
        answer = self._call("/v3/lease/revoke", {"ID": str(lease_id)})
        return answer.map(lambda _body: None)

    def watch(
        self,
        prefix: str,
        from_revision: int,
        on_change: Callable[[int], bool],
        timeout_s: float,
        should_abort: Callable[[], bool],
    ) -> Result[None, StoreError]:
        """Watches for changes of keys with a prefix; see `Store.watch`."""
        request = {
            "create_request": {
                **self._prefix_range(prefix),
                "start_revision": str(from_revision),
            }
        }
        lines = _LineSplitter(lambda line: on_change(_watch_revision(line)))
        reply = self._perform(
            "/v3/watch", request, timeout_s, lines.feed, should_abort
        )
        if isinstance(reply, Reply) and reply.status == 200:
            return Ok(None)
        if lines.ended_by_callback:
            return Ok(None)
        return Error(_to_error(reply))

    def _call(self, path: str, request: Any) -> Result[Any, StoreError]:
        for _ in self.endpoints:
            reply = self._perform(path, request, self.timeout_s)
            may_have_arrived = isinstance(reply, Reply) or reply.was_sent
            if may_have_arrived:
                break
            self.endpoint_index = (self.endpoint_index + 1) % len(
                self.endpoints
            )
        if not isinstance(reply, Reply) or reply.status != 200:
            return Error(_to_error(reply))
        try:
            return Ok(msgspec.json.decode(reply.body))
        except msgspec.DecodeError as error:
            return Error(StoreError(StoreErrorKind.UNKNOWN, str(error)))

    def _perform(
        self,
        path: str,
        request: Any,
        timeout_s: float,
        on_data: Callable[[bytes], bool] | None = None,
        should_abort: Callable[[], bool] | None = None,
    ) -> Reply | TransferFailure:
        url = self.endpoints[self.endpoint_index] + path
        body = msgspec.json.encode(request)
        return self.transfers.current.perform(
            "POST",
            url,
            body,
            timeout_s,
            JSON_HEADERS,
            on_data,
            should_abort,
        )

    def _encode_key(self, key: str) -> str:
        return _base64((self.prefix + key).encode())

    def _prefix_range(self, prefix: str) -> dict[str, str]:
        first = (self.prefix + prefix).encode()
        end = first[:-1] + bytes([first[-1] + 1])
        return {"key": _base64(first), "range_end": _base64(end)}

    def _compare(self, swap: Swap) -> dict[str, str]:
        return {
            "key": self._encode_key(swap.key),
            "target": "MOD",
            "result": "EQUAL",
            "mod_revision": str(swap.expected_revision),
        }

    def _operation(self, swap: Swap) -> dict[str, Any]:
        key = self._encode_key(swap.key)
        if swap.value is None:
            return {"requestDeleteRange": {"key": key}}
        put = {"key": key, "value": _base64(swap.value)}
        if swap.lease_id:
            put["lease"] = str(swap.lease_id)
        return {"requestPut": put}

    def _to_snapshot(self, body: Any) -> Snapshot:
        return Snapshot(
            _revision(body),
            [self._to_key_value(kv) for kv in _key_values(body)],
        )

    def _to_commit(self, body: Any) -> CommitResult:
        if body.get("succeeded", False):
            return CommitResult(True, _revision(body), [])
        ranges = [
            response.get("response_range") or response.get("responseRange")
            for response in body.get("responses", [])
        ]
        current = [
            self._to_key_value(kv)
            for range_response in ranges
            for kv in _key_values(range_response)
        ]
        return CommitResult(False, _revision(body), current)

    def _to_key_value(self, kv: Any) -> KeyValue:
        key = base64.b64decode(kv["key"]).decode()
        return KeyValue(
            key.removeprefix(self.prefix),
            base64.b64decode(kv.get("value", "")),
            int(kv["mod_revision"]),
        )


class _LineSplitter:
    """Splits a stream of bytes into lines.

    Args:
        on_line: Called with each line that is not blank; returns False to end
            the stream.

    Attributes:
        ended_by_callback: True if `on_line` ended the stream.
    """

    def __init__(self, on_line: Callable[[bytes], bool]):
        self.on_line = on_line
        self.partial_line = b""
        self.ended_by_callback = False

    def feed(self, data: bytes) -> bool:
        """Takes the next bytes; returns False if the stream should end."""
        *lines, self.partial_line = (self.partial_line + data).split(b"\n")
        for line in lines:
            if line.strip() and not self.on_line(line):
                self.ended_by_callback = True
                return False
        return True


def _base64(data: bytes) -> str:
    return base64.b64encode(data).decode()


def _key_values(body: Any) -> list[Any]:
    return body.get("kvs", []) if body else []


def _revision(body: Any) -> int:
    return int(body["header"]["revision"])


def _watch_revision(line: bytes) -> int:
    """Returns the highest revision in a watch response, 0 without events."""
    result = msgspec.json.decode(line).get("result", {})
    events = result.get("events", [])
    return max((int(e["kv"]["mod_revision"]) for e in events), default=0)


def _to_error(reply: Reply | TransferFailure) -> StoreError:
    if isinstance(reply, TransferFailure):
        return no_answer_error(reply.reason, reply.was_sent)
    reason = f"status {reply.status}: {reply.body[:200]!r}"
    return StoreError(StoreErrorKind.UNKNOWN, reason)
