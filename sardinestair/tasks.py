"""Background tasks of a process, each in its own thread."""

import os
import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from sardinestair.observability import EventLog, flush_logs

__all__ = ["EXIT_BROKEN_INVARIANT", "TaskPool", "abort_process"]

EXIT_BROKEN_INVARIANT = 70


def abort_process() -> None:
    """Exits the process immediately, after flushing the log."""
    flush_logs()
    os._exit(EXIT_BROKEN_INVARIANT)


class TaskPool:
    """Runs the background tasks of a process that block, each in a thread.

    A task ends by returning. An exception in a task means a violated
    invariant. The process is then stopped, as it would otherwise run on with
    only some of its tasks.

    Args:
        max_tasks: Maximum number of concurrent tasks.
        log: Where an exception of a task is logged.
        on_failure: Stops the process.

    Examples:
        >>> pool = TaskPool(2, EventLog("doctest"))
        >>> pool.run(lambda: None)
        True
        >>> pool.close()
        >>> pool.run(lambda: None)
        False
    """

    def __init__(
        self,
        max_tasks: int,
        log: EventLog,
        on_failure: Callable[[], None] = abort_process,
    ):
        self.log = log
        self.on_failure = on_failure
        self.threads = ThreadPoolExecutor(max_tasks)
        self.is_closed = False

    def run(self, task: Callable[[], None], purpose: str = "task") -> bool:
        """Starts a task.

        Args:
            task: The task.
            purpose: Name of the task's thread, for reports of processor time.

        Returns:
            False if the pool is closed.
        """
        if self.is_closed:
            return False
        try:
            self.threads.submit(self._guard, task, purpose)
        except RuntimeError:  # Closed since the check.
            return False
        return True

    def close(self) -> None:
        """Accepts no more tasks, and waits for the running ones."""
        self.is_closed = True
        self.threads.shutdown(wait=True)

    def _guard(self, task: Callable[[], None], purpose: str) -> None:
        threading.current_thread().name = purpose
        try:
            task()
        except Exception:
            self.log.logger.exception("invariant_broken")
            self.on_failure()
