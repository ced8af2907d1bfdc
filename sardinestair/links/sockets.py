"""Helpers for ZeroMQ sockets in an event loop.

The descriptor of a socket becomes readable once per change of the socket's
state, not as long as there are messages. Whoever waits for it therefore first
receives until there is no message left, and looks again after sending, which
may consume the signal of a message.
"""

import zmq

__all__ = ["has_message", "limit_messages", "limit_peers", "receive"]

# Plain integers: operations on the library's enums take microseconds.
_EVENTS = int(zmq.EVENTS)
_NOBLOCK = int(zmq.NOBLOCK)
_POLLIN = int(zmq.POLLIN)

MB = 1 << 20
# The result of a task has up to 16 MB.
MIN_FRAME_BYTES = 32 * MB
# Part of a machine's memory that one frame may have.
FRAME_PART = 1 / 4
HANDSHAKE_TIMEOUT_MS = 5000


def limit_messages(context: zmq.Context, memory_mb: int | None) -> None:
    """Bounds the messages that the sockets of a process receive.

    A connection with a larger message is closed.

    Args:
        context: The context; the limits hold for its sockets from now on.
        memory_mb: Memory of the machine in MB, None for no limits.
    """
    if memory_mb is None:
        return
    frame_bytes = max(MIN_FRAME_BYTES, int(memory_mb * MB * FRAME_PART))
    context.setsockopt(zmq.MAXMSGSIZE, frame_bytes)
    context.setsockopt(zmq.HANDSHAKE_IVL, HANDSHAKE_TIMEOUT_MS)


def limit_peers(
    socket: zmq.Socket, max_message_bytes: int, max_messages: int
) -> None:
    """Bounds what a listening socket holds for each of its peers.

    Args:
        socket: The socket, before it is bound. Messages to a peer that does not
            read them are dropped, so their senders must repeat them.
        max_message_bytes: Maximum size of a message's part, in bytes.
        max_messages: Maximum number of messages to and from a peer.
    """
    socket.set(zmq.MAXMSGSIZE, max_message_bytes)
    socket.set(zmq.HANDSHAKE_IVL, HANDSHAKE_TIMEOUT_MS)
    socket.set(zmq.RCVHWM, max_messages)
    socket.set(zmq.SNDHWM, max_messages)


def has_message(socket: zmq.Socket) -> bool:
    """Returns True if a message can be received without waiting."""
    return int(socket.get(_EVENTS)) & _POLLIN != 0


def receive(socket: zmq.Socket) -> list[bytes] | None:
    """Returns the parts of the next message, or None if there is none."""
    # An exception of the library for "no message" takes longer than a check.
    return socket.recv_multipart(_NOBLOCK) if has_message(socket) else None
