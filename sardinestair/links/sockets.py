"""Helpers for ZeroMQ sockets in an event loop."""

import zmq

__all__ = ["has_message"]

# Plain integers: operations on the library's enums take microseconds.
_EVENTS = int(zmq.EVENTS)
_POLLIN = int(zmq.POLLIN)


def has_message(socket: zmq.Socket) -> bool:
    """Returns True if a message can be received without waiting.

    The descriptor of a socket is readable only once per change of its state,
    and sending may consume that. Whoever waits for the descriptor therefore
    calls this first.
    """
    return int(socket.get(_EVENTS)) & _POLLIN != 0
