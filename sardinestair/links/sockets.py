"""Helpers for ZeroMQ sockets in an event loop.

The descriptor of a socket becomes readable once per change of the socket's
state, not as long as there are messages. Whoever waits for it therefore first
receives until there is no message left, and looks again after sending, which
may consume the signal of a message.
"""

import zmq

from sardinestair.links.limits import LinkLimits

__all__ = [
    "MAX_QUEUED_FRAMES",
    "has_message",
    "limit_messages",
    "limit_peers",
    "receive",
]

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
# A socket without a domain also speaks ZMTP 1.0, in which any data is a message
# of many parts. Nothing answers for the domain, so peers need no permission.
ZAP_DOMAIN = b"links"
# Received frames of a link that wait to be handled; the others wait at their
# sender.
MAX_QUEUED_FRAMES = 64


def limit_messages(
    context: zmq.Context,
    memory_mb: int | None,
    limits: LinkLimits | None = None,
) -> None:
    """Bounds what the sockets of a process receive, and from whom.

    A connection with a larger message is closed.

    Args:
        context: The context; the limits hold for its sockets from now on.
        memory_mb: Memory of the machine in MB, None if unknown.
        limits: Limits that are set; None for none.
    """
    limits = limits or LinkLimits()
    context.setsockopt(zmq.ZAP_DOMAIN, ZAP_DOMAIN)
    if limits.network is not None:
        context.setsockopt(zmq.TCP_ACCEPT_FILTER, limits.network.encode())
    frame_bytes = _frame_bytes(memory_mb, limits.max_frame_mb)
    if frame_bytes is not None:
        context.setsockopt(zmq.MAXMSGSIZE, frame_bytes)
        context.setsockopt(zmq.HANDSHAKE_IVL, HANDSHAKE_TIMEOUT_MS)


def _frame_bytes(memory_mb: int | None, max_frame_mb: int | None) -> int | None:
    if max_frame_mb is not None:
        return max_frame_mb * MB
    if memory_mb is None:
        return None
    return max(MIN_FRAME_BYTES, int(memory_mb * MB * FRAME_PART))


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
