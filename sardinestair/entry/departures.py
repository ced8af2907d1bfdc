"""Notices callers that leave before their answer."""

import select
import socket
import threading
from collections.abc import Callable

from sardinestair.links.wakeup import Wakeup

__all__ = ["DepartureWatcher"]

_GONE = select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR


class DepartureWatcher:
    """Watches the connections of callers that wait for an answer.

    One thread waits for all of them. A caller that closes its connection, or
    whose connection breaks, has left. Connections are added, removed and
    closed by other threads while it waits, which `select.poll` does not allow.

    Examples:
        >>> watcher = DepartureWatcher()
        >>> ours, theirs = socket.socketpair()
        >>> left = threading.Event()
        >>> watcher.watch(ours, left.set)
        >>> theirs.close()
        >>> watcher.check(timeout_s=1.0)
        1
        >>> left.is_set()
        True
        >>> watcher.forget(ours)
        >>> ours.close()
    """

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.poller = select.epoll()
        self.wakeup = Wakeup()
        self.poller.register(self.wakeup, select.EPOLLIN)
        self.callbacks: dict[int, Callable[[], object]] = {}
        self.stopping = False

    def watch(
        self, connection: socket.socket, on_left: Callable[[], object]
    ) -> None:
        """Calls `on_left` once if the other end goes before `forget`."""
        with self.lock:
            self.callbacks[connection.fileno()] = on_left
            self.poller.register(connection, select.EPOLLRDHUP)

    def forget(self, connection: socket.socket) -> None:
        """Ends the watch of a connection."""
        with self.lock:
            if self.callbacks.pop(connection.fileno(), None) is not None:
                self.poller.unregister(connection)

    def run(self) -> None:
        """Watches until `stop`."""
        while not self.stopping:
            self.check(timeout_s=1.0)
        self.wakeup.close()

    def stop(self) -> None:
        """Ends the watcher's thread."""
        self.stopping = True
        self.wakeup.set()

    def check(self, timeout_s: float) -> int:
        """Waits for departures once; returns how many there were."""
        if not self.poller.poll(timeout_s):
            return 0
        self.wakeup.clear()
        gone = []
        with self.lock:
            # Asked again, since a connection may have been closed meanwhile
            # and its descriptor be that of another caller.
            for descriptor, events in self.poller.poll(0.0):
                if events & _GONE and descriptor in self.callbacks:
                    gone.append(self.callbacks.pop(descriptor))
                    self.poller.unregister(descriptor)
        for on_left in gone:
            on_left()
        return len(gone)
