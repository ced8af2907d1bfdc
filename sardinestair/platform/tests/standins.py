"""HTTP servers for tests that stand in for a runner and the store."""

import base64
import threading

import msgspec

from sardinestair.observability import EventLog
from sardinestair.standins.runner import RunnerModel
from sardinestair.upstreams.orders import EndKind, Refusal, RunId
from sardinestair.web import (
    HttpServer,
    Request,
    Response,
    WebApp,
    json_response,
)

_REASONS_BY_REFUSAL = {
    Refusal.OLD_RUN: "old",
    Refusal.TOO_LATE: "late",
    Refusal.NO_ROOM: "room",
}
_END_NAMES = {
    EndKind.DONE: "done",
    EndKind.FAILED: "failed",
    EndKind.STOPPED: "stopped",
    EndKind.LAPSED: "lapsed",
}
POLL_INTERVAL_S = 0.005


class RunnerServer:
    """Serves a `RunnerModel` over the HTTP interface of a runner."""

    def __init__(self, model: RunnerModel):
        self.model = model
        self.lock = threading.Lock()
        self.requests: list[tuple[str, dict]] = []
        self.status = 200
        self.name = "i-1"
        rules = [
            ("/run-start", ["POST"], self.start_run),
            ("/run-stop", ["POST"], self.stop_run),
            ("/hold", ["POST"], self.report_runs),
        ]
        app = WebApp(rules, 1 << 20, EventLog("runner_standin"))
        self.http = HttpServer("127.0.0.1", 0, app)

    @property
    def address(self):
        return f"127.0.0.1:{self.http.port}"

    def start_run(self, request: Request) -> Response:
        body = self._record_request(request)
        if request.headers.get("X-Expect-Instance") not in ("", self.name):
            return json_response({}, 421)
        if self.status != 200:
            return json_response(self._clock_body(), self.status)
        payload = body["spec"].encode()
        run = self._to_run_id(body)
        with self.lock:
            reply = self.model.start(run, payload, body["until_ms"] / 1000, 1.0)
        if reply.ok.refusal is None:
            return json_response(self._clock_body())
        reason = _REASONS_BY_REFUSAL[reply.ok.refusal]
        return json_response({**self._clock_body(), "reason": reason}, 409)

    def stop_run(self, request: Request) -> Response:
        body = self._record_request(request)
        with self.lock:
            self.model.stop(self._to_run_id(body), 1.0)
        return json_response(self._clock_body())

    def report_runs(self, request: Request) -> Response:
        body = self._record_request(request)
        until = body.get("until_ms")
        until_s = None if until is None else until / 1000
        for _ in range(
            int(body.get("wait_ms", 0) / 1000 / POLL_INTERVAL_S) + 1
        ):
            with self.lock:
                report = self.model.report(until_s, body["ack_seq"], 0, 1.0).ok
            if report.ends:
                break
            threading.Event().wait(POLL_INTERVAL_S)
        return json_response(
            {
                **self._clock_body(),
                "born": report.incarnation_ms,
                "active": [
                    [
                        _format_task_name(s.run),
                        s.run.attempt,
                        "",
                        s.percent,
                        1600,
                    ]
                    for s in report.active
                ],
                "finished": [
                    [
                        e.sequence,
                        _format_task_name(e.run),
                        e.run.attempt,
                        _END_NAMES[e.how],
                        "",
                    ]
                    for e in report.ends
                ],
            }
        )

    def _record_request(self, request: Request) -> dict:
        body = msgspec.json.decode(request.body)
        self.requests.append((request.path, body))
        return body

    def _to_run_id(self, body: dict) -> RunId:
        job, _, _, index = body["task"].split(".")
        return RunId(job, int(index), body["run_id"])

    def _clock_body(self) -> dict:
        return {"clock_ms": int(self.model.clock.monotonic() * 1000)}


def _format_task_name(run: RunId) -> str:
    return f"{run.job}.0.0.{run.index}"


class StoreServer:
    """Stand-in for the platform's store with revisions, leases and watches.

    Attributes:
        items: Value, revision and lease by key.
        page_size: Maximum number of items in a page.
        compacted_revision: Watches from earlier revisions get status 410.
        next_statuses: Error statuses of the next calls.
    """

    def __init__(self, page_size=500):
        self.items: dict[str, tuple[bytes, int, int]] = {}
        self.events: list[dict] = []
        self.leases: set[int] = set()
        self.revision = 5
        self.page_size = page_size
        self.compacted_revision = 0
        self.next_statuses: list[int] = []
        self.calls: list[str] = []
        self.lock = threading.RLock()
        rules = [
            ("/kv-range", ["GET"], self._with_next_status(self.read_range)),
            ("/kv-watch", ["GET"], self._with_next_status(self.watch)),
            ("/kv-txn", ["POST"], self._with_next_status(self.commit)),
            ("/kv-lease", ["POST"], self._with_next_status(self.grant_lease)),
            (
                "/kv-keep/<lease>",
                ["POST"],
                self._with_next_status(self.renew_lease),
            ),
            (
                "/kv-lease-end/<lease>",
                ["DELETE"],
                self._with_next_status(self.revoke_lease),
            ),
        ]
        app = WebApp(rules, 1 << 20, EventLog("store_standin"))
        self.http = HttpServer("127.0.0.1", 0, app, max_blocking_requests=8)

    @property
    def address(self):
        return f"127.0.0.1:{self.http.port}"

    def put(self, key: str, value: bytes, lease: int = 0) -> None:
        with self.lock:
            self.revision += 1
            self.items[key] = (value, self.revision, lease)
            self.events.append(self._to_item(key))

    def remove(self, key: str) -> None:
        with self.lock:
            if self.items.pop(key, None) is not None:
                self.revision += 1
                event = {"key": key, "revision": self.revision}
                self.events.append({**event, "deleted": True})

    def read_range(self, request: Request) -> Response:
        prefix = request.args["prefix"]
        after = request.args.get("after", "")
        with self.lock:
            keys = sorted(
                k for k in self.items if k.startswith(prefix) and k > after
            )
            rows = [self._to_item(key) for key in keys[: self.page_size]]
            more = len(keys) > self.page_size
            return json_response(
                {"items": rows, "more_pages": more, "at_rev": self.revision}
            )

    def watch(self, request: Request) -> Response:
        prefix, after = request.args["prefix"], int(request.args["after"])
        if after < self.compacted_revision:
            return json_response({}, 410)
        for _ in range(
            int(int(request.args["wait_ms"]) / 1000 / POLL_INTERVAL_S) + 1
        ):
            with self.lock:
                found = [
                    event
                    for event in self.events
                    if event["revision"] > after
                    and event["key"].startswith(prefix)
                ]
                if found:
                    break
            threading.Event().wait(POLL_INTERVAL_S)
        return json_response({"events": found, "at_rev": self.revision})

    def commit(self, request: Request) -> Response:
        body = msgspec.json.decode(request.body)
        with self.lock:
            rows = [self._to_item(e["key"]) for e in body["expected"]]
            revisions = [row["revision"] for row in rows]
            if revisions != [e["revision"] for e in body["expected"]]:
                existing = [row for row in rows if row["revision"]]
                return json_response({"items": existing}, 412)
            for put in body["puts"]:
                if put.get("lease", 0) and put["lease"] not in self.leases:
                    return json_response({}, 404)
                value = base64.b64decode(put["value"])
                self.put(put["key"], value, put.get("lease", 0))
            for key in body["remove"]:
                self.remove(key)
            return json_response({"revision": self.revision})

    def grant_lease(self, request: Request) -> Response:
        body = msgspec.json.decode(request.body)
        lease = 1000 + len(self.leases)
        self.leases.add(lease)
        return json_response({"lease": lease, "ttl_ms": body["ttl_ms"]})

    def renew_lease(self, _request: Request, lease: str) -> Response:
        is_held = int(lease) in self.leases
        return json_response({}, 200 if is_held else 404)

    def revoke_lease(self, _request: Request, lease: str) -> Response:
        self.leases.discard(int(lease))
        for key, (_, _, held) in list(self.items.items()):
            if held == int(lease):
                self.remove(key)
        return json_response({})

    def _with_next_status(self, handler):
        def serve(request: Request, **values) -> Response:
            self.calls.append(request.target)
            if self.next_statuses:
                return json_response({}, self.next_statuses.pop(0))
            return handler(request, **values)

        return serve

    def _to_item(self, key: str) -> dict:
        value, revision, lease = self.items.get(key, (b"", 0, 0))
        return {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": revision,
            "created": revision,
            "lease": lease,
        }
