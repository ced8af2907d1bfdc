"""A TCP relay that injects network faults into connections."""

import enum
import socket
import struct
import threading
import time

__all__ = ["Direction", "Relay"]

CHUNK_BYTES = 65536
# SO_LINGER with a time-out of 0 s: closing the socket sends a reset.
LINGER_ZERO = struct.pack("ii", 1, 0)


class Direction(enum.Enum):
    """Direction of the bytes of a connection."""

    TO_TARGET = "to target"
    FROM_TARGET = "from target"


class Relay:
    """Forwards TCP connections to a port on loopback.

    Args:
        target_port: The port to forward connections to.

    Attributes:
        port: The port that the relay listens on.
        delay_s: Delay of each chunk of bytes, in seconds.
    """

    def __init__(self, target_port: int):
        self.target_port = target_port
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.port = self.listener.getsockname()[1]
        self.generation = 0
        self.delay_s = 0.0
        self.unblocked = {
            direction: threading.Event() for direction in Direction
        }
        self.heal()
        self.sockets: list[socket.socket] = []
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def endpoint(self) -> str:
        """Address of the relay as host:port."""
        return f"127.0.0.1:{self.port}"

    def silence(self) -> None:
        """Drops all further bytes of the open connections but keeps them."""
        self.generation += 1

    def block(self, direction: Direction) -> None:
        """Holds back all bytes in one direction until `heal` is called."""
        self.unblocked[direction].clear()

    def heal(self) -> None:
        """Unblocks both directions and delivers the bytes held back."""
        for event in self.unblocked.values():
            event.set()

    def reset(self) -> None:
        """Closes the open connections with a TCP reset."""
        sockets, self.sockets = self.sockets, []
        for connection in sockets:
            try:
                connection.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO
                )
                # Wakes the thread that reads it without notifying the peer.
                connection.shutdown(socket.SHUT_RD)
            except OSError:
                # The peer has closed the connection.
                pass
            connection.close()

    def close(self) -> None:
        """Stops listening and closes all connections."""
        self.listener.close()
        for connection in self.sockets:
            connection.close()

    def _accept(self) -> None:
        while True:
            try:
                client, _ = self.listener.accept()
                server = socket.create_connection(
                    ("127.0.0.1", self.target_port)
                )
            except OSError:
                if self.listener.fileno() < 0:
                    return
                continue
            self.sockets += [client, server]
            directions = (
                (client, server, Direction.TO_TARGET),
                (server, client, Direction.FROM_TARGET),
            )
            for source, sink, direction in directions:
                threading.Thread(
                    target=self._forward,
                    args=(source, sink, direction, self.generation),
                    daemon=True,
                ).start()

    def _forward(
        self, source, sink, direction: Direction, generation: int
    ) -> None:
        try:
            while data := source.recv(CHUNK_BYTES):
                if self.delay_s:
                    time.sleep(self.delay_s)
                self.unblocked[direction].wait()
                if generation == self.generation:
                    sink.sendall(data)
            if generation == self.generation:
                sink.shutdown(socket.SHUT_WR)
        except OSError:
            pass
