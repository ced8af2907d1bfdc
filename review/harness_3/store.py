"""Stand-in for the platform's metadata store."""

import base64
import json
import threading
import time
from typing import Any

from harness_3.http_service import Reply, serve

PAGE_ITEMS = 500


class Store:
    """Keys with revisions, leases and watches; it loses nothing.

    Args:
        host: Loopback address to listen on.
        port: Port to listen on.
    """

    def __init__(self, host: str, port: int):
        self.items: dict[str, dict[str, Any]] = {}
        self.events: list[dict[str, Any]] = []
        self.leases: dict[int, tuple[float, float]] = {}
        self.revision = 100
        self.changed = threading.Condition()
        serve(host, port, self._handle)
        threading.Thread(target=self._expire_leases, daemon=True).start()

    def put_json(self, key: str, value: Any) -> int:
        """Writes a key, as the operator does; returns its revision."""
        text = base64.b64encode(json.dumps(value).encode()).decode()
        with self.changed:
            return self._put(key, text, 0)

    def _handle(
        self,
        method: str,
        path: str,
        query: dict[str, str],
        body: dict[str, Any],
        _headers: Any,
    ) -> Reply:
        if path == "/kv-watch":
            return self._watch(query)
        with self.changed:
            if path == "/kv-range":
                return self._range(query)
            if path == "/kv-key":
                item = self.items.get(query["key"])
                if item is None:
                    return 404, {}
                return 200, {**item, "at_rev": self.revision}
            if path == "/kv-txn":
                return self._commit(body)
            if path == "/kv-lease":
                lease = 1000 + self.revision + len(self.leases)
                ttl_s = max(1.0, body["ttl_ms"] / 1000)
                self.leases[lease] = (ttl_s, time.monotonic() + ttl_s)
                return 200, {"lease": lease, "ttl_ms": int(ttl_s * 1000)}
            if path.startswith("/kv-keep/"):
                lease = int(path.rpartition("/")[2])
                if lease not in self.leases:
                    return 404, {}
                ttl_s = self.leases[lease][0]
                self.leases[lease] = (ttl_s, time.monotonic() + ttl_s)
                return 200, {"ttl_ms": int(ttl_s * 1000)}
            if path.startswith("/kv-lease-end/") and method == "DELETE":
                self._end_lease(int(path.rpartition("/")[2]))
                return 200, {}
        return 404, {}

    def _range(self, query: dict[str, str]) -> Reply:
        after = query.get("after", "")
        keys = sorted(
            key
            for key in self.items
            if key.startswith(query["prefix"]) and key > after
        )
        page = [self.items[key] for key in keys[:PAGE_ITEMS]]
        more = len(keys) > PAGE_ITEMS
        return 200, {
            "items": page,
            "more_pages": more,
            "at_rev": self.revision,
        }

    def _watch(self, query: dict[str, str]) -> Reply:
        prefix, after = query["prefix"], int(query["after"])
        until_s = time.monotonic() + int(query["wait_ms"]) / 1000
        with self.changed:
            while True:
                found = [
                    event
                    for event in self.events
                    if event["revision"] > after
                    and event["key"].startswith(prefix)
                ]
                left_s = until_s - time.monotonic()
                if found or left_s <= 0:
                    return 200, {"events": found, "at_rev": self.revision}
                self.changed.wait(left_s)

    def _commit(self, body: dict[str, Any]) -> Reply:
        current = [
            self.items.get(row["key"], {"key": row["key"], "revision": 0})
            for row in body["expected"]
        ]
        if [item["revision"] for item in current] != [
            row["revision"] for row in body["expected"]
        ]:
            found = [item for item in current if item["revision"]]
            return 412, {"items": found}
        for row in body["puts"]:
            lease = row.get("lease", 0)
            if lease and lease not in self.leases:
                return 404, {}
        for row in body["puts"]:
            self._put(row["key"], row["value"], row.get("lease", 0))
        for key in body.get("remove", []):
            self._remove(key)
        return 200, {"revision": self.revision}

    def _put(self, key: str, value: str, lease: int) -> int:
        self.revision += 1
        known = self.items.get(key)
        self.items[key] = {
            "key": key,
            "value": value,
            "revision": self.revision,
            "created": known["created"] if known else self.revision,
            "lease": lease,
        }
        self.events.append(self.items[key])
        self.changed.notify_all()
        return self.revision

    def _remove(self, key: str) -> None:
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self.events.append(
            {"key": key, "revision": self.revision, "deleted": True}
        )
        self.changed.notify_all()

    def _end_lease(self, lease: int) -> None:
        self.leases.pop(lease, None)
        for key in [k for k, i in self.items.items() if i["lease"] == lease]:
            self._remove(key)

    def _expire_leases(self) -> None:
        while True:
            time.sleep(0.05)
            now_s = time.monotonic()
            with self.changed:
                expired = [
                    lease
                    for lease, (_, end_s) in self.leases.items()
                    if end_s <= now_s
                ]
                for lease in expired:
                    self._end_lease(lease)
