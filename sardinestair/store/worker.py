"""Workers that read the store in threads of their own."""

import abc
import threading

__all__ = ["StoreWorker"]


class StoreWorker(abc.ABC):
    """Repeats a step until it is stopped.

    Attributes:
        stopping: Set once the worker is to end.
    """

    def __init__(self) -> None:
        self.stopping = threading.Event()

    @abc.abstractmethod
    def run_once(self) -> float:
        """Runs one step; returns the delay before the next, in seconds."""

    def run(self) -> None:
        """Repeats the step until `stop` is called."""
        while not self.stopping.is_set():
            self.stopping.wait(self.run_once())
        self.finish()

    def finish(self) -> None:
        """Runs after the last step; does nothing unless overridden."""
        return

    def stop(self) -> None:
        """Makes `run` return after the current step."""
        self.stopping.set()
