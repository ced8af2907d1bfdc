"""Detects callers that disconnect before they get an answer."""

import select
import socket
import threading
from collections.abc import Callable

from sardinestair.links.wakeup import Wakeup

__all__ = ["DisconnectWatcher"]

_DISCONNECT_EVENTS = select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR


class DisconnectWatcher:
    """Watches the connections of callers that wait for an answer.

    One thread polls all connections and reports each that the peer has closed
    or that has broken. It uses epoll, because other threads add, remove and
    close connections during the wait, which `select.poll` does not support.

    Examples:
        >>> watcher = DisconnectWatcher()
        >>> ours, theirs = socket.socketpair()
        >>> left = threading.Event()
        >>> watcher.watch(ours, left.set)
        >>> theirs.close()
        >>> watcher.poll_once(timeout_s=1.0)
        1
        >>> left.is_set()
        True
        >>> watcher.unwatch(ours)
        >>> ours.close()
    """

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.poller = select.epoll()
        self.wakeup = Wakeup()
        self.poller.register(self.wakeup, select.EPOLLIN)
        self.callbacks: dict[int, Callable[[], object]] = {}
        self.stopping = False

    def has_left(self, connection: socket.socket) -> bool:
        """Returns True if the peer has already closed a connection."""
        poller = select.poll()
        poller.register(connection, select.POLLRDHUP)
        return bool(poller.poll(0))

    def watch(
        self, connection: socket.socket, on_disconnect: Callable[[], object]
    ) -> None:
        """Calls `on_disconnect` once if the peer goes before `unwatch`."""
        with self.lock:
            self.callbacks[connection.fileno()] = on_disconnect
            self.poller.register(connection, select.EPOLLRDHUP)

    def unwatch(self, connection: socket.socket) -> None:
        """Stops watching a connection."""
        with self.lock:
            if self.callbacks.pop(connection.fileno(), None) is not None:
                self.poller.unregister(connection)

    def run(self) -> None:
        """Polls connections until `stop` is called."""
        while not self.stopping:
            self.poll_once(timeout_s=1.0)
        self.wakeup.close()

    def stop(self) -> None:
        """Makes `run` return."""
        self.stopping = True
        self.wakeup.set()

    def poll_once(self, timeout_s: float) -> int:
        """Waits once for disconnects; returns their number."""
        if not self.poller.poll(timeout_s):
            return 0
        self.wakeup.clear()
        callbacks = []
        with self.lock:
            # Poll again under the lock: a connection may have been closed
            # since, and its descriptor reused for another caller.
            for descriptor, events in self.poller.poll(0.0):
                if events & _DISCONNECT_EVENTS and descriptor in self.callbacks:
                    callbacks.append(self.callbacks.pop(descriptor))
                    self.poller.unregister(descriptor)
        for on_disconnect in callbacks:
            on_disconnect()
        return len(callbacks)
