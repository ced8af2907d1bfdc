"""Stand-in for the platform's metadata store, with `op/config` in it."""

import argparse
import base64
import json
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit

PAGE_ITEMS = 500


class Store:
    """Keys with revisions, leases and a history of changes.

    Args:
        config: Value of `op/config`.
    """

    def __init__(self, config):
        self.changed = threading.Condition()
        self.revision = 10
        self.items = {}
        self.events = []
        self.leases = {}
        self.put("op/config", base64.b64encode(config).decode(), 0)
        threading.Thread(target=self.expire, daemon=True).start()

    def put(self, key, value, lease):
        """Writes a key; the lock is held, or the process has one thread."""
        self.revision += 1
        created = self.items.get(key, {}).get("created", self.revision)
        self.items[key] = {
            "key": key,
            "value": value,
            "revision": self.revision,
            "created": created,
            "lease": lease,
        }
        self.events.append(self.items[key])

    def remove(self, key):
        """Removes a key; the lock is held."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            event = {"key": key, "revision": self.revision, "deleted": True}
            self.events.append(event)

    def expire(self):
        """Removes the keys of leases that have run out."""
        while True:
            time.sleep(0.05)
            with self.changed:
                now_s = time.monotonic()
                for lease, (end_s, _) in list(self.leases.items()):
                    if end_s < now_s:
                        self.end_lease(lease)

    def end_lease(self, lease):
        """Ends a lease; the lock is held."""
        self.leases.pop(lease, None)
        for key in [k for k, i in self.items.items() if i["lease"] == lease]:
            self.remove(key)
        self.changed.notify_all()

    def write_config(self, config):
        """Writes `op/config`, as the operator does."""
        with self.changed:
            self.put("op/config", base64.b64encode(config).decode(), 0)
            self.changed.notify_all()
            return 200, {"revision": self.revision}

    def read_key(self, query):
        """Handles GET /kv-key."""
        with self.changed:
            item = self.items.get(query["key"])
            if item is None:
                return 404, {}
            return 200, item | {"at_rev": self.revision}

    def read_range(self, query):
        """Handles GET /kv-range."""
        prefix, after = query["prefix"], query.get("after", "")
        with self.changed:
            keys = sorted(k for k in self.items if k.startswith(prefix))
            keys = [k for k in keys if k > after]
            return 200, {
                "items": [self.items[k] for k in keys[:PAGE_ITEMS]],
                "more_pages": len(keys) > PAGE_ITEMS,
                "at_rev": self.revision,
            }

    def watch(self, query):
        """Handles GET /kv-watch."""
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

    def commit(self, body):
        """Handles POST /kv-txn."""
        with self.changed:
            names = [row["key"] for row in body["expected"]]
            current = [self.items.get(k, {"revision": 0}) for k in names]
            wanted = [row["revision"] for row in body["expected"]]
            if [item["revision"] for item in current] != wanted:
                return 412, {"items": [i for i in current if i["revision"]]}
            for put in body.get("puts", []):
                if put.get("lease", 0) and put["lease"] not in self.leases:
                    return 404, {}
            for put in body.get("puts", []):
                self.put(put["key"], put["value"], put.get("lease", 0))
            for key in body.get("remove", []):
                self.remove(key)
            self.changed.notify_all()
            return 200, {"revision": self.revision}

    def grant(self, body):
        """Handles POST /kv-lease."""
        with self.changed:
            lease = 1000 + self.revision * 1000 + len(self.leases)
            ttl_s = max(1.0, body["ttl_ms"] / 1000)
            self.leases[lease] = (time.monotonic() + ttl_s, ttl_s)
            return 200, {"lease": lease, "ttl_ms": int(ttl_s * 1000)}

    def keep(self, lease):
        """Handles POST /kv-keep/ID."""
        with self.changed:
            if lease not in self.leases:
                return 404, {}
            ttl_s = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + ttl_s, ttl_s)
            return 200, {}

    def revoke(self, lease):
        """Handles DELETE /kv-lease-end/ID."""
        with self.changed:
            if lease not in self.leases:
                return 404, {}
            self.end_lease(lease)
            return 200, {}


def make_handler(store):
    """Returns the request handler class of a store."""
    reads = {
        "/kv-key": store.read_key,
        "/kv-range": store.read_range,
        "/kv-watch": store.watch,
    }

    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"
        disable_nagle_algorithm = True

        def do_GET(self):
            parts = urlsplit(self.path)
            query = {k: v[0] for k, v in parse_qs(parts.query).items()}
            self.reply(*reads[parts.path](query))

        def do_POST(self):
            size = int(self.headers.get("Content-Length", 0))
            data = self.rfile.read(size)
            if self.path.startswith("/kv-keep/"):
                self.reply(*store.keep(int(self.path.split("/")[-1])))
            elif self.path == "/kv-lease":
                self.reply(*store.grant(json.loads(data)))
            else:
                self.reply(*store.commit(json.loads(data)))

        def do_PUT(self):
            # The operator writes a configuration; nodes never call this.
            size = int(self.headers.get("Content-Length", 0))
            self.reply(*store.write_config(self.rfile.read(size)))

        def do_DELETE(self):
            self.reply(*store.revoke(int(self.path.split("/")[-1])))

        def reply(self, status, body):
            data = json.dumps(body).encode()
            head = f"HTTP/1.1 {status} x\r\nContent-Length: {len(data)}\r\n"
            head += "Content-Type: application/json\r\n\r\n"
            self.wfile.write(head.encode() + data)

        def log_message(self, *_args):
            pass

    return Handler


def main():
    """Runs the store until it is killed."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--listen", required=True)
    parser.add_argument("--config", required=True)
    args = parser.parse_args()
    with open(args.config, "rb") as stream:
        store = Store(stream.read())
    host, _, port = args.listen.rpartition(":")
    ThreadingHTTPServer.request_queue_size = 128
    server = ThreadingHTTPServer((host, int(port)), make_handler(store))
    server.daemon_threads = True
    server.serve_forever()


if __name__ == "__main__":
    main()
