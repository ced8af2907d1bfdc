"""A TCP relay whose open connections can go silent while new ones work."""

import socket
import threading

__all__ = ["Relay"]

CHUNK_BYTES = 65536


class Relay:
    """Passes connections on to a port on loopback.

    Args:
        target: The port to pass connections on to.

    Attributes:
        port: The port that it listens on.
    """

    def __init__(self, target: int):
        self.target = target
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.port = self.listener.getsockname()[1]
        self.generation = 0
        self.sockets: list[socket.socket] = []
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def endpoint(self) -> str:
        """Where to connect, as host:port."""
        return f"127.0.0.1:{self.port}"

    def silence(self) -> None:
        """Drops all further bytes of the open connections, keeping them."""
        self.generation += 1

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
            for source, sink in ((near, far), (far, near)):
                threading.Thread(
                    target=self._pass_on,
                    args=(source, sink, self.generation),
                    daemon=True,
                ).start()

    def _pass_on(self, source, sink, generation: int) -> None:
        try:
            while data := source.recv(CHUNK_BYTES):
                if generation == self.generation:
                    sink.sendall(data)
            if generation == self.generation:
                sink.shutdown(socket.SHUT_WR)
        except OSError:
            pass
