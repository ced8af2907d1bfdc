"""Helpers for ZeroMQ sockets in an event loop.

The descriptor of a socket becomes readable once per change of the socket's
state, not as long as there are messages. Whoever waits for it therefore first
receives until there is no message left, and looks again after sending, which
may consume the signal of a message.
"""

import zmq

__all__ = ["has_message", "receive"]

# Plain integers: operations on the library's enums take microseconds.
_EVENTS = int(zmq.EVENTS)
_NOBLOCK = int(zmq.NOBLOCK)
_POLLIN = int(zmq.POLLIN)


def has_message(socket: zmq.Socket) -> bool:
    """Returns True if a message can be received without waiting."""
    return int(socket.get(_EVENTS)) & _POLLIN != 0


def receive(socket: zmq.Socket) -> list[bytes] | None:
    """Returns the parts of the next message, or None if there is none."""
    # An exception of the library for "no message" takes longer than to ask.
    return socket.recv_multipart(_NOBLOCK) if has_message(socket) else None
