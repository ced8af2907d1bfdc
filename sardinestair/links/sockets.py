"""Helpers for ZeroMQ sockets in an event loop."""

import zmq

__all__ = ["has_message"]


def has_message(socket: zmq.Socket) -> bool:
    """Returns True if a message can be received without waiting.

    The descriptor of a socket is readable only once per change of its state,
    and sending may consume that. Whoever waits for the descriptor therefore
    calls this first.
    """
    return bool(int(socket.get(zmq.EVENTS)) & zmq.POLLIN)
