"""Crowds of clients that misuse HTTP: `python -m faults.hostile`.

For each kind of misuse a fresh system is started, and a crowd connects to its
entry or to its sidecar. Meanwhile well-behaved jobs are submitted one after
the other. The table shows the peak of the resident memory of the process, the
slowest job, and what the process still holds for requests after the crowd has
left.
"""

import argparse
import asyncio
import multiprocessing
import re
import socket
import struct
import sys
import time
from collections.abc import Callable, Iterator

import msgspec

from faults.system import SERVICE, Program, System
from sardinestair.cli.client import ApiClient
from sardinestair.transfer import Reply, Transfer

__all__ = ["KINDS", "Kind", "run_crowd"]

ENTRY_MEMORY_MB = 160
SIDECAR_MEMORY_MB = 168
BODY_BYTES = 256 << 10
PIECE_BYTES = 64 << 10
JOB_INTERVAL_S = 0.25
JOB_TIMEOUT_S = 20.0
MAX_JOB_S = 1.0
MAX_RELEASE_S = 10.0
LINGER_RESET = struct.pack("ii", 1, 0)
HELD_GAUGE = re.compile(rb"^sardinestair_http_held_bytes\{.*\} (\S+)", re.M)
PATHS = {
    "entry": ("/v1/jobs", "/unknown", "/readyz", "/v1/status"),
    "sidecar": ("/v1/upstream", "/unknown", "/readyz", "/metrics"),
}


class Kind(msgspec.Struct, frozen=True):
    """A kind of misuse.

    Attributes:
        pieces: Returns what a connection to a path sends, piece by piece.
        pause_s: Time between two pieces, in seconds.
        read_bytes_per_s: How much of the responses is read.
        resets: True if the connection is reset once all has been sent.
    """

    pieces: Callable[[str], Iterator[bytes]]
    pause_s: float = 0.0
    read_bytes_per_s: int = 0
    resets: bool = False


def head(method: str, path: str, *fields: str) -> bytes:
    """Returns the header of a request."""
    lines = [f"{method} {path} HTTP/1.1", "Host: x", *fields, "", ""]
    return "\r\n".join(lines).encode()


def post(path: str, size: int) -> bytes:
    """Returns the header of a POST with a body of a stated size."""
    return head("POST", path, f"Content-Length: {size}")


def chunked(path: str) -> bytes:
    """Returns the header of a POST with a body in chunks."""
    return head("POST", path, "Transfer-Encoding: chunked")


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
}


class Row(msgspec.Struct):
    """What was measured beside one crowd.

    Attributes:
        peak_mb: Peak of the resident memory of the process, in MB.
        jobs: Number of well-behaved jobs.
        failed: Number of those without a result.
        slowest_s: Time to the slowest answer, in seconds.
        held_kb: What is held for requests after the crowd has left, in KB;
            None if the process does not answer.
        is_alive: True if the process has not ended.
    """

    peak_mb: float
    jobs: int = 0
    failed: int = 0
    slowest_s: float = 0.0
    held_kb: float | None = None
    is_alive: bool = True

    def is_within(self, memory_mb: int) -> bool:
        """Returns True if the process and the jobs were undisturbed."""
        return (
            self.is_alive
            and self.peak_mb < memory_mb
            and not self.failed
            and self.slowest_s <= MAX_JOB_S
            and self.held_kb == 0
        )


async def _misuse(kind: Kind, port: int, path: str, until_s: float) -> None:
    """Opens one connection, and keeps it until the server or time ends it."""
    loop = asyncio.get_running_loop()
    with socket.socket() as client:
        client.setblocking(False)
        try:
            await loop.sock_connect(client, ("127.0.0.1", port))
            for piece in kind.pieces(path):
                await loop.sock_sendall(client, piece)
                await asyncio.sleep(kind.pause_s)
            if kind.resets:
                client.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET
                )
                return
            while time.monotonic() < until_s:
                await asyncio.sleep(1.0)
                if kind.read_bytes_per_s:
                    await loop.sock_recv(client, kind.read_bytes_per_s)
        except OSError:
            # The server may close any of these connections.
            return


async def _misuse_all(
    kind: Kind, port: int, paths: tuple[str, ...], count: int, seconds: float
) -> None:
    until_s = time.monotonic() + seconds
    clients = [
        asyncio.create_task(
            _misuse(kind, port, paths[number % len(paths)], until_s)
        )
        for number in range(count)
    ]
    await asyncio.wait(clients, timeout=seconds)
    for client in clients:
        client.cancel()
    await asyncio.gather(*clients, return_exceptions=True)


def run_crowd(
    kind: Kind, port: int, paths: tuple[str, ...], count: int, seconds: float
) -> None:
    """Opens connections of one kind, and closes them after some seconds.

    Args:
        kind: What the connections send.
        port: The port of the server, on loopback.
        paths: Paths of the requests, used in turn.
        count: Number of connections.
        seconds: How long they are kept, in seconds.
    """
    asyncio.run(_misuse_all(kind, port, paths, count, seconds))


def read_memory_mb(process: Program, field: str) -> float:
    """Returns a field of the process's memory in MB, 0 if it has ended."""
    assert process.process is not None
    try:
        with open(
            f"/proc/{process.process.pid}/status", encoding="utf-8"
        ) as stream:
            found = re.search(rf"^{field}:\s+(\d+) kB", stream.read(), re.M)
    except FileNotFoundError:
        return 0.0
    return int(found.group(1)) / 1024 if found is not None else 0.0


def read_held_kb(port: int) -> float | None:
    """Returns what a process holds for requests, by its gauges, in KB."""
    reply = Transfer().perform(
        "GET", f"http://127.0.0.1:{port}/metrics", b"", JOB_TIMEOUT_S
    )
    if not isinstance(reply, Reply):
        return None
    held = HELD_GAUGE.findall(reply.body)
    return sum(map(float, held)) / 1024 if held else None


def submit_job(url: str) -> tuple[float, str]:
    """Submits a job; returns its duration in seconds, and why it failed."""
    body = {
        "service": SERVICE,
        "team": "good",
        "tasks": [{"payload": {"run_s": 0.005, "echo": "x"}}],
    }
    start_s = time.monotonic()
    answer = ApiClient(url, JOB_TIMEOUT_S).call("POST", "/v1/jobs", body)
    error = "" if answer.is_ok() else str(answer.error)
    return time.monotonic() - start_s, error


def measure(kind: Kind, door: str, count: int, seconds: float) -> Row:
    """Measures one crowd at the entry or the sidecar of a fresh system."""
    system = System(
        1,
        1,
        speeds=[1.0],
        entry_memory_mb=ENTRY_MEMORY_MB,
        sidecar_memory_mb=SIDECAR_MEMORY_MB,
    )
    try:
        system.start()
        program, port = {
            "entry": (system.entries[0], system.entry_ports[0]),
            "sidecar": (system.sidecars[0], system.sidecar_ports[0]),
        }[door]
        # The entry may not have adopted the settings yet.
        system.wait_until(lambda: not submit_job(system.urls[0])[1])
        row = Row(read_memory_mb(program, "VmHWM"))
        crowd = multiprocessing.Process(
            target=run_crowd, args=(kind, port, PATHS[door], count, seconds)
        )
        crowd.start()
        while crowd.is_alive():
            duration_s, error = submit_job(system.urls[0])
            row.jobs += 1
            if error:
                row.failed += 1
                print(f"job failed: {error}")
            row.slowest_s = max(row.slowest_s, duration_s)
            time.sleep(JOB_INTERVAL_S)
        crowd.join()
        row.peak_mb = read_memory_mb(program, "VmHWM")
        deadline_s = time.monotonic() + MAX_RELEASE_S
        while True:
            row.held_kb = read_held_kb(port)
            if row.held_kb == 0 or time.monotonic() > deadline_s:
                break
            time.sleep(JOB_INTERVAL_S)
        assert program.process is not None
        row.is_alive = program.process.poll() is None
    finally:
        system.stop()
    return row


def main() -> int:
    """Prints a row for each kind; returns 0 if all are within the limits."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--door", choices=sorted(PATHS), default="entry")
    parser.add_argument("--connections", type=int, default=400)
    parser.add_argument("--seconds", type=float, default=6.0)
    parser.add_argument("--kind", action="append", choices=sorted(KINDS))
    options = parser.parse_args()
    limits_mb = {"entry": ENTRY_MEMORY_MB, "sidecar": SIDECAR_MEMORY_MB}
    print(
        f"{options.connections} connections at the {options.door}\n"
        f"{'kind':26} {'peak MB':>8} {'jobs':>5} {'failed':>6} "
        f"{'slowest s':>9} {'held KB':>8}"
    )
    broken = 0
    for name in options.kind or KINDS:
        row = measure(
            KINDS[name], options.door, options.connections, options.seconds
        )
        is_within = row.is_within(limits_mb[options.door])
        broken += not is_within
        held = "?" if row.held_kb is None else f"{row.held_kb:.0f}"
        print(
            f"{name:26} {row.peak_mb:8.0f} {row.jobs:5d} {row.failed:6d} "
            f"{row.slowest_s:9.2f} {held:>8} "
            f"{'' if is_within else 'BROKEN'}",
            flush=True,
        )
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
