"""In-memory stand-in for the platform's key-value service.

It implements the part of etcd's v3 HTTP API that the adapter uses, counts
calls, and can be made slow, unavailable or to lose replies.
"""

import base64
import threading
import time
from collections import Counter
from collections.abc import Iterator
from typing import Any

import msgspec

from sardinestair.observability import EventLog
from sardinestair.web import (
    HttpServer,
    Request,
    Response,
    WebApp,
    json_response,
)

__all__ = ["Faults", "StoreStandin"]

MAX_BODY_BYTES = 4 << 20
THREADS = 48
WATCH_INTERVAL_S = 0.5
EXPIRY_INTERVAL_S = 0.1


class Faults(msgspec.Struct):
    """Faults injected into the stand-in.

    Attributes:
        down: If True, every call is answered with status 503 and has no
            effect.
        delay_s: Delay of each call before it takes effect, in seconds.
        lose_answers: Number of coming writes that take effect but whose
            replies are lost.
        freeze_leases: If True, no lease expires.
    """

    down: bool = False
    delay_s: float = 0.0
    lose_answers: int = 0
    freeze_leases: bool = False


class StoredValue(msgspec.Struct):
    """A stored value.

    Attributes:
        value: The value.
        create_revision: Revision at which the key was created.
        mod_revision: Revision of the last change.
        version: Number of writes since the creation.
        lease: Id of the lease that the key is attached to, 0 for none.
    """

    value: bytes
    create_revision: int
    mod_revision: int
    version: int
    lease: int = 0


class Lease(msgspec.Struct):
    """A lease.

    Attributes:
        ttl_s: Time to live, in seconds.
        expires_s: When it expires, on the monotonic clock.
    """

    ttl_s: int
    expires_s: float


class StoreStandin:
    """An in-memory key-value service with revisions, leases and watches.

    Args:
        port: Port to listen on, 0 for any.

    Attributes:
        data: Stored values by key.
        leases: Leases by id.
        events: Revision, type, key and value of every change.
        revision: Revision of the last write.
        calls: Number of calls by path.
        faults: Injected faults.
        changed: Guards the data; notified after each write.
    """

    def __init__(self, port: int = 0):
        self.data: dict[bytes, StoredValue] = {}
        self.leases: dict[int, Lease] = {}
        self.events: list[tuple[int, str, bytes, StoredValue]] = []
        self.revision = 1
        self.last_lease_id = 1000
        self.calls: Counter[str] = Counter()
        self.faults = Faults()
        self.changed = threading.Condition()
        self.stopping = False
        log = EventLog("store_standin")
        rules = [
            ("/v3/kv/range", ["POST"], self._handle_range),
            ("/v3/kv/txn", ["POST"], self._make_write_handler(self._commit)),
            (
                "/v3/kv/deleterange",
                ["POST"],
                self._make_write_handler(self._delete),
            ),
            (
                "/v3/lease/grant",
                ["POST"],
                self._make_write_handler(self._grant),
            ),
            (
                "/v3/lease/keepalive",
                ["POST"],
                self._make_write_handler(self._keep_alive),
            ),
            (
                "/v3/lease/revoke",
                ["POST"],
                self._make_write_handler(self._revoke),
            ),
            ("/v3/watch", ["POST"], self._handle_watch),
            ("/standin/faults", ["PUT"], self._set_faults),
            ("/standin/calls", ["GET"], self._show_calls),
        ]
        app = WebApp(rules, MAX_BODY_BYTES, log)
        self.http = HttpServer(
            "127.0.0.1", port, app, max_blocking_requests=THREADS
        )

    @property
    def address(self) -> str:
        """Base URL of the stand-in."""
        return f"http://127.0.0.1:{self.http.port}"

    def start(self) -> None:
        """Starts serving."""
        self.http.start()
        threading.Thread(target=self._expire_leases, daemon=True).start()

    def stop(self) -> None:
        """Ends all watches and stops serving."""
        with self.changed:
            self.stopping = True
            self.changed.notify_all()
        self.http.stop()

    # HTTP handlers.

    def _handle_range(self, request: Request) -> Response:
        body = self._begin_call(request)
        if body is None:
            return _unavailable()
        with self.changed:
            kvs = self._range(body)
            reply = {"header": self._header(), "kvs": kvs, "count": len(kvs)}
        return json_response(reply)

    def _make_write_handler(self, apply):
        def handle(request: Request) -> Response:
            body = self._begin_call(request)
            if body is None:
                return _unavailable()
            with self.changed:
                reply = apply(body)
                self.changed.notify_all()
                is_lost = self.faults.lose_answers > 0
                self.faults.lose_answers -= is_lost
            if is_lost:
                time.sleep(3.0)  # Exceeds the clients' timeout.
            return json_response(reply)

        return handle

    def _begin_call(self, request: Request) -> Any:
        self.calls[request.path] += 1
        body = msgspec.json.decode(request.body)
        if self.faults.delay_s:
            time.sleep(self.faults.delay_s)
        return None if self.faults.down else body

    def _commit(self, body: Any) -> Any:
        succeeded = all(
            self._is_satisfied(compare) for compare in body["compare"]
        )
        operations = body["success" if succeeded else "failure"]
        self.revision += succeeded
        responses = [self._apply(operation) for operation in operations]
        return {
            "header": self._header(),
            "succeeded": succeeded,
            "responses": responses,
        }

    def _is_satisfied(self, compare: Any) -> bool:
        entry = self.data.get(_decode(compare["key"]))
        mod_revision = entry.mod_revision if entry else 0
        return mod_revision == int(compare["mod_revision"])

    def _apply(self, operation: Any) -> Any:
        if "requestRange" in operation:
            kvs = self._range(operation["requestRange"])
            return {"response_range": {"kvs": kvs}}
        if "requestDeleteRange" in operation:
            self._remove(_decode(operation["requestDeleteRange"]["key"]))
            return {"response_delete_range": {}}
        put = operation["requestPut"]
        key = _decode(put["key"])
        old = self.data.get(key)
        entry = StoredValue(
            _decode(put.get("value", "")),
            old.create_revision if old else self.revision,
            self.revision,
            old.version + 1 if old else 1,
            int(put.get("lease", 0)),
        )
        self.data[key] = entry
        self.events.append((self.revision, "PUT", key, entry))
        return {"response_put": {}}

    def _delete(self, body: Any) -> Any:
        first, end = _decode(body["key"]), _decode(body["range_end"])
        keys = [key for key in self.data if first <= key < end]
        self.revision += bool(keys)
        for key in keys:
            self._remove(key)
        return {"header": self._header(), "deleted": str(len(keys))}

    def _remove(self, key: bytes) -> None:
        entry = self.data.pop(key, None)
        if entry is not None:
            tombstone = msgspec.structs.replace(
                entry, mod_revision=self.revision
            )
            self.events.append((self.revision, "DELETE", key, tombstone))

    def _grant(self, body: Any) -> Any:
        self.last_lease_id += 1
        ttl_s = int(body["TTL"])
        self.leases[self.last_lease_id] = Lease(ttl_s, time.monotonic() + ttl_s)
        return {"ID": str(self.last_lease_id), "TTL": str(ttl_s)}

    def _keep_alive(self, body: Any) -> Any:
        lease = self.leases.get(int(body["ID"]))
        if lease is None:
            return {"result": {"ID": body["ID"], "TTL": "0"}}
        lease.expires_s = time.monotonic() + lease.ttl_s
        return {"result": {"ID": body["ID"], "TTL": str(lease.ttl_s)}}

    def _revoke(self, body: Any) -> Any:
        self._remove_lease(int(body["ID"]))
        return {"header": self._header()}

    def _handle_watch(self, request: Request) -> Response:
        body = self._begin_call(request)
        if body is None:
            return _unavailable()
        create_request = body["create_request"]
        return Response(
            self._stream_events(create_request), mimetype="application/json"
        )

    def _stream_events(self, create_request: Any) -> Iterator[bytes]:
        first, end = (
            _decode(create_request["key"]),
            _decode(create_request["range_end"]),
        )
        next_revision = (
            int(create_request.get("start_revision", 0)) or self.revision + 1
        )
        yield _encode_line({"header": self._header(), "created": True})
        while not (self.stopping or self.faults.down):
            with self.changed:
                self.changed.wait(WATCH_INTERVAL_S)
                events = [e for e in self.events if e[0] >= next_revision]
            next_revision = events[-1][0] + 1 if events else next_revision
            matching = [_encode_event(e) for e in events if first <= e[2] < end]
            yield _encode_line({"header": self._header(), "events": matching})

    def _range(self, body: Any) -> list[Any]:
        first = _decode(body["key"])
        end = _decode(body["range_end"]) if "range_end" in body else None
        keys = sorted(
            key
            for key in self.data
            if (key == first if end is None else first <= key < end)
        )
        return [_encode_kv(key, self.data[key]) for key in keys]

    def _header(self) -> Any:
        return {"revision": str(self.revision)}

    # Leases and faults.

    def _expire_leases(self) -> None:
        while not self.stopping:
            time.sleep(EXPIRY_INTERVAL_S)
            if self.faults.freeze_leases:
                continue
            now_s = time.monotonic()
            with self.changed:
                leases = list(self.leases.items())
                for lease in [i for i, x in leases if x.expires_s < now_s]:
                    self._remove_lease(lease)
                    self.changed.notify_all()

    def _remove_lease(self, lease: int) -> None:
        self.leases.pop(lease, None)
        attached_keys = [
            k for k, e in self.data.items() if lease and e.lease == lease
        ]
        self.revision += bool(attached_keys)
        for key in attached_keys:
            self._remove(key)

    def _set_faults(self, request: Request) -> Response:
        self.faults = msgspec.json.decode(request.body, type=Faults)
        return json_response(self.faults)

    def _show_calls(self, _request: Request) -> Response:
        return json_response(self.calls)


def _decode(text: str) -> bytes:
    return base64.b64decode(text)


def _encode_kv(key: bytes, entry: StoredValue) -> Any:
    return {
        "key": base64.b64encode(key).decode(),
        "value": base64.b64encode(entry.value).decode(),
        "create_revision": str(entry.create_revision),
        "mod_revision": str(entry.mod_revision),
        "version": str(entry.version),
        "lease": str(entry.lease),
    }


def _encode_event(event: tuple[int, str, bytes, StoredValue]) -> Any:
    _, kind, key, entry = event
    return {"type": kind, "kv": _encode_kv(key, entry)}


def _encode_line(result: Any) -> bytes:
    return msgspec.json.encode({"result": result}) + b"\n"


def _unavailable() -> Response:
    return json_response({"error": "unavailable", "code": 14}, 503)
