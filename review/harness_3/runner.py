"""Stand-in for a runner: starts, stops and leases runs."""

import http.client
import json
import threading
import time
from typing import Any

from harness_3.http_service import Reply, serve

TICK_S = 0.005
STOP_S = 0.02
HOLD_MAX_MS = 1000
PAGE_ENDS = 500
HEARTBEAT_S = 1.5


class _Run:
    """A run that is active, or that is being stopped."""

    def __init__(self, task: str, run_id: int, work_s: float):
        self.task = task
        self.run_id = run_id
        self.work_s = work_s
        self.started_s = time.monotonic()
        self.stopped_s: float | None = None


class Runner:
    """One runner with its heartbeats.

    The spec of a task is JSON with its run time, `work_ms`.

    Args:
        address: Its address, host and port.
        control_plane: Address of the machine that takes its heartbeats.
        service: Its service.
        zone: Its availability zone.
        capacity: Its room.
        record: Called with each event: its name and values.
    """

    def __init__(
        self,
        address: tuple[str, int],
        control_plane: tuple[str, int],
        service: str,
        zone: str,
        capacity: dict[str, int],
        record: Any,
    ):
        self.address = address
        self.control_plane = control_plane
        self.service = service
        self.zone = zone
        self.capacity = capacity
        self.record = record
        self.instance = f"i-{address[0].replace('.', '-')}"
        self.born_ms = int(time.time() * 1000)
        self.started_s = time.monotonic()
        self.sequence = 0
        self.state = "ready"
        self.runs: dict[str, _Run] = {}
        self.highest: dict[str, int] = {}
        self.ends: list[list[Any]] = []
        self.end_count = 0
        self.lease_end_ms = 0
        self.changed = threading.Condition()
        serve(*address, self._handle)
        threading.Thread(target=self._work, daemon=True).start()
        threading.Thread(target=self._send_heartbeats, daemon=True).start()

    def clock_ms(self) -> int:
        """Returns its steady clock."""
        return int((time.monotonic() - self.started_s) * 1000) + 5000

    def _handle(
        self,
        _method: str,
        path: str,
        _query: dict[str, str],
        body: dict[str, Any],
        headers: Any,
    ) -> Reply:
        if headers.get("X-Expect-Instance", self.instance) != self.instance:
            return 421, {}
        handlers = {
            "/run-start": self._start,
            "/run-stop": self._stop,
            "/hold": self._hold,
        }
        handler = handlers.get(path)
        if handler is None:
            return 404, {}
        with self.changed:
            return handler(body)

    def _reply(self, status: int, **values: Any) -> Reply:
        return status, {
            "clock_ms": self.clock_ms(),
            "born": self.born_ms,
            **values,
        }

    def _extend(self, until_ms: int | None) -> None:
        if until_ms is not None:
            longest_ms = self.clock_ms() + HOLD_MAX_MS
            self.lease_end_ms = max(
                self.lease_end_ms, min(until_ms, longest_ms)
            )

    def _start(self, body: dict[str, Any]) -> Reply:
        task, run_id = body["task"], body["run_id"]
        known = self.runs.get(task)
        if known is not None and known.run_id == run_id:
            self._extend(body["until_ms"])
            return self._reply(200)
        if known is not None or run_id <= self.highest.get(task, 0):
            self._extend(body["until_ms"])
            return self._reply(409, reason="old")
        if body["until_ms"] < self.clock_ms():
            return self._reply(409, reason="late")
        self._extend(body["until_ms"])
        work_s = json.loads(body["spec"])["work_ms"] / 1000
        self.runs[task] = _Run(task, run_id, work_s)
        self.record("start", runner=self.instance, task=task, run=run_id)
        return self._reply(200)

    def _stop(self, body: dict[str, Any]) -> Reply:
        task, run_id = body["task"], body["run_id"]
        self.highest[task] = max(self.highest.get(task, 0), run_id)
        run = self.runs.get(task)
        if run is not None and run.run_id <= run_id and not run.stopped_s:
            run.stopped_s = time.monotonic()
        return self._reply(200)

    def _hold(self, body: dict[str, Any]) -> Reply:
        self._extend(body.get("until_ms"))
        acknowledged = body["ack_seq"]
        self.ends = [end for end in self.ends if end[0] > acknowledged]
        until_s = time.monotonic() + body.get("wait_ms", 0) / 1000
        while not self.ends:
            left_s = until_s - time.monotonic()
            if left_s <= 0:
                break
            self.changed.wait(left_s)
        now_s = time.monotonic()
        active = [
            [run.task, run.run_id, "", self._percent(run, now_s), 100]
            for run in self.runs.values()
        ]
        return self._reply(200, active=active, finished=self.ends[:PAGE_ENDS])

    def _percent(self, run: _Run, now_s: float) -> int:
        return min(99, int(100 * (now_s - run.started_s) / run.work_s))

    def _end(self, run: _Run, how: str) -> None:
        del self.runs[run.task]
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.run_id)
        self.end_count += 1
        self.ends.append([self.end_count, run.task, run.run_id, how, ""])
        self.record(
            "end", runner=self.instance, task=run.task, run=run.run_id, how=how
        )
        self.changed.notify_all()

    def _work(self) -> None:
        while True:
            time.sleep(TICK_S)
            with self.changed:
                now_s = time.monotonic()
                is_lapsed = self.clock_ms() > self.lease_end_ms
                for run in list(self.runs.values()):
                    if run.stopped_s is not None:
                        if now_s - run.stopped_s >= STOP_S:
                            self._end(run, "stopped")
                    elif is_lapsed:
                        self._end(run, "lapsed")
                    elif now_s - run.started_s >= run.work_s:
                        self._end(run, "done")

    def _send_heartbeats(self) -> None:
        while True:
            self.sequence += 1
            body = {
                "service": self.service,
                "address": f"{self.address[0]}:{self.address[1]}",
                "zone": self.zone,
                "version": "v1",
                "slots": 8,
                "state": self.state,
                "cold_left_ms": 0,
                "capacity": self.capacity,
                "labels": ["a", "r1-1"],
                "clock_ms": self.clock_ms(),
                "sequence": self.sequence,
                "born": self.born_ms,
            }
            is_acknowledged = False
            try:
                connection = http.client.HTTPConnection(
                    *self.control_plane, timeout=1.0
                )
                connection.request(
                    "POST",
                    f"/instances/{self.instance}/heartbeat",
                    json.dumps(body),
                    {"Content-Type": "application/json"},
                )
                is_acknowledged = connection.getresponse().status == 200
                connection.close()
            except (OSError, http.client.HTTPException):
                pass
            time.sleep(HEARTBEAT_S if is_acknowledged else 0.3)
