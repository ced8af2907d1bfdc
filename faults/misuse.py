"""Kinds of misuse of HTTP servers, as what a connection sends."""

from collections.abc import Callable, Iterator

import msgspec

from faults.system import SERVICE

__all__ = ["KINDS", "PATHS", "Kind", "cut"]

BODY_BYTES = 256 << 10
SMALL_BODY_BYTES = 60_000
PIECE_BYTES = 64 << 10
TINY_TASK = b'{"payload":1}'
JOB_HEAD = f'{{"service":"{SERVICE}","team":"tiny","tasks":['.encode()
PATHS = {
    "entry": ("/v1/jobs", "/unknown", "/readyz", "/v1/status"),
    "sidecar": ("/v1/upstream", "/unknown", "/readyz", "/metrics"),
}
# Methods of the paths that take a body, where it isn't POST.
_METHODS = {"/v1/upstream": "PUT"}


class Kind(msgspec.Struct, frozen=True):
    """A kind of misuse.

    Attributes:
        pieces: Returns what a connection to a path sends, piece by piece.
        pause_s: Time between two pieces, in seconds.
        read_bytes_per_s: How much of the responses is read.
        resets: True if the connection is reset once all has been sent.
        connects: How often a client connects, at once after it was refused.
        addresses: Number of the clients' addresses, 127.0.0.2 and the next;
            0 for 127.0.0.1.
    """

    pieces: Callable[[str], Iterator[bytes]]
    pause_s: float = 0.0
    read_bytes_per_s: int = 0
    resets: bool = False
    connects: int = 1
    addresses: int = 0


def head(method: str, path: str, *fields: str) -> bytes:
    """Returns the header of a request."""
    lines = [f"{method} {path} HTTP/1.1", "Host: x", *fields, "", ""]
    return "\r\n".join(lines).encode()


def post(path: str, size: int) -> bytes:
    """Returns the header of a request with a body of a stated size."""
    return head(_method(path), path, f"Content-Length: {size}")


def chunked(path: str) -> bytes:
    """Returns the header of a request with a body in chunks."""
    return head(_method(path), path, "Transfer-Encoding: chunked")


def _method(path: str) -> str:
    return _METHODS.get(path, "POST")


def with_body(path: str, body: bytes) -> bytes:
    """Returns a complete request."""
    return post(path, len(body)) + body


def cut(data: bytes, size: int = PIECE_BYTES) -> Iterator[bytes]:
    """Yields data in pieces of a size."""
    for start in range(0, len(data), size):
        yield data[start : start + size]


def send_nearly_all(path: str) -> Iterator[bytes]:
    """A body of legal size, one byte short."""
    yield from cut(post(path, BODY_BYTES) + b"x" * (BODY_BYTES - 1))


def send_tiny_chunks(path: str) -> Iterator[bytes]:
    """16,000 chunks of one byte, without the last one."""
    yield from cut(chunked(path) + b"1\r\nx\r\n" * 16_000)


def send_large_chunks(path: str) -> Iterator[bytes]:
    """A body of 2.6 MB in chunks, without the last one."""
    yield chunked(path)
    for _ in range(40):
        yield b"10000\r\n" + b"x" * 0x10000 + b"\r\n"


def send_short_body(path: str) -> Iterator[bytes]:
    """A body that each server accepts, one byte short."""
    yield post(path, SMALL_BODY_BYTES) + b"x" * (SMALL_BODY_BYTES - 1)


def send_many_fields(path: str) -> Iterator[bytes]:
    """A header of 14,000 fields of one byte, without its end."""
    yield from cut(head("GET", path)[:-2] + b"a:b\r\n" * 14_000)


def send_endless_field(path: str) -> Iterator[bytes]:
    """A header field of 4 MB, without its end."""
    yield head("GET", path)[:-2] + b"a: "
    yield from cut(b"b" * (4 << 20))


def send_posts_ahead(path: str) -> Iterator[bytes]:
    """30 POSTs of 20 KB."""
    yield from cut((post(path, 20_000) + b"x" * 20_000) * 30)


def send_gets_ahead(path: str) -> Iterator[bytes]:
    """2,000 GETs."""
    yield from cut(head("GET", path) * 2000)


def send_metrics_ahead(_path: str) -> Iterator[bytes]:
    """2,000 GETs of the path with the largest response."""
    yield from cut(head("GET", "/metrics") * 2000)


def send_empty_objects(path: str) -> Iterator[bytes]:
    """A complete body of 60,000 empty objects."""
    body = b'{"tasks":[' + b",".join([b"{}"] * 60_000) + b"]}"
    yield from cut(post(path, len(body)) + body)


def send_large_job(_path: str) -> Iterator[bytes]:
    """A valid job of legal size."""
    task = b'{"payload":{"run_s":0.05,"echo":"' + b"x" * (250 << 10) + b'"}}'
    body = (
        f'{{"service":"{SERVICE}","team":"large","tasks":['.encode()
        + task
        + b"]}"
    )
    yield from cut(post("/v1/jobs", len(body)) + body)


def send_too_much(path: str) -> Iterator[bytes]:
    """A body far over the limit."""
    yield post(path, 1 << 30)
    yield from cut(b"x" * (4 << 20))


def send_slowly(path: str) -> Iterator[bytes]:
    """A body of legal size, 64 bytes at a time."""
    yield post(path, BODY_BYTES)
    yield from cut(b"x" * BODY_BYTES, 64)


def send_half(path: str) -> Iterator[bytes]:
    """Half of a body."""
    yield from cut(post(path, BODY_BYTES) + b"x" * (BODY_BYTES // 2))


def send_nothing(_path: str) -> Iterator[bytes]:
    """Nothing."""
    return iter(())


def send_only_header(path: str) -> Iterator[bytes]:
    """The header of a request that is refused for its size."""
    yield post(path, 1 << 30)


def send_legal_fields(path: str) -> Iterator[bytes]:
    """200 requests with as many short fields as are allowed."""
    fields = [f"a{number}: b" for number in range(98)]
    yield from cut(head("GET", path, *fields) * 200)


def send_tiny_tasks(_path: str) -> Iterator[bytes]:
    """Jobs of legal size with 18,000 tasks each."""
    body = JOB_HEAD + b",".join([TINY_TASK] * 18_000) + b"]}"
    yield from cut(with_body("/v1/jobs", body) * 5)


def send_8_mb_of_tasks(_path: str) -> Iterator[bytes]:
    """A job of nearly the largest size with 590,000 tasks."""
    body = JOB_HEAD + b",".join([TINY_TASK] * 590_000) + b"]}"
    yield from cut(with_body("/v1/jobs", body))


def send_repeated_keys(_path: str) -> Iterator[bytes]:
    """Jobs of legal size whose only task states its payload 21,000 times."""
    # The last one counts, and is no fault of the upstream that runs it.
    pairs = b'"payload":1,' * 21_000 + b'"payload":{"run_s":0.005,"echo":"x"}'
    yield from cut(with_body("/v1/jobs", JOB_HEAD + b"{" + pairs + b"}]}") * 5)


def send_nested_values(_path: str) -> Iterator[bytes]:
    """Jobs of legal size with a payload nested 120,000 times."""
    payload = b"[" * 120_000 + b"]" * 120_000
    body = JOB_HEAD + b'{"payload":' + payload + b"}]}"
    yield from cut(with_body("/v1/jobs", body) * 5)


def send_many_settings(_path: str) -> Iterator[bytes]:
    """A settings tree of 256 KB with 20,000 services."""
    nodes = b",".join(b'"s%d":{}' % number for number in range(20_000))
    body = b'{"services":{' + nodes + b"}}"
    yield from cut(with_body("/admin/v1/settings/apply", body))


KINDS = {
    "nothing": Kind(send_nothing),
    "body one byte short": Kind(send_nearly_all),
    "chunks of one byte": Kind(send_tiny_chunks),
    "2.6 MB in chunks": Kind(send_large_chunks),
    "14,000 fields": Kind(send_many_fields),
    "endless field": Kind(send_endless_field),
    "30 POSTs ahead": Kind(send_posts_ahead),
    "2,000 GETs ahead": Kind(send_gets_ahead),
    "metrics, unread": Kind(send_metrics_ahead),
    "metrics, read slowly": Kind(send_metrics_ahead, read_bytes_per_s=1000),
    "60,000 objects": Kind(send_empty_objects),
    "valid jobs of 250 KB": Kind(send_large_job),
    "far over the limit": Kind(send_too_much),
    "slow body": Kind(send_slowly, pause_s=0.2),
    "half a body, then reset": Kind(send_half, resets=True),
    "60 KB, one byte short": Kind(send_short_body),
    "half a body, resets again": Kind(send_half, resets=True, connects=50),
    "connects again after 413": Kind(send_only_header, connects=20),
    "connects again after 503": Kind(send_nearly_all, connects=20),
    "body from 50 addresses": Kind(send_nearly_all, addresses=50),
    "chunks from 50 addresses": Kind(send_large_chunks, addresses=50),
    "98 fields, 200 ahead": Kind(send_legal_fields),
    "18,000 tasks": Kind(send_tiny_tasks),
    "590,000 tasks": Kind(send_8_mb_of_tasks),
    "repeated keys": Kind(send_repeated_keys),
    "nested values": Kind(send_nested_values),
    "20,000 settings": Kind(send_many_settings),
}
