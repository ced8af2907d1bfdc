"""Crowds of clients that misuse HTTP: `python -m faults.hostile`.

For each kind of misuse a fresh system is started, and a crowd connects to a
port of its entry or its sidecar, for HTTP or for links. Meanwhile well-behaved
jobs are submitted one after the other. The table shows the peak of the resident
memory of the process, the slowest job, and what the process still holds for
requests after the crowd has left.
"""

import argparse
import asyncio
import multiprocessing
import re
import socket
import struct
import sys
import time

import msgspec

from faults.link_misuse import LINK_KINDS
from faults.misuse import KINDS, PATHS, Kind
from faults.system import SERVICE, Program, System
from sardinestair.cli.client import ApiClient
from sardinestair.transfer import Reply, Transfer

__all__ = ["run_crowd"]

ENTRY_MEMORY_MB = 160
SIDECAR_MEMORY_MB = 168
JOB_INTERVAL_S = 0.25
JOB_TIMEOUT_S = 20.0
MAX_JOB_S = 1.0
MAX_RELEASE_S = 10.0
LINGER_RESET = struct.pack("ii", 1, 0)
HELD_GAUGE = re.compile(rb"^sardinestair_http_held_bytes\{.*\} (\S+)", re.M)
DOOR_KINDS = {
    "entry": KINDS,
    "sidecar": KINDS,
    "entry-link": LINK_KINDS,
    "sidecar-link": LINK_KINDS,
}
# Only the well-behaved peers have this address if a network is set.
GOOD_NETWORK = "127.0.0.1/32"


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


async def _misuse(
    kind: Kind, port: int, pieces: list[bytes], until_s: float, number: int
) -> None:
    """Opens connections, and keeps the last until the server or time ends it.

    Each connection but the last is closed once the server has refused it.
    """
    for attempt in range(kind.connects):
        is_last = attempt == kind.connects - 1
        await _misuse_once(kind, port, pieces, until_s, number, is_last)


async def _misuse_once(
    kind: Kind,
    port: int,
    pieces: list[bytes],
    until_s: float,
    number: int,
    is_last: bool,
) -> None:
    loop = asyncio.get_running_loop()
    with socket.socket() as client:
        client.setblocking(False)
        try:
            if kind.addresses:
                client.bind((f"127.0.0.{2 + number % kind.addresses}", 0))
            await loop.sock_connect(client, ("127.0.0.1", port))
            for piece in pieces:
                await loop.sock_sendall(client, piece)
                await asyncio.sleep(kind.pause_s)
            if kind.resets:
                client.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET
                )
                return
            if not is_last:
                await loop.sock_recv(client, 65536)
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
    # Shared by all connections, as each copy may have megabytes.
    pieces = [list(kind.pieces(path)) for path in paths]
    until_s = time.monotonic() + seconds
    clients = [
        asyncio.create_task(
            _misuse(kind, port, pieces[number % len(paths)], until_s, number)
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


def measure(
    kind: Kind,
    door: str,
    count: int,
    seconds: float,
    has_network: bool = False,
) -> Row:
    """Measures one crowd at a port of a fresh system.

    Args:
        kind: What the crowd sends.
        door: The port, one of `DOOR_KINDS`.
        count: Number of connections.
        seconds: How long they are kept, in seconds.
        has_network: Whether the link ports are limited to a network, of which
            the crowd is no part.
    """
    if has_network:
        kind = msgspec.structs.replace(kind, addresses=1)
    system = System(
        1,
        1,
        speeds=[1.0],
        entry_memory_mb=ENTRY_MEMORY_MB,
        sidecar_memory_mb=SIDECAR_MEMORY_MB,
        link_network=GOOD_NETWORK if has_network else None,
    )
    try:
        system.start()
        side = door.removesuffix("-link")
        program, port, link_port = {
            "entry": (
                system.entries[0],
                system.entry_ports[0],
                system.entry_link_ports[0],
            ),
            "sidecar": (
                system.sidecars[0],
                system.sidecar_ports[0],
                system.link_ports[0],
            ),
        }[side]
        target = port if door == side else link_port
        # The entry may not have adopted the settings yet.
        system.wait_until(lambda: not submit_job(system.urls[0])[1])
        row = Row(read_memory_mb(program, "VmHWM"))
        crowd = multiprocessing.Process(
            target=run_crowd, args=(kind, target, PATHS[side], count, seconds)
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
    parser.add_argument("--door", choices=sorted(DOOR_KINDS), default="entry")
    parser.add_argument(
        "--network",
        action="store_true",
        help="limit the link ports to a network, of which the crowd is no part",
    )
    parser.add_argument("--connections", type=int, default=400)
    parser.add_argument("--seconds", type=float, default=6.0)
    parser.add_argument(
        "--kind", action="append", choices=sorted(KINDS | LINK_KINDS)
    )
    options = parser.parse_args()
    is_entry = options.door.startswith("entry")
    limit_mb = ENTRY_MEMORY_MB if is_entry else SIDECAR_MEMORY_MB
    kinds = DOOR_KINDS[options.door]
    print(
        f"{options.connections} connections at the {options.door}\n"
        f"{'kind':26} {'peak MB':>8} {'jobs':>5} {'failed':>6} "
        f"{'slowest s':>9} {'held KB':>8}"
    )
    broken = 0
    for name in options.kind or kinds:
        row = measure(
            kinds[name],
            options.door,
            options.connections,
            options.seconds,
            options.network,
        )
        is_within = row.is_within(limit_mb)
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
