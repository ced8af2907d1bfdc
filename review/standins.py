"""Stand-ins for the platform's store and runners, with the standard library.

Both follow the published protocol. Every order that a runner receives, and
every start and end of a run, is recorded with the time of the steady clock.
"""

import base64
import http.client
import http.server
import json
import socket
import threading
import time
import urllib.parse
from collections.abc import Callable
from typing import Any

__all__ = ["JsonServer", "Record", "Runner", "Store", "call"]

HEARTBEAT_INTERVAL_S = 1.5
HEARTBEAT_TIMEOUT_S = 1.0
HOLD_MAX_S = 1.0
MAX_WAIT_S = 2.0


class Record:
    """The events of a case, in memory and as lines of a text."""

    def __init__(self) -> None:
        self.began_s = time.monotonic()
        self.events: list[dict[str, Any]] = []
        self.lock = threading.Lock()

    def now_s(self) -> float:
        """Returns the seconds since the record began."""
        return time.monotonic() - self.began_s

    def add(self, kind: str, **values: Any) -> dict[str, Any]:
        """Adds an event at the current time."""
        event = {"at": self.now_s(), "kind": kind, **values}
        with self.lock:
            self.events.append(event)
        return event

    def find(self, kind: str, **values: Any) -> list[dict[str, Any]]:
        """Returns the events of a kind that have the given values."""
        with self.lock:
            events = list(self.events)
        return [
            event
            for event in events
            if event["kind"] == kind
            and all(event.get(k) == v for k, v in values.items())
        ]

    def write(self, path: str) -> None:
        """Writes all events to a file, a line each, sorted by time."""
        with self.lock:
            events = sorted(self.events, key=lambda event: event["at"])
        with open(path, "w", encoding="utf-8") as stream:
            for event in events:
                rest = {
                    k: v for k, v in event.items() if k not in ("at", "kind")
                }
                stream.write(
                    f"{event['at']:9.3f} {event['kind']:<12} "
                    f"{json.dumps(rest)}\n"
                )


def call(
    address: str,
    method: str,
    path: str,
    body: Any = None,
    timeout_s: float = 5.0,
    headers: dict[str, str] | None = None,
) -> tuple[int, Any]:
    """Sends one request on a connection of its own.

    Returns:
        The status and the decoded body; status 0 without an answer.
    """
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
    try:
        return exchange(connection, method, path, body, headers)
    finally:
        connection.close()


def exchange(
    connection: http.client.HTTPConnection,
    method: str,
    path: str,
    body: Any = None,
    headers: dict[str, str] | None = None,
) -> tuple[int, Any]:
    """Sends one request on an open connection; see `call`."""
    data = None if body is None else json.dumps(body).encode()
    try:
        connection.request(
            method,
            path,
            data,
            {"Content-Type": "application/json", **(headers or {})},
        )
        response = connection.getresponse()
        text = response.read()
    except (OSError, http.client.HTTPException) as error:
        return 0, {"error": str(error)}
    try:
        return response.status, json.loads(text) if text else {}
    except ValueError:
        return response.status, {"text": text.decode("utf-8", "replace")}


Handler = Callable[[str, str, dict[str, str], Any], tuple[int, Any]]


class JsonServer:
    """An HTTP server that passes each request to a function.

    Args:
        host: IP address to listen on.
        port: Port to listen on.
        handle: Called with method, path, query and decoded body; returns the
            status and the body of the response.
    """

    def __init__(self, host: str, port: int, handle: Handler):
        class RequestHandler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def serve(self) -> None:
                size = int(self.headers.get("Content-Length") or 0)
                data = self.rfile.read(size)
                url = urllib.parse.urlsplit(self.path)
                query = dict(urllib.parse.parse_qsl(url.query))
                body = json.loads(data) if data else None
                status, reply = handle(self.command, url.path, query, body)
                text = json.dumps(reply).encode()
                head = (
                    f"HTTP/1.1 {status} x\r\nContent-Type: application/json"
                    f"\r\nContent-Length: {len(text)}\r\n\r\n"
                )
                self.wfile.write(head.encode() + text)

            do_GET = do_POST = do_DELETE = serve  # noqa: N815

            def log_message(self, *_values: Any) -> None:
                pass

        sockets = self.sockets = set()

        class Server(http.server.ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 128

            def process_request(self, request: Any, address: Any) -> None:
                sockets.add(request)
                super().process_request(request, address)

            def shutdown_request(self, request: Any) -> None:
                sockets.discard(request)
                super().shutdown_request(request)

            def handle_error(self, *_values: Any) -> None:
                pass

        self.server = Server((host, port), RequestHandler)
        self.address = f"{host}:{port}"
        threading.Thread(
            target=self.server.serve_forever, args=(0.02,), daemon=True
        ).start()

    def close(self) -> None:
        """Stops to serve, and ends all connections."""
        self.server.shutdown()
        self.server.server_close()
        for connection in list(self.sockets):
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


class Store:
    """The platform's metadata store: items, revisions, leases and watches."""

    def __init__(self, host: str, port: int):
        self.items: dict[str, dict[str, Any]] = {}
        self.events: list[dict[str, Any]] = []
        self.leases: dict[int, tuple[float, float]] = {}
        self.revision = 1
        self.next_lease = 1
        self.changed = threading.Condition()
        self.server = JsonServer(host, port, self._handle)
        self.address = self.server.address

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Writes an item; returns the revision."""
        with self.changed:
            self.revision += 1
            old = self.items.get(key)
            self.items[key] = {
                "key": key,
                "value": base64.b64encode(value).decode(),
                "revision": self.revision,
                "created": old["created"] if old else self.revision,
                "lease": lease,
            }
            self.events.append(dict(self.items[key]))
            self.changed.notify_all()
            return self.revision

    def close(self) -> None:
        """Stops to serve."""
        self.server.close()

    def _remove(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.events.append(
                {"key": key, "revision": self.revision, "deleted": True}
            )
            self.changed.notify_all()

    def _expire(self) -> None:
        now_s = time.monotonic()
        for lease, (_, end_s) in list(self.leases.items()):
            if now_s > end_s:
                self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        self.leases.pop(lease, None)
        held = [k for k, item in self.items.items() if item["lease"] == lease]
        for key in held:
            self._remove(key)

    def _handle(
        self, method: str, path: str, query: dict[str, str], body: Any
    ) -> tuple[int, Any]:
        with self.changed:
            self._expire()
            if path == "/kv-watch":
                return self._watch(query)
            if path == "/kv-key":
                item = self.items.get(query["key"])
                if item is None:
                    return 404, {}
                return 200, {**item, "at_rev": self.revision}
            if path == "/kv-range":
                keys = sorted(
                    key
                    for key in self.items
                    if key.startswith(query.get("prefix", ""))
                    and key > query.get("after", "")
                )
                rows = [self.items[key] for key in keys[:500]]
                more = len(keys) > 500
                return 200, {
                    "items": rows,
                    "more_pages": more,
                    "at_rev": self.revision,
                }
            if path == "/kv-txn":
                return self._commit(body)
            if path == "/kv-lease":
                lease, self.next_lease = self.next_lease, self.next_lease + 1
                ttl_s = body["ttl_ms"] / 1000
                self.leases[lease] = (ttl_s, time.monotonic() + ttl_s)
                return 200, {"lease": lease, "ttl_ms": body["ttl_ms"]}
            lease = int(path.rpartition("/")[2])
            if lease not in self.leases:
                return 404, {}
            if method == "DELETE":
                self._end_lease(lease)
                return 200, {}
            ttl_s = self.leases[lease][0]
            self.leases[lease] = (ttl_s, time.monotonic() + ttl_s)
            return 200, {"lease": lease, "ttl_ms": int(ttl_s * 1000)}

    def _watch(self, query: dict[str, str]) -> tuple[int, Any]:
        after, prefix = int(query["after"]), query.get("prefix", "")
        end_s = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while True:
            self._expire()
            found = [
                event
                for event in self.events
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left_s = end_s - time.monotonic()
            if found or left_s <= 0:
                return 200, {"events": found, "at_rev": self.revision}
            self.changed.wait(left_s)

    def _commit(self, body: Any) -> tuple[int, Any]:
        for row in body["expected"]:
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                rows = [self.items.get(r["key"]) for r in body["expected"]]
                return 412, {"items": [r for r in rows if r]}
        for put in body["puts"]:
            lease = put.get("lease", 0)
            if lease and lease not in self.leases:
                return 404, {}
        for put in body["puts"]:
            value = base64.b64decode(put["value"])
            self.put(put["key"], value, put.get("lease", 0))
        for key in body["remove"]:
            self._remove(key)
        return 200, {"revision": self.revision}


class Runner:
    """A runner that starts what it is told to, and keeps leases.

    The `spec` of a job is JSON text with the member `run_s`, the duration of
    each task in seconds.

    Args:
        name: The runner's id.
        service: Service that the runner belongs to.
        zone: Availability zone.
        host: IP address at which it accepts calls.
        port: Port at which it accepts calls.
        control: Address to which it sends heartbeats.
        record: Where starts and ends are recorded.
        capacity: What it says of its capacity.

    Attributes:
        speed: Factor of the duration of tasks.
        stop_s: How long a stop takes; its answer is sent once the run has
            ended.
    """

    def __init__(
        self,
        name: str,
        service: str,
        zone: str,
        host: str,
        port: int,
        control: str,
        record: Record,
        capacity: dict[str, int] | None = None,
    ):
        self.name, self.service, self.zone = name, service, zone
        self.control = control
        self.record = record
        self.capacity = capacity or {"cpu": 16000, "mem_mb": 65536, "gpu": 0}
        self.speed = 1.0
        self.stop_s = 0.02
        self.state = "ready"
        self.host, self.port = host, port
        self.changed = threading.Condition()
        self.is_closed = False
        self.boot()

    def boot(self) -> None:
        """Starts a new life of the runner, which knows nothing of before."""
        self.born_ms = int(time.time() * 1000)
        self.began_s = time.monotonic()
        self.sequence = 0
        self.active: dict[str, dict[str, Any]] = {}
        self.highest: dict[str, int] = {}
        self.ends: list[list[Any]] = []
        self.end_count = 0
        self.lease_end_s = 0.0
        self.is_closed = False
        self.server = JsonServer(self.host, self.port, self._handle)
        self.address = self.server.address
        born_ms = self.born_ms
        for loop in (self._run, self._send_heartbeats):
            threading.Thread(target=loop, args=(born_ms,), daemon=True).start()

    def crash(self) -> None:
        """Ends the runner with everything that runs on it."""
        self.record.add("crash", runner=self.name)
        self.server.close()
        with self.changed:
            self.is_closed = True
            for run in list(self.active.values()):
                self._end(run, "crashed")

    def close(self) -> None:
        """Stops to serve, and ends all runs."""
        self.is_closed = True
        self.server.close()

    def is_life(self, born_ms: int) -> bool:
        """Returns True while the life that began then goes on."""
        return born_ms == self.born_ms and not self.is_closed

    def heartbeat(self) -> dict[str, Any]:
        """Returns the next heartbeat."""
        self.sequence += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "cold_left_ms": 0,
            "capacity": self.capacity,
            "labels": ["a", "r1-1"],
            "born": self.born_ms,
            "clock_ms": self._clock_ms(),
            "sequence": self.sequence,
        }

    def send_heartbeat(self) -> int:
        """Sends one heartbeat; returns the status, 0 without an answer."""
        status, _ = call(
            self.control,
            "POST",
            f"/instances/{self.name}/heartbeat",
            self.heartbeat(),
            HEARTBEAT_TIMEOUT_S,
        )
        return status

    def _send_heartbeats(self, born_ms: int) -> None:
        while self.is_life(born_ms):
            self.send_heartbeat()
            time.sleep(HEARTBEAT_INTERVAL_S)

    def _clock_ms(self) -> int:
        return int((time.monotonic() - self.began_s) * 1000)

    def _clock_s(self) -> float:
        return time.monotonic() - self.began_s

    def _run(self, born_ms: int) -> None:
        """Ends the runs that are due."""
        while self.is_life(born_ms):
            with self.changed:
                self._advance()
                self.changed.wait(0.01)

    def _advance(self) -> None:
        now_s = time.monotonic()
        for run in list(self.active.values()):
            if run["stop_s"] is not None and now_s >= run["stop_s"]:
                self._end(run, "stopped")
            elif now_s >= run["end_s"]:
                self._end(run, "done")
            elif self._clock_s() > self.lease_end_s:
                self._end(run, "lapsed")

    def _end(self, run: dict[str, Any], how: str) -> None:
        task = run["task"]
        del self.active[task]
        self.highest[task] = max(self.highest.get(task, 0), run["run"])
        self.end_count += 1
        self.ends.append([self.end_count, task, run["run"], how, ""])
        self.record.add(
            "run_end", runner=self.name, task=task, run=run["run"], how=how
        )
        self.changed.notify_all()

    def _renew(self, until_ms: int | None) -> None:
        if until_ms is not None:
            latest_s = self._clock_s() + HOLD_MAX_S
            until_s = min(until_ms / 1000, latest_s)
            self.lease_end_s = max(self.lease_end_s, until_s)

    def _handle(
        self, _method: str, path: str, _query: dict[str, str], body: Any
    ) -> tuple[int, Any]:
        with self.changed:
            self._advance()
            if path == "/run-start":
                return self._start(body)
            if path == "/run-stop":
                return self._stop(body)
            if path == "/hold":
                return self._hold(body)
            return 404, {}

    def _reply(self, **values: Any) -> dict[str, Any]:
        return {"clock_ms": self._clock_ms(), "born": self.born_ms, **values}

    def _start(self, body: Any) -> tuple[int, Any]:
        task, run_id = body["task"], body["run_id"]
        active = self.active.get(task)
        if active is not None and active["run"] == run_id:
            self._renew(body["until_ms"])
            return 200, self._reply()
        if run_id <= self.highest.get(task, 0) or active is not None:
            self._renew(body["until_ms"])
            return 409, self._reply(reason="old")
        if self._clock_ms() > body["until_ms"]:
            return 409, self._reply(reason="late")
        self._renew(body["until_ms"])
        now_s = time.monotonic()
        duration_s = json.loads(body["spec"])["run_s"] * self.speed
        self.active[task] = {
            "task": task,
            "run": run_id,
            "began_s": now_s,
            "end_s": now_s + duration_s,
            "stop_s": None,
        }
        self.record.add("run_start", runner=self.name, task=task, run=run_id)
        return 200, self._reply()

    def _stop(self, body: Any) -> tuple[int, Any]:
        task, run_id = body["task"], body["run_id"]
        run = self.active.get(task)
        self.record.add("run_stop", runner=self.name, task=task, run=run_id)
        if run is None or run["run"] > run_id:
            self.highest[task] = max(self.highest.get(task, 0), run_id)
        elif run["stop_s"] is None:
            run["stop_s"] = time.monotonic() + self.stop_s
        while run is not None and self.active.get(task) is run:
            self.changed.wait(0.005)
            self._advance()
        return 200, self._reply()

    def _hold(self, body: Any) -> tuple[int, Any]:
        self._renew(body.get("until_ms"))
        acknowledged = body.get("ack_seq", 0)
        self.ends = [end for end in self.ends if end[0] > acknowledged]
        wait_s = min(body.get("wait_ms", 0) / 1000, MAX_WAIT_S)
        limit_s = time.monotonic() + wait_s
        while not self.ends:
            left_s = limit_s - time.monotonic()
            if left_s <= 0:
                break
            self.changed.wait(left_s)
        now_s = time.monotonic()
        rows = [
            [
                run["task"],
                run["run"],
                "",
                min(99, self._percent(run, now_s)),
                1600,
            ]
            for run in self.active.values()
        ]
        return 200, self._reply(active=rows, finished=self.ends[:500])

    def _percent(self, run: dict[str, Any], now_s: float) -> int:
        length_s = max(run["end_s"] - run["began_s"], 0.001)
        return int(100 * (now_s - run["began_s"]) / length_s)
