"""Event for waking a thread that polls sockets."""

import os
import select
import threading

__all__ = ["Wakeup"]

MS_PER_S = 1000


class Wakeup:
    """An event that a ZeroMQ poller can wait for; thread-safe.

    Examples:
        >>> wakeup = Wakeup()
        >>> wakeup.set()
        >>> wakeup.clear()
        >>> wakeup.close()
    """

    def __init__(self) -> None:
        self.fd = os.eventfd(0, os.EFD_NONBLOCK | os.EFD_CLOEXEC)
        self.is_set = False
        # Keeps `close` from running between a check of the descriptor and its
        # use, when the number could already belong to another file.
        self.lock = threading.Lock()

    def fileno(self) -> int:
        """Returns the file descriptor to poll."""
        return self.fd

    def set(self) -> None:
        """Wakes the waiting thread; does nothing after `close`."""
        if self.is_set:
            return
        with self.lock:
            if self.fd >= 0:
                self.is_set = True
                os.eventfd_write(self.fd, 1)

    def wait(self, timeout_s: float) -> bool:
        """Waits for `set`.

        Args:
            timeout_s: Longest time to wait, in seconds.

        Returns:
            True if `set` was called.
        """
        # select.select fails for descriptors above 1023.
        poller = select.poll()
        poller.register(self.fd, select.POLLIN)
        return bool(poller.poll(timeout_s * MS_PER_S))

    def clear(self) -> None:
        """Resets the event; what it announced must be looked for after this."""
        with self.lock:
            if self.is_set and self.fd >= 0:
                self.is_set = False
                os.eventfd_read(self.fd)

    def close(self) -> None:
        """Closes the file descriptor."""
        with self.lock:
            fd, self.fd = self.fd, -1
            if fd >= 0:
                os.close(fd)
