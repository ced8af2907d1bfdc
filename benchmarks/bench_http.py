"""Measures the HTTP server: latency, and processor time and memory used."""

import asyncio
import multiprocessing
import socket
import threading
import time
from concurrent.futures import ThreadPoolExecutor

from benchmarks.measure import percentile, read_usage
from faults.system import free_port
from sardinestair.cli.service import tune_interpreter
from sardinestair.observability import EventLog
from sardinestair.transfer import Reply, Transfer
from sardinestair.web import HttpServer, Request, Response, WebApp

HANDLER_WAIT_S = 0.12
STARTUP_WAIT_S = 1.5
SILENT_CONNECTIONS = 1000
SILENT_DATA = {
    "nothing": b"",
    "half a header": b"POST /trivial HTTP/1.1\r\nHo",
    "half a body": b"POST /trivial HTTP/1.1\r\nHost: x\r\n"
    b"Content-Length: 10\r\n\r\nhalf",
}


def make_app() -> WebApp:
    """Returns an application with a trivial and a waiting path."""

    async def respond(_request: Request) -> Response:
        return Response(b"{}")

    async def respond_after_wait(_request: Request) -> Response:
        await asyncio.sleep(HANDLER_WAIT_S)
        return Response(b"{}")

    rules = [
        ("/trivial", ["GET"], respond),
        ("/waiting", ["GET"], respond_after_wait),
    ]
    return WebApp(rules, 1 << 20, EventLog("bench"))


def serve(port: int) -> None:
    """Serves until the process is ended."""
    tune_interpreter()
    HttpServer("127.0.0.1", port, make_app()).start()
    threading.Event().wait()


def call_concurrently(
    url: str, callers: int, calls: int, keeps_connections: bool
) -> tuple[list[float], int]:
    """Calls a server from concurrent callers.

    Returns:
        The durations of successful calls in ms, and the number of failed
        ones.
    """

    def call_repeatedly(_number: int) -> list[float]:
        transfer, durations = Transfer(), []
        for _ in range(calls):
            started_s = time.perf_counter()
            reply = transfer.perform("GET", url, b"", 30.0)
            if isinstance(reply, Reply):
                durations.append((time.perf_counter() - started_s) * 1000)
            if not keeps_connections:
                transfer.close()
                transfer = Transfer()
        return durations

    with ThreadPoolExecutor(callers) as pool:
        durations_by_caller = list(pool.map(call_repeatedly, range(callers)))
    durations = [
        duration for caller in durations_by_caller for duration in caller
    ]
    return durations, callers * calls - len(durations)


def measure_silent(pid: int, port: int, name: str, data: bytes) -> None:
    """Prints what connections on which a request never ends cost others."""
    url = f"http://127.0.0.1:{port}/trivial"
    durations, _ = call_concurrently(url, 8, 200, False)
    before_ms = percentile(durations, 0.99)
    before_mb = read_usage(pid).resident_mb
    silent = [
        socket.create_connection(("127.0.0.1", port))
        for _ in range(SILENT_CONNECTIONS)
    ]
    for connection in silent:
        connection.sendall(data)
    time.sleep(STARTUP_WAIT_S)
    added_mb = read_usage(pid).resident_mb - before_mb
    durations, failed = call_concurrently(url, 8, 200, False)
    print(
        f"{SILENT_CONNECTIONS} connections with {name}: "
        f"{1000 * added_mb / SILENT_CONNECTIONS:.1f} KB each; p99 of others "
        f"{before_ms:.2f} ms before, {percentile(durations, 0.99):.2f} ms "
        f"beside them, {failed} failed"
    )
    for connection in silent:
        connection.close()


def main() -> None:
    """Runs each case and prints a table."""
    port = free_port()
    process = multiprocessing.Process(target=serve, args=(port,), daemon=True)
    process.start()
    time.sleep(STARTUP_WAIT_S)
    pid = process.pid or 0
    base = f"http://127.0.0.1:{port}"
    print(
        f"{'case':38} {'p50 ms':>8} {'p99 ms':>8} {'cpu ms':>8} {'MB':>6} "
        f"{'failed':>6}"
    )
    for case, path, callers, calls, keeps_connections in (
        ("1 caller, trivial, kept", "/trivial", 1, 500, True),
        ("8 callers, trivial, kept", "/trivial", 8, 200, True),
        ("8 callers, waiting, new connections", "/waiting", 8, 30, False),
        ("200 callers, waiting, kept", "/waiting", 200, 5, True),
    ):
        before_s = read_usage(pid).cpu_s
        durations, failed = call_concurrently(
            base + path, callers, calls, keeps_connections
        )
        usage = read_usage(pid)
        cpu_ms = 1000 * (usage.cpu_s - before_s) / (callers * calls)
        print(
            f"{case:38} {percentile(durations, 0.5):8.2f} "
            f"{percentile(durations, 0.99):8.2f} {cpu_ms:8.3f} "
            f"{usage.resident_mb:6.1f} {failed:6d}"
        )
    for name, data in SILENT_DATA.items():
        measure_silent(pid, port, name, data)
    process.terminate()
    process.join()


if __name__ == "__main__":
    main()
