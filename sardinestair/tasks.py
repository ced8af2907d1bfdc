"""Long-running tasks, each in a thread of its own."""

import os
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from sardinestair.observability import EventLog, flush_lines

__all__ = ["EXIT_BROKEN_INVARIANT", "TaskPool", "abort_process"]

EXIT_BROKEN_INVARIANT = 70


def abort_process() -> None:
    """Ends the process at once, once the lines that say why are written."""
    flush_lines()
    os._exit(EXIT_BROKEN_INVARIANT)


class TaskPool:
    """Runs the tasks of a process, one for each connection and peer.

    A task ends by returning. One that raises has broken an invariant, and a
    process without one of its tasks would go on in part; so it is stopped.

    Args:
        max_tasks: Tasks that run at a time.
        log: Where a broken invariant is written.
        on_broken: Stops the process.

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
        on_broken: Callable[[], None] = abort_process,
    ):
        self.log = log
        self.on_broken = on_broken
        self.threads = ThreadPoolExecutor(max_tasks)
        self.is_closed = False

    def run(self, task: Callable[[], None]) -> bool:
        """Starts a task.

        Returns:
            False if the pool is closed.
        """
        if self.is_closed:
            return False
        try:
            self.threads.submit(self._guard, task)
        except RuntimeError:  # It was closed in between.
            return False
        return True

    def close(self) -> None:
        """Takes no more tasks, and waits for those that run."""
        self.is_closed = True
        self.threads.shutdown(wait=True)

    def _guard(self, task: Callable[[], None]) -> None:
        try:
            task()
        except Exception:
            self.log.logger.exception("invariant_broken")
            self.on_broken()
