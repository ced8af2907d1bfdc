"""Calls an upstream over HTTP."""

import asyncio
import time
from collections.abc import Callable, Collection, Coroutine
from typing import Any, Protocol
from urllib.parse import urlsplit

import msgspec

from sardinestair.async_transfer import WITHDRAWN, AsyncTransfer
from sardinestair.ids import format_job_id
from sardinestair.messages import TaskRef, TaskState
from sardinestair.observability import EventLog
from sardinestair.tasks import abort_process
from sardinestair.transfer import Reply

__all__ = [
    "CallResult",
    "ResultCallback",
    "TaskCaller",
    "UpstreamCaller",
    "run_call",
]

HTTP_PORT = 80
MAX_REASON_CHARACTERS = 200
TASK_PATH = "/tasks"

_log = EventLog("upstream")


class CallResult(msgspec.Struct, frozen=True):
    """Result of running one task at the upstream.

    Attributes:
        state: DONE if the task succeeded, NOT_RUN if it certainly did not
            begin, INTERRUPTED if it was ended before completion, FAILED
            otherwise.
        body: The upstream's reply, or the reason in UTF-8.
        is_json: True if the body is a JSON value.
        run_s: Duration of the call, in seconds.
        is_unreachable: True if no connection to the upstream could be made.
    """

    state: TaskState
    body: bytes
    is_json: bool
    run_s: float
    is_unreachable: bool = False


ResultCallback = Callable[[CallResult], object]


class TaskCaller(Protocol):
    """Interface for running tasks at one upstream.

    Attributes:
        is_leased: True if tasks can be stopped and end when their lease
            expires.
        has_no_orphans: True once no task of an earlier sidecar can be
            running.
    """

    is_leased: bool
    has_no_orphans: bool

    def start(
        self,
        ref: TaskRef,
        payload: bytes,
        timeout_s: float,
        may_start: Callable[[], bool],
        on_result: ResultCallback,
    ) -> None:
        """Starts one task, without waiting.

        Args:
            ref: The attempt.
            payload: The task's payload.
            timeout_s: Time after which the task is given up, in seconds.
            may_start: Called immediately before the task is sent, which may be
                later than this call; returns False if it must not start any
                more.
            on_result: Called once with the result, in the same thread.
        """
        ...

    def stop(self, ref: TaskRef, reason: bytes = b"") -> None:
        """Requests that a task be stopped, if the upstream supports it."""

    def close(self) -> None:
        """Ends the caller's background activity."""


class UpstreamCaller:
    """Runs tasks as HTTP requests in the running event loop.

    Connections are reused, last in, first out.

    Args:
        address: Base URL of the upstream.
        not_run_statuses: HTTP statuses with which the service reports that
            the task did not begin.
        max_connections: Number of tasks that are sent at a time; others wait.

    Examples:
        >>> async def call():
        ...     caller = UpstreamCaller("http://127.0.0.1:9")
        ...     ref = TaskRef(b"0" * 16, 0, 1)
        ...     return await caller.call(ref, b"{}", 1.0, lambda: True)
        >>> asyncio.run(call()).state
        <TaskState.NOT_RUN: 'not_run'>
    """

    is_leased = False
    has_no_orphans = True

    def __init__(
        self,
        address: str,
        not_run_statuses: Collection[int] = (),
        max_connections: int = 64,
    ):
        url = urlsplit(address)
        self.host, self.port = url.hostname or "", url.port or HTTP_PORT
        self.path = url.path.rstrip("/") + TASK_PATH
        self.not_run_statuses = frozenset(not_run_statuses)
        self.connection_slots = asyncio.Semaphore(max_connections)
        self.idle_transfers: list[AsyncTransfer] = []
        self.calls: set[asyncio.Task[None]] = set()

    def start(
        self,
        ref: TaskRef,
        payload: bytes,
        timeout_s: float,
        may_start: Callable[[], bool],
        on_result: ResultCallback,
    ) -> None:
        """Starts one task; see `TaskCaller.start`."""
        run_call(
            self.calls, self.call(ref, payload, timeout_s, may_start), on_result
        )

    async def call(
        self,
        ref: TaskRef,
        payload: bytes,
        timeout_s: float,
        may_start: Callable[[], bool],
    ) -> CallResult:
        """Sends one task and waits for the reply.

        Args:
            ref: The attempt.
            payload: The request body.
            timeout_s: Time-out of the request, in seconds.
            may_start: See `TaskCaller.start`.

        Returns:
            The result: DONE for a 2xx reply; NOT_RUN if the request was not
            sent, or the status is one of `not_run_statuses`; otherwise
            FAILED, since the task may have run.
        """
        async with self.connection_slots:
            transfer = (
                self.idle_transfers.pop()
                if self.idle_transfers
                else AsyncTransfer(self.host, self.port)
            )
            start_s = time.monotonic()
            reply = await transfer.perform(
                "POST",
                self.path,
                payload,
                timeout_s,
                _format_headers(ref),
                may_start,
            )
            self.idle_transfers.append(transfer)
        run_s = time.monotonic() - start_s
        if isinstance(reply, Reply):
            return self._make_result(reply.status, reply.body, run_s)
        state = TaskState.FAILED if reply.was_sent else TaskState.NOT_RUN
        is_unreachable = not reply.was_sent and reply is not WITHDRAWN
        return CallResult(
            state, reply.reason.encode(), False, run_s, is_unreachable
        )

    def stop(self, ref: TaskRef, reason: bytes = b"") -> None:
        """Does nothing: a request in flight can't be stopped."""

    def close(self) -> None:
        """Closes the idle connections; tasks in progress go on."""
        for transfer in self.idle_transfers:
            transfer.close()

    def _make_result(
        self, status: int, body: bytes, run_s: float
    ) -> CallResult:
        if 200 <= status < 300:
            return CallResult(TaskState.DONE, body, _is_json(body), run_s)
        refused = status in self.not_run_statuses
        state = TaskState.NOT_RUN if refused else TaskState.FAILED
        text = body.decode("utf-8", "replace")[:MAX_REASON_CHARACTERS]
        reason = f"status {status}: {text}"
        return CallResult(state, reason.encode(), False, run_s)


def run_call(
    calls: set[asyncio.Task[None]],
    call: Coroutine[Any, Any, CallResult],
    on_result: ResultCallback,
) -> None:
    """Runs a call as a task of the event loop, and reports its result.

    An exception means a violated invariant, and ends the process: the
    resources of the call would never be released.

    Args:
        calls: Keeps the task until it has ended.
        call: The call.
        on_result: Called with the result.
    """

    async def run() -> None:
        try:
            on_result(await call)
        except Exception:
            _log.logger.exception("invariant_broken")
            abort_process()

    task = asyncio.get_running_loop().create_task(run())
    calls.add(task)
    task.add_done_callback(calls.discard)


def _format_headers(ref: TaskRef) -> str:
    return (
        "Content-Type: application/json\r\n"
        f"Sardinestair-Job: {format_job_id(ref.job)}\r\n"
        f"Sardinestair-Task: {ref.index}\r\n"
    )


def _is_json(body: bytes) -> bool:
    try:
        msgspec.json.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return False
    return True
