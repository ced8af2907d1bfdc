"""Kinds of misuse of the link ports, as what a connection sends.

The frames are those of ZMTP 3.0, the protocol of ZeroMQ.
"""

import struct
from collections.abc import Callable, Iterator

from faults.misuse import Kind, cut

__all__ = ["LINK_KINDS"]

MORE = 0x01
LONG = 0x02
COMMAND = 0x04
SIGNATURE = b"\xff" + bytes(8) + b"\x7f"
GREETING = SIGNATURE + b"\x03\x00" + b"NULL".ljust(20, b"\x00") + bytes(32)
_PROPERTIES = b"\x0bSocket-Type\x00\x00\x00\x06DEALER"
_READY = b"\x05READY" + _PROPERTIES
HANDSHAKE = GREETING + bytes([COMMAND, len(_READY)]) + _READY
FRAME_BYTES = 60_000
# Messages before the end of the handshake would end the connection.
PAUSE_S = 0.05
LARGE_FRAME_BYTES = 1 << 20


def frame(size: int, data: bytes, flags: int = 0) -> bytes:
    """Returns a frame of a stated size with some of its data."""
    return bytes([LONG | flags]) + struct.pack(">Q", size) + data


def send_nothing(_path: str) -> Iterator[bytes]:
    """Nothing."""
    return iter(())


def send_garbage(_path: str) -> Iterator[bytes]:
    """256 KB that are no ZMTP."""
    yield from cut(b"U" * (256 << 10))


def send_half_a_greeting(_path: str) -> Iterator[bytes]:
    """The first part of a greeting."""
    yield GREETING[:20]


def send_handshake(_path: str) -> Iterator[bytes]:
    """A handshake."""
    yield HANDSHAKE


def send_incomplete(_path: str) -> Iterator[bytes]:
    """A frame of 60 KB, one byte short."""
    yield HANDSHAKE
    yield frame(FRAME_BYTES, b"x" * (FRAME_BYTES - 1))


def send_large_incomplete(_path: str) -> Iterator[bytes]:
    """A frame of 1 MB, one byte short."""
    yield HANDSHAKE
    yield from cut(frame(LARGE_FRAME_BYTES, b"x" * (LARGE_FRAME_BYTES - 1)))


def send_far_too_large(_path: str) -> Iterator[bytes]:
    """A frame of 1 TB, of which 4 MB are sent."""
    yield HANDSHAKE
    yield from cut(frame(1 << 40, b"x" * (4 << 20)))


def send_tiny_frames(_path: str) -> Iterator[bytes]:
    """20,000 frames of one byte."""
    yield HANDSHAKE
    yield from cut(b"\x00\x01x" * 20_000)


def send_frames(_path: str) -> Iterator[bytes]:
    """20 frames of 60 KB."""
    yield HANDSHAKE
    for _ in range(20):
        yield frame(FRAME_BYTES, b"x" * FRAME_BYTES)


def send_parts(_path: str) -> Iterator[bytes]:
    """A message of 10 parts of 60 KB, without the last one."""
    yield HANDSHAKE
    for _ in range(10):
        yield frame(FRAME_BYTES, b"x" * FRAME_BYTES, MORE)


def _kind(pieces: Callable[[str], Iterator[bytes]], connects: int = 1) -> Kind:
    return Kind(pieces, PAUSE_S, connects=connects)


LINK_KINDS = {
    "nothing": _kind(send_nothing),
    "no ZMTP": _kind(send_garbage),
    "half a greeting": _kind(send_half_a_greeting),
    "handshake": _kind(send_handshake),
    "no ZMTP, again and again": _kind(send_garbage, connects=20),
    "60 KB, one byte short": _kind(send_incomplete),
    "1 MB, one byte short": _kind(send_large_incomplete),
    "frame of 1 TB": _kind(send_far_too_large),
    "20,000 frames": _kind(send_tiny_frames),
    "20 frames of 60 KB": _kind(send_frames),
    "parts without end": _kind(send_parts),
}
