"""The event loop of a process, which serves its sockets and timers.

Components that run in the loop are plain objects with a function that does
what is due; `LoopTask` calls it. They need no loop in tests and in emulations.
"""

import asyncio
import threading
import time
from collections import defaultdict
from collections.abc import Awaitable, Callable, Coroutine
from concurrent.futures import Future, ThreadPoolExecutor
from typing import Any, Protocol, TypeVar

import uvloop

from sardinestair.observability import EventLog
from sardinestair.tasks import abort_process

__all__ = ["EventLoop", "LoopHandle", "LoopTask", "wait_for_result"]

T = TypeVar("T")

# Functions that block run in these threads, which start on demand.
MAX_BLOCKING_THREADS = 4
# A timer is not set anew for a smaller change.
TIMER_TOLERANCE_S = 0.002


class EventLoop:
    """An asyncio event loop that runs in one thread.

    Args:
        max_blocking_threads: Maximum number of threads for functions that
            block.

    Attributes:
        loop: The asyncio loop.
        longest_delay_s: Longest delay of a timer since this was last taken,
            in seconds: for that time a callback held the loop, or the process
            got no processor time.
        busy_s: Time spent in tasks of the loop by purpose, in seconds.

    Examples:
        >>> event_loop = EventLoop()
        >>> event_loop.start()
        >>> event_loop.call(lambda: event_loop.is_current)
        True
        >>> event_loop.stop()
    """

    def __init__(self, max_blocking_threads: int = MAX_BLOCKING_THREADS):
        self.loop = uvloop.new_event_loop()
        self.loop.set_exception_handler(self._handle_exception)
        self.max_blocking_threads = max_blocking_threads
        self.blocking_threads: ThreadPoolExecutor | None = None
        self.thread: threading.Thread | None = None
        self.thread_id = 0
        self.longest_delay_s = 0.0
        self.on_delay: Callable[[float], None] = lambda _delay_s: None
        self.busy_s: defaultdict[str, float] = defaultdict(float)
        self.log = EventLog("event_loop")

    @property
    def is_current(self) -> bool:
        """True in the thread that runs the loop."""
        return threading.get_ident() == self.thread_id

    def start(self) -> None:
        """Runs the loop in a thread of its own until `stop`."""
        self.thread = threading.Thread(target=self.run, name="loop")
        self.thread.daemon = True
        self.thread.start()

    def run(self) -> None:
        """Runs the loop in the current thread until `stop`."""
        self.thread_id = threading.get_ident()
        threading.current_thread().name = "loop"
        asyncio.set_event_loop(self.loop)
        try:
            self.loop.run_forever()
        finally:
            self.thread_id = 0
            asyncio.set_event_loop(None)

    def stop(self) -> None:
        """Stops the loop; waits for its thread if `start` was called."""
        self.call_soon(self.loop.stop)
        if self.thread is not None:
            self.thread.join()
            self.loop.close()
        if self.blocking_threads is not None:
            self.blocking_threads.shutdown(wait=False, cancel_futures=True)

    def call_soon(self, function: Callable[[], object]) -> None:
        """Calls a function in the loop's thread, without waiting for it."""
        if self.is_current:
            self.loop.call_soon(function)
            return
        try:
            self.loop.call_soon_threadsafe(function)
        except RuntimeError:
            # The loop has been closed: there is nothing left to act on.
            self.log.info("call_after_close")

    def call(self, function: Callable[[], T]) -> T:
        """Calls a function in the loop's thread and returns its result."""
        if self.is_current:
            return function()

        async def run() -> T:
            return function()

        return self.run_coroutine(run()).result()

    def run_coroutine(self, coroutine: Coroutine[Any, Any, T]) -> Future[T]:
        """Runs a coroutine in the loop; safe to call from other threads."""
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop)

    def run_blocking(
        self, function: Callable[..., T], *arguments: Any
    ) -> Awaitable[T]:
        """Runs a function that blocks in a thread; called in the loop."""
        if self.blocking_threads is None:
            self.blocking_threads = ThreadPoolExecutor(
                self.max_blocking_threads, thread_name_prefix="blocking"
            )
        return self.loop.run_in_executor(
            self.blocking_threads, function, *arguments
        )

    def record_delay(self, delay_s: float) -> None:
        """Records by how much a timer was late, in seconds."""
        self.longest_delay_s = max(self.longest_delay_s, delay_s)
        self.on_delay(delay_s)

    def take_longest_delay_s(self) -> float:
        """Returns `longest_delay_s`, and starts it again."""
        longest_s, self.longest_delay_s = self.longest_delay_s, 0.0
        return longest_s

    def _handle_exception(
        self, _loop: asyncio.AbstractEventLoop, context: dict[str, Any]
    ) -> None:
        """Logs an error that no callback has handled; the loop goes on."""
        error = context.get("exception")
        self.log.logger.error(
            "loop_error",
            exc_info=error if isinstance(error, BaseException) else None,
            extra={"reason": str(context.get("message", ""))},
        )


class LoopHandle(Protocol):
    """Interface of a `LoopTask` for the component that it runs."""

    def wake(self) -> None:
        """Makes the component run soon; safe to call from other threads."""

    def add(self, descriptor: int) -> None:
        """Starts to watch a descriptor for being readable."""

    def remove(self, descriptor: int) -> None:
        """Stops watching a descriptor."""

    def take_readable(self) -> set[int]:
        """Returns the descriptors that became readable since the last call."""
        ...


class LoopTask:
    """Calls a function in an event loop whenever there is work for it.

    The function is called after `wake`, when a watched descriptor is readable
    and when the delay that it returned has passed. Several reasons in one turn
    of the loop lead to one call. An exception means a violated invariant, and
    ends the process.

    Args:
        event_loop: The event loop.
        run_once: The function; returns the time until it is due again, in
            seconds.
        log: Where an exception is logged.
        purpose: What the time of the calls is reported as.
        on_failure: Stops the process.
    """

    def __init__(
        self,
        event_loop: EventLoop,
        run_once: Callable[[], float],
        log: EventLog,
        purpose: str,
        on_failure: Callable[[], None] = abort_process,
    ):
        self.event_loop = event_loop
        self.run_once = run_once
        self.log = log
        self.purpose = purpose
        self.on_failure = on_failure
        self.readable: set[int] = set()
        self.watched: set[int] = set()
        self.timer: asyncio.TimerHandle | None = None
        self.due_s = 0.0
        self.is_scheduled = False
        self.is_wake_requested = False
        self.is_stopped = False

    # Safe to call from other threads.

    def wake(self) -> None:
        """Calls the function soon."""
        if self.event_loop.is_current:
            self._schedule()
        elif not self.is_wake_requested:
            self.is_wake_requested = True
            self.event_loop.call_soon(self._schedule)

    # Called in the loop's thread.

    def stop(self) -> None:
        """Ends the calls, and stops watching all descriptors."""
        self.is_stopped = True
        if self.timer is not None:
            self.timer.cancel()
        for descriptor in list(self.watched):
            self.remove(descriptor)

    def add(self, descriptor: int) -> None:
        """Starts to watch a descriptor for being readable."""
        self.watched.add(descriptor)
        self.event_loop.loop.add_reader(
            descriptor, self._handle_readable, descriptor
        )

    def remove(self, descriptor: int) -> None:
        """Stops watching a descriptor."""
        self.watched.discard(descriptor)
        self.readable.discard(descriptor)
        self.event_loop.loop.remove_reader(descriptor)

    def take_readable(self) -> set[int]:
        """Returns the descriptors that became readable since the last call."""
        readable, self.readable = self.readable, set()
        return readable

    def _handle_readable(self, descriptor: int) -> None:
        self.readable.add(descriptor)
        self._schedule()

    def _schedule(self) -> None:
        self.is_wake_requested = False
        if not (self.is_scheduled or self.is_stopped):
            self.is_scheduled = True
            self.event_loop.loop.call_soon(self._run)

    def _handle_timer(self) -> None:
        self.timer = None
        self.event_loop.record_delay(self.event_loop.loop.time() - self.due_s)
        if not self.is_scheduled:
            self._run()

    def _run(self) -> None:
        self.is_scheduled = False
        if self.is_stopped:
            return
        start_s = time.perf_counter()
        try:
            delay_s = self.run_once()
        except Exception:
            self.log.logger.exception("invariant_broken")
            self.on_failure()
            return
        self.event_loop.busy_s[self.purpose] += time.perf_counter() - start_s
        self._set_timer(self.event_loop.loop.time() + max(0.0, delay_s))

    def _set_timer(self, due_s: float) -> None:
        if self.is_stopped:
            return
        if self.timer is not None:
            if abs(self.due_s - due_s) < TIMER_TOLERANCE_S:
                return
            self.timer.cancel()
        self.due_s = due_s
        self.timer = self.event_loop.loop.call_at(due_s, self._handle_timer)


async def wait_for_result(
    event_loop: EventLoop, future: Future[Any], timeout_s: float
) -> bool:
    """Waits for a future that any thread may complete.

    Args:
        event_loop: The running event loop.
        future: The future.
        timeout_s: Longest time to wait, in seconds.

    Returns:
        True if the future is done.
    """
    if future.done():
        return True
    waiter = event_loop.loop.create_future()

    def finish() -> None:
        if not waiter.done():
            waiter.set_result(None)

    def on_done(_future: Future[Any]) -> None:
        # In the loop's thread this saves a system call.
        if event_loop.is_current:
            finish()
        else:
            event_loop.call_soon(finish)

    future.add_done_callback(on_done)
    timer = event_loop.loop.call_later(timeout_s, finish)
    try:
        await waiter
    finally:
        timer.cancel()
    return future.done()
