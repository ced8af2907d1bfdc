"""A TCP relay that disturbs the connections that it passes on."""

import enum
import socket
import struct
import threading
import time

__all__ = ["Direction", "Relay"]

CHUNK_BYTES = 65536
# No time for what was not sent, so that closing resets the connection.
LINGER_NONE = struct.pack("ii", 1, 0)


class Direction(enum.Enum):
    """Which way bytes go."""

    TO_TARGET = "to target"
    FROM_TARGET = "from target"


class Relay:
    """Passes connections on to a port on loopback.

    Args:
        target: The port to pass connections on to.

    Attributes:
        port: The port that it listens on.
        delay_s: How long bytes are held up, in seconds.
    """

    def __init__(self, target: int):
        self.target = target
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.port = self.listener.getsockname()[1]
        self.generation = 0
        self.delay_s = 0.0
        self.open = {direction: threading.Event() for direction in Direction}
        self.heal()
        self.sockets: list[socket.socket] = []
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def endpoint(self) -> str:
        """Where to connect, as host:port."""
        return f"127.0.0.1:{self.port}"

    def silence(self) -> None:
        """Drops all further bytes of the open connections, keeping them."""
        self.generation += 1

    def cut(self, direction: Direction) -> None:
        """Holds up all bytes that go one way, until `heal`."""
        self.open[direction].clear()

    def heal(self) -> None:
        """Ends all cuts; what was held up arrives."""
        for event in self.open.values():
            event.set()

    def reset(self) -> None:
        """Resets the open connections."""
        sockets, self.sockets = self.sockets, []
        for one in sockets:
            try:
                one.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NONE)
                # Wakes its reader, and tells the other end nothing yet.
                one.shutdown(socket.SHUT_RD)
            except OSError:
                # It has been closed by its other end.
                pass
            one.close()

    def close(self) -> None:
        """Closes all connections."""
        self.listener.close()
        for one in self.sockets:
            one.close()

    def _accept(self) -> None:
        while True:
            try:
                near, _ = self.listener.accept()
                far = socket.create_connection(("127.0.0.1", self.target))
            except OSError:
                if self.listener.fileno() < 0:
                    return
                continue
            self.sockets += [near, far]
            ways = (
                (near, far, Direction.TO_TARGET),
                (far, near, Direction.FROM_TARGET),
            )
            for source, sink, direction in ways:
                threading.Thread(
                    target=self._pass_on,
                    args=(source, sink, direction, self.generation),
                    daemon=True,
                ).start()

    def _pass_on(
        self, source, sink, direction: Direction, generation: int
    ) -> None:
        try:
            while data := source.recv(CHUNK_BYTES):
                if self.delay_s:
                    time.sleep(self.delay_s)
                self.open[direction].wait()
                if generation == self.generation:
                    sink.sendall(data)
            if generation == self.generation:
                sink.shutdown(socket.SHUT_WR)
        except OSError:
            pass
