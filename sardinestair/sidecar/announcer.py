"""Tells one entry about the sidecar, at intervals and on changes."""

from collections.abc import Callable

import msgspec
import zmq

from sardinestair.links.wakeup import Wakeup, has_message
from sardinestair.messages import Announce, AnnounceReply
from sardinestair.observability import EventLog

__all__ = ["Announcer"]

MAX_MISSED = 3


class Announcer:
    """Announces the sidecar to one entry.

    Args:
        entry: Membership endpoint of the entry, host:port.
        describe: Returns the sidecar's present description.
        on_reply: Takes the entry's reply.
        interval_s: Time between announcements, in seconds.
        context: The ZeroMQ context.
    """

    def __init__(
        self,
        entry: str,
        describe: Callable[[], Announce],
        on_reply: Callable[[AnnounceReply], None],
        interval_s: float,
        context: zmq.Context,
    ):
        self.entry = entry
        self.describe = describe
        self.on_reply = on_reply
        self.interval_s = interval_s
        self.context = context
        self.stopping = False
        self.wakeup = Wakeup()
        self.decoder = msgspec.msgpack.Decoder(AnnounceReply)
        self.log = EventLog("announcer", entry_endpoint=entry)

    def notify(self) -> None:
        """Announces at once."""
        self.wakeup.set()

    def stop(self) -> None:
        """Ends the announcer's thread."""
        self.stopping = True
        self.wakeup.set()

    def run(self) -> None:
        """Announces until `stop`, over a new connection when one is silent."""
        while not self.stopping:
            socket = self.context.socket(zmq.DEALER)
            socket.connect(f"tcp://{self.entry}")
            try:
                self._converse(socket)
            finally:
                socket.close(linger=100)

    def _converse(self, socket: zmq.Socket) -> None:
        missed = 0
        while not self.stopping and missed < MAX_MISSED:
            self.wakeup.clear()
            socket.send(msgspec.msgpack.encode(self.describe()))
            self.wakeup.wait(self.interval_s)
            missed = 0 if self._receive(socket) else missed + 1
        self._say_goodbye(socket)

    def _receive(self, socket: zmq.Socket) -> bool:
        has_reply = False
        while has_message(socket):
            has_reply = True
            self.on_reply(self.decoder.decode(socket.recv()))
        return has_reply

    def _say_goodbye(self, socket: zmq.Socket) -> None:
        if self.stopping:
            socket.send(msgspec.msgpack.encode(self.describe()), zmq.NOBLOCK)
