"""Stand-in for an upstream, whose tasks sleep for a given time.

It announces itself to a sidecar, and can write a line to a file for each
started task, which tests check.
"""

import asyncio
import os
import threading
import time

import msgspec

from sardinestair.observability import EventLog
from sardinestair.transfer import Reply, Transfer, TransferFailure
from sardinestair.web import HttpServer, Request, Response, WebApp

__all__ = ["UpstreamStandin"]

MAX_BODY_BYTES = 1 << 20
SIDECAR_TIMEOUT_S = 1.0
LEAVE_TIMEOUT_S = 30.0


class TaskPayload(msgspec.Struct):
    """Payload of a task.

    Attributes:
        run_s: Run time at a typical upstream, in seconds.
        fail: True to answer with status 500.
        echo: JSON value to return in the answer.
    """

    run_s: float = 0.0
    fail: bool = False
    echo: msgspec.Raw = msgspec.Raw(b"null")


class UpstreamStandin:
    """An upstream whose tasks sleep.

    Args:
        sidecar: Base URL of the sidecar's HTTP API.
        service: The service that it provides.
        slots: Number of tasks that may run at a time.
        speed: Factor by which run times are multiplied; larger is slower.
        port: Port to listen on, 0 for any.
        ttl_s: Time to live of the announcement, in seconds.
        start_log: File for one line per started task, or None.
        fails_all: True to answer every task with status 500 at once.
        notice_s: Notice that it gives when it stops, in seconds, or None.

    Attributes:
        running: Number of running tasks.
        max_running: Greatest number of tasks that ran at a time.
    """

    def __init__(
        self,
        sidecar: str,
        service: str,
        slots: int = 8,
        speed: float = 1.0,
        port: int = 0,
        ttl_s: float = 3.0,
        start_log: str | None = None,
        fails_all: bool = False,
        notice_s: float | None = None,
    ):
        self.sidecar = sidecar
        self.service = service
        self.slots = slots
        self.speed = speed
        self.ttl_s = ttl_s
        self.start_log = start_log
        self.fails_all = fails_all
        self.notice_s = notice_s
        self.running = 0
        self.max_running = 0
        self.stopping = threading.Event()
        self.log = EventLog("upstream_standin", service=service)
        rules = [
            ("/tasks", ["POST"], self._run_task),
            ("/healthz", ["GET"], self._show_health),
        ]
        app = WebApp(rules, MAX_BODY_BYTES, self.log)
        self.http = HttpServer("127.0.0.1", port, app)
        self.start_log_fd: int | None = None

    @property
    def address(self) -> str:
        """Base URL of the stand-in."""
        return f"http://127.0.0.1:{self.http.port}"

    def start(self) -> None:
        """Starts serving and announcing."""
        if self.start_log is not None:
            flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
            self.start_log_fd = os.open(self.start_log, flags, 0o644)
        self.http.start()
        threading.Thread(
            target=self._announce_periodically, daemon=True
        ).start()

    def stop(self) -> None:
        """Withdraws the upstream, waits for its tasks, and stops serving."""
        self.stopping.set()
        notice = (
            "" if self.notice_s is None else f"?leaves_in_s={self.notice_s}"
        )
        self._call_sidecar("DELETE", b"", notice)
        stop_deadline_s = time.monotonic() + LEAVE_TIMEOUT_S
        while (
            self._has_unfinished_tasks() and time.monotonic() < stop_deadline_s
        ):
            time.sleep(0.01)
        self.http.stop()

    def _has_unfinished_tasks(self) -> bool:
        """Returns True while the sidecar has unfinished tasks here.

        That includes tasks that haven't arrived yet.
        """
        reply = self._call_sidecar("GET", b"")
        if reply is None:
            return self.running > 0
        return msgspec.json.decode(reply.body)["running"] > 0

    def _announce_periodically(self) -> None:
        body = msgspec.json.encode(
            {
                "service": self.service,
                "address": self.address,
                "slots": self.slots,
                "ttl_s": self.ttl_s,
            }
        )
        while not self.stopping.is_set():
            self._call_sidecar("PUT", body)
            self.stopping.wait(self.ttl_s / 4)

    def _call_sidecar(
        self, method: str, body: bytes, query: str = ""
    ) -> Reply | None:
        url = f"{self.sidecar}/v1/upstream{query}"
        reply = Transfer().perform(method, url, body, SIDECAR_TIMEOUT_S)
        if isinstance(reply, TransferFailure):
            self.log.warning("announce_failed", reason=reply.reason)
            return None
        return reply

    async def _run_task(self, request: Request) -> Response:
        task = msgspec.json.decode(request.body, type=TaskPayload)
        self._log_start(request)
        self.running += 1
        self.max_running = max(self.max_running, self.running)
        try:
            if not self.fails_all:
                await asyncio.sleep(task.run_s * self.speed)
        finally:
            self.running -= 1
        if task.fail or self.fails_all:
            return Response(b"told to fail", 500)
        return Response(bytes(task.echo), mimetype="application/json")

    def _log_start(self, request: Request) -> None:
        if self.start_log_fd is None:
            return
        job = request.headers.get("Sardinestair-Job", "none")
        index = request.headers.get("Sardinestair-Task", "none")
        line = f"{time.time():.6f} {job} {index} {self.http.port}\n"
        os.write(self.start_log_fd, line.encode())

    async def _show_health(self, _request: Request) -> Response:
        return Response(b"", 500 if self.fails_all else 200)
