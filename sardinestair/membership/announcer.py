"""Announces the process to one entry, periodically and on changes."""

from collections.abc import Callable
from typing import Generic, TypeVar

import msgspec
import zmq

from sardinestair.clock import Clock
from sardinestair.event_loop import LoopTask
from sardinestair.links.sockets import has_message, receive
from sardinestair.messages import (
    DECODE_ERRORS,
    Announce,
    OwnershipUpdate,
    PeerHello,
)
from sardinestair.observability import EventLog

__all__ = ["Announcer"]

MAX_MISSED_REPLIES = 3
LINGER_MS = 100

R = TypeVar("R")


class Announcer(Generic[R]):
    """Announces a sidecar or an entry to one other entry.

    Its methods are called in one thread, that of the event loop.

    Args:
        entry: Membership endpoint of the entry, host:port.
        describe: Returns the current announcement.
        reply_type: Type of the entry's reply.
        on_reply: Called with each reply of the entry.
        interval_s: Interval between announcements, in seconds.
        context: The ZeroMQ context.
        clock: The clock.

    Attributes:
        task: Calls `run_once` when there is work; None before `start`.
        socket: The socket, or None while it is not connected.
        unanswered: Announcements since the last reply.
        due_s: When the next announcement is due.
    """

    def __init__(
        self,
        entry: str,
        describe: Callable[[], Announce | PeerHello],
        reply_type: type[R],
        on_reply: Callable[[R], None],
        interval_s: float,
        context: zmq.Context,
        clock: Clock,
    ):
        self.entry = entry
        self.describe = describe
        self.on_reply = on_reply
        self.interval_s = interval_s
        self.context = context
        self.clock = clock
        self.task: LoopTask | None = None
        self.socket: zmq.Socket | None = None
        self.unanswered = 0
        self.due_s = 0.0
        self.decoder = msgspec.msgpack.Decoder(reply_type)
        self.log = EventLog("announcer", entry_endpoint=entry)

    def start(self, task: LoopTask) -> None:
        """Starts to announce.

        Args:
            task: Calls `run_once`.
        """
        self.task = task
        task.wake()

    def notify(self) -> None:
        """Sends an announcement soon."""
        self.due_s = 0.0
        if self.task is not None:
            self.task.wake()

    def notify_within(self, delay_s: float) -> None:
        """Sends an announcement within a time, in seconds."""
        due_s = self.clock.monotonic() + delay_s
        if due_s < self.due_s:
            self.due_s = due_s
            if self.task is not None:
                self.task.wake()

    def send(self, message: OwnershipUpdate) -> bool:
        """Sends a message that has no reply.

        Returns:
            False if it can't be sent now.
        """
        if self.socket is None:
            return False
        try:
            self.socket.send(msgspec.msgpack.encode(message), zmq.NOBLOCK)
        except zmq.Again:
            return False
        if has_message(self.socket) and self.task is not None:
            self.task.wake()
        return True

    def stop(self) -> None:
        """Ends the announcements; a sidecar announces that it leaves."""
        if self.socket is not None:
            self._send_leaving(self.socket)
        self._disconnect()
        if self.task is not None:
            self.task.stop()

    def run_once(self) -> float:
        """Handles replies, and sends an announcement if one is due.

        Returns:
            The time until the next one is due, in seconds.
        """
        socket = self.socket or self._connect()
        self._receive(socket)
        if self.socket is not socket:
            return self.interval_s  # Stopped by a reply.
        now_s = self.clock.monotonic()
        if now_s >= self.due_s:
            if self.unanswered >= MAX_MISSED_REPLIES:
                self._disconnect()
                socket = self._connect()
            self.due_s = now_s + self.interval_s
            self.unanswered += 1
            socket.send(msgspec.msgpack.encode(self.describe()))
            if has_message(socket) and self.task is not None:
                self.task.wake()
        return self.due_s - now_s

    def _connect(self) -> zmq.Socket:
        socket = self.socket = self.context.socket(zmq.DEALER)
        socket.connect(f"tcp://{self.entry}")
        self.unanswered = 0
        if self.task is not None:
            self.task.add(int(socket.get(zmq.FD)))
        return socket

    def _disconnect(self) -> None:
        socket, self.socket = self.socket, None
        if socket is not None:
            if self.task is not None:
                self.task.remove(int(socket.get(zmq.FD)))
            socket.close(linger=LINGER_MS)

    def _receive(self, socket: zmq.Socket) -> None:
        # A reply may name other entries to use, and so stop this announcer.
        while self.socket is socket and (parts := receive(socket)) is not None:
            try:
                reply = self.decoder.decode(parts[-1])
            except DECODE_ERRORS as error:
                self.log.warning("reply_undecodable", reason=str(error))
                continue
            self.unanswered = 0
            self.on_reply(reply)

    def _send_leaving(self, socket: zmq.Socket) -> None:
        description = self.describe()
        if isinstance(description, Announce):
            last = msgspec.structs.replace(description, leaving=True)
            socket.send(msgspec.msgpack.encode(last), zmq.NOBLOCK)
