"""Calls an upstream over HTTP."""

import abc
import asyncio
import time
from collections.abc import Callable, Collection, Coroutine
from typing import Any, Protocol
from urllib.parse import urlsplit

import msgspec

from sardinestair.async_transfer import WITHDRAWN, TransferPool
from sardinestair.ids import format_job_id
from sardinestair.limits.connections import ConnectionLimit
from sardinestair.links.timing import STOP_LIMIT_S
from sardinestair.messages import TaskRef, TaskState
from sardinestair.observability import EventLog
from sardinestair.tasks import abort_process
from sardinestair.transfer import Reply

__all__ = [
    "AsyncCaller",
    "CallResult",
    "ResultCallback",
    "TaskCaller",
    "UpstreamCaller",
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
        has_crashed: True if the upstream's process ended while the task ran;
            `run_s` then counts until that end.
        is_confirmed: False if the task may not have begun.
        start_s: Part of `run_s` until the upstream had taken the start, in
            seconds.
    """

    state: TaskState
    body: bytes
    is_json: bool
    run_s: float
    is_unreachable: bool = False
    has_crashed: bool = False
    is_confirmed: bool = True
    start_s: float = 0.0


ResultCallback = Callable[[CallResult], object]


class TaskCaller(Protocol):
    """Interface for running tasks at one upstream.

    Attributes:
        is_leased: True if tasks can be stopped and end when their lease
            expires.
    """

    is_leased: bool

    @property
    def has_no_orphans(self) -> bool:
        """True once no task of an earlier sidecar can be running."""
        ...

    @property
    def is_lease_ending(self) -> bool:
        """True if tasks that start now may soon end with their lease."""
        ...

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

    def stop(
        self,
        ref: TaskRef,
        reason: bytes = b"cancelled",
        within_s: float = STOP_LIMIT_S,
    ) -> None:
        """Requests that a task be stopped; without effect unless overridden.

        Args:
            ref: The attempt.
            reason: Why it is stopped, in UTF-8.
            within_s: Time within which it must have ended, in seconds. The
                lease isn't renewed beyond, which ends all tasks there.
        """
        return

    def close(self) -> None:
        """Ends the caller's background activity."""


class AsyncCaller(TaskCaller):
    """Base class of callers whose calls are coroutines of the event loop.

    Attributes:
        calls: The calls in progress.
    """

    def __init__(self) -> None:
        self.calls: set[asyncio.Task[None]] = set()

    @abc.abstractmethod
    async def call(
        self,
        ref: TaskRef,
        payload: bytes,
        timeout_s: float,
        may_start: Callable[[], bool],
    ) -> CallResult:
        """Runs one task and waits for its end; see `TaskCaller.start`."""

    def start(
        self,
        ref: TaskRef,
        payload: bytes,
        timeout_s: float,
        may_start: Callable[[], bool],
        on_result: ResultCallback,
    ) -> None:
        """Starts one task; see `TaskCaller.start`."""

        async def call() -> None:
            on_result(await self.call(ref, payload, timeout_s, may_start))

        self._run_in_background(call())

    def _run_in_background(self, call: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(_end_with_process(call))
        # The loop itself keeps only weak references to tasks.
        self.calls.add(task)
        task.add_done_callback(self.calls.discard)


async def _end_with_process(call: Coroutine[Any, Any, None]) -> None:
    """Ends the process if a call ends with an exception.

    It means a violated invariant: the resources of the call would never be
    released.
    """
    try:
        await call
    except Exception:
        _log.logger.exception("invariant_broken")
        abort_process()


class UpstreamCaller(AsyncCaller):
    """Runs tasks as HTTP requests.

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
    is_lease_ending = False

    def __init__(
        self,
        address: str,
        not_run_statuses: Collection[int] = (),
        max_connections: int = 64,
    ):
        super().__init__()
        url = urlsplit(address)
        self.path = url.path.rstrip("/") + TASK_PATH
        self.not_run_statuses = frozenset(not_run_statuses)
        self.transfers = TransferPool(
            url.hostname or "",
            url.port or HTTP_PORT,
            ConnectionLimit(max_connections),
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
        start_s = time.monotonic()

        def may_send() -> bool:
            # The run time does not include the wait for a connection.
            nonlocal start_s
            start_s = time.monotonic()
            return may_start()

        reply = await self.transfers.perform(
            "POST",
            self.path,
            payload,
            timeout_s,
            _format_headers(ref),
            may_send,
        )
        run_s = time.monotonic() - start_s
        if isinstance(reply, Reply):
            return self._make_result(reply.status, reply.body, run_s)
        state = TaskState.FAILED if reply.was_sent else TaskState.NOT_RUN
        is_unreachable = not reply.was_sent and reply is not WITHDRAWN
        return CallResult(
            state, reply.reason.encode(), False, run_s, is_unreachable
        )

    def close(self) -> None:
        """Closes the idle connections; tasks in progress go on."""
        self.transfers.close()

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
