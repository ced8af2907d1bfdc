"""HTTP server in an event loop."""

import asyncio
import ctypes
import socket
import struct
from collections.abc import Awaitable, Callable, Coroutine
from concurrent.futures import ThreadPoolExecutor
from typing import Any, TypeVar

from sardinestair.event_loop import EventLoop
from sardinestair.launch import LISTEN_BACKLOG
from sardinestair.web.app import WebApp
from sardinestair.web.connection import HttpConnection
from sardinestair.web.limits import HttpLimits
from sardinestair.web.memory import (
    MemoryAccount,
    MemoryShare,
    ServerRole,
    budget_bytes,
)
from sardinestair.web.turns import TurnQueue

__all__ = ["HttpLimits", "HttpServer"]

T = TypeVar("T")

SO_ATTACH_FILTER = 26
# One classic BPF instruction, `ret #0`: drop every packet.
BPF_RETURN_ZERO = struct.pack("HBBI", 0x06, 0, 0, 0)
TIME_CHECK_INTERVAL_S = 1.0
STOP_TIMEOUT_S = 2.0


class HttpServer:
    """Serves an application in an event loop.

    Args:
        host: IP address to listen on.
        port: Port to listen on, 0 to let the system choose one.
        app: The application.
        event_loop: The event loop; the server runs one of its own if None.
        listener: A socket that already listens; replaces `host` and `port`.
        limits: Limits of connections and requests.
        max_blocking_requests: Maximum number of handlers that block at a time.
        share: Memory and connections that it shares with other servers; None
            for an account of its own.

    Attributes:
        port: The port it listens on, after `start`.
        connections: The open connections.
        turns: The connections whose data is handled a little at a time.
    """

    def __init__(
        self,
        host: str,
        port: int,
        app: WebApp,
        event_loop: EventLoop | None = None,
        listener: socket.socket | None = None,
        limits: HttpLimits | None = None,
        max_blocking_requests: int = 4,
        share: MemoryShare | None = None,
    ):
        self.host = host
        self.port = port
        self.app = app
        self.owns_loop = event_loop is None
        self.event_loop = event_loop or EventLoop()
        self.listener = listener
        self.limits = limits or HttpLimits()
        self.max_blocking_requests = max_blocking_requests
        self.share = share or self._make_share()
        self.share.make_room_for(app.max_body_bytes)
        self.threads: ThreadPoolExecutor | None = None
        self.server: asyncio.AbstractServer | None = None
        # A dict, as a set that keeps the order.
        self.connections: dict[HttpConnection, None] = {}
        self.turns = TurnQueue(self.event_loop.loop.call_soon)
        self.tasks: set[asyncio.Task[Any]] = set()
        self.timer: asyncio.TimerHandle | None = None
        self.is_stopped = False

    # Safe to call from other threads.

    def start(self) -> None:
        """Binds the port and starts to serve."""
        if self.listener is None:
            self.listener = socket.create_server(
                (self.host, self.port), backlog=LISTEN_BACKLOG
            )
        self.port = self.listener.getsockname()[1]
        if self.owns_loop:
            self.event_loop.start()
        self.event_loop.run_coroutine(self._start()).result()

    def refuse_connections(self) -> None:
        """Blocks new connections, while pending ones are still served.

        Closing the listener would reset connections that the kernel has
        already accepted, whose request may have been sent. A socket filter on
        the listener drops only the packets that would open new connections;
        once `stop` has closed it, they are refused.
        """
        assert self.listener is not None
        drop_all = ctypes.create_string_buffer(BPF_RETURN_ZERO)
        program = struct.pack("HxxxxxxP", 1, ctypes.addressof(drop_all))
        try:
            self.listener.setsockopt(
                socket.SOL_SOCKET, SO_ATTACH_FILTER, program
            )
        except OSError as error:
            # Connections made shortly before `stop` may then be reset.
            self.app.log.warning("socket_filter_failed", reason=str(error))

    def stop(self) -> None:
        """Closes the listener, and each connection after its response."""
        if self.is_stopped:
            return
        self.is_stopped = True
        if self.server is not None:
            self.event_loop.run_coroutine(self._stop()).result()
        elif self.listener is not None:
            self.listener.close()
        if self.threads is not None:
            self.threads.shutdown(wait=False, cancel_futures=True)
        if self.owns_loop and self.event_loop.thread is not None:
            self.event_loop.stop()

    # Called in the loop's thread, by connections.

    def now_s(self) -> float:
        """Returns the time on the loop's clock."""
        return self.event_loop.loop.time()

    def add_connection(self, connection: HttpConnection) -> None:
        """Registers a connection; others are evicted if there are too many."""
        self.share.add(connection)
        self.connections[connection] = None
        if self.timer is None:
            self._schedule_time_check()

    def remove_connection(self, connection: HttpConnection) -> None:
        """Forgets a connection that is gone."""
        self.connections.pop(connection, None)
        self.share.remove(connection, connection.handled_bytes)

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Runs a coroutine as a task."""
        task = self.event_loop.loop.create_task(coroutine)
        # The loop itself keeps only weak references to tasks.
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def run_blocking(
        self, function: Callable[..., T], *arguments: Any
    ) -> Awaitable[T]:
        """Runs a function that may block in a thread."""
        if self.threads is None:
            self.threads = ThreadPoolExecutor(
                self.max_blocking_requests, thread_name_prefix="http"
            )
        return self.event_loop.loop.run_in_executor(
            self.threads, function, *arguments
        )

    # Internals.

    def _make_share(self) -> MemoryShare:
        account = MemoryAccount(
            budget_bytes(None),
            self.limits.max_connections,
            self.now_s,
            self.app.log,
        )
        return account.shares[ServerRole.CALLERS]

    async def _start(self) -> None:
        self.server = await self.event_loop.loop.create_server(
            lambda: HttpConnection(self),
            sock=self.listener,
            backlog=LISTEN_BACKLOG,
        )

    def _check_time(self) -> None:
        self.timer = None
        now_s = self.now_s()
        for connection in list(self.connections):
            connection.check_time(now_s)
        if self.connections:
            self._schedule_time_check()

    def _schedule_time_check(self) -> None:
        self.timer = self.event_loop.loop.call_later(
            TIME_CHECK_INTERVAL_S, self._check_time
        )

    async def _stop(self) -> None:
        assert self.server is not None
        self.app.is_closing = True
        self.server.close()
        if self.timer is not None:
            self.timer.cancel()
        for connection in list(self.connections):
            if not connection.has_requests():
                connection.close()
        deadline_s = self.now_s() + STOP_TIMEOUT_S
        while self.connections and self.now_s() < deadline_s:
            await asyncio.sleep(0.005)
        for connection in list(self.connections):
            connection.abort()
