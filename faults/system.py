"""Starts and stops the processes of a small system on loopback."""

import functools
import itertools
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator

import msgspec
import yaml

from sardinestair.cli.client import ApiClient
from sardinestair.settings import SettingsTree, parse_tree

SERVICE = "quotes"
ZONES = ("leinster", "munster", "connacht")
READY_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 30.0
SLOTS = 8
BIN_FOLDER = os.path.dirname(sys.executable)

DEFAULT_SETTINGS = """
set: {deadline_s: 20}
services:
  quotes: {}
"""


# Below the ephemeral port range, so that no outgoing connection takes a port
# between its choice and its use.
PORTS = range(20_000, 32_400)
BLOCK_PORTS = 400


@functools.cache
def _claim_ports() -> tuple[socket.socket, Iterator[int]]:
    """Claims ports that no other process with a system uses meanwhile.

    Otherwise the sidecars of one system could announce themselves to another.

    Returns:
        The socket that keeps the claim, and the ports.
    """
    blocks = list(PORTS[::BLOCK_PORTS])
    first = os.getpid() % len(blocks)
    for block in blocks[first:] + blocks[:first]:
        guard = socket.socket()
        try:
            guard.bind(("127.0.0.1", block))
        except OSError:
            guard.close()
            continue
        return guard, itertools.cycle(range(block + 1, block + BLOCK_PORTS))
    raise AssertionError("all blocks of ports are in use")


def free_port() -> int:
    """Returns a TCP port that is not in use, not the same one for long."""
    _, ports = _claim_ports()
    for port in itertools.islice(ports, BLOCK_PORTS):
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port
    raise AssertionError("all claimed ports are in use")


class Program:
    """A program of the system that can be started and stopped repeatedly.

    Attributes:
        name: Name of the program and its log file.
        folder: Folder of the log file.
        args: Command line; the command is looked up beside the interpreter.
        process: The running process, or None.
    """

    def __init__(self, name: str, folder: str, args: list[str]):
        self.name = name
        self.folder = folder
        self.args = args
        self.process: subprocess.Popen | None = None

    def start(self) -> None:
        """Starts the process."""
        command = [os.path.join(BIN_FOLDER, self.args[0]), *self.args[1:]]
        with open(os.path.join(self.folder, f"{self.name}.log"), "ab") as log:
            self.process = subprocess.Popen(command, stderr=log, stdout=log)

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Sends a signal to the process."""
        if self.process is not None:
            self.process.send_signal(signal_number)

    def kill(self) -> None:
        """Kills the process with SIGKILL."""
        self.send_signal(signal.SIGKILL)
        self.wait()

    def stop(self) -> int:
        """Stops the process with SIGTERM; returns its exit status."""
        self.send_signal(signal.SIGTERM)
        return self.wait()

    def wait(self) -> int:
        """Waits for the process to exit, and kills it after a time-out.

        Returns:
            The exit status, 0 if the process was not running.
        """
        if self.process is None:
            return 0
        try:
            return self.process.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.process.kill()
            return self.process.wait()
        finally:
            self.process = None


class System:
    """A store stand-in, entries, and sidecars with one upstream each.

    Args:
        entries: Number of entries.
        upstreams: Number of upstreams, and of sidecars.
        seed: Seed of the upstreams' speeds.
        speeds: Factor of the run times at each upstream; drawn if None.
        service: Name of the service.
        tree: Settings tree in YAML.
        slots: Slots of each upstream.
        failing: Indices of the upstreams that fail every task.
        entry_memory_mb: Memory of the VM of an entry, in MB, if it is set.
        sidecar_memory_mb: Memory of the VM of a sidecar, in MB, if it is set.
        link_network: Network whose addresses may connect to the link ports.
        notice_s: Notice of the upstreams when they stop, in seconds, or None.
    """

    def __init__(
        self,
        entries: int = 3,
        upstreams: int = 6,
        seed: int = 0,
        speeds: list[float] | None = None,
        service: str = SERVICE,
        tree: str = DEFAULT_SETTINGS,
        slots: int = SLOTS,
        failing: tuple[int, ...] = (),
        entry_memory_mb: int | None = None,
        sidecar_memory_mb: int | None = None,
        link_network: str | None = None,
        notice_s: float | None = None,
    ):
        self.rng = random.Random(seed)
        self.folder = tempfile.mkdtemp(prefix="sardinestair-")
        self.service = service
        self.tree = tree
        self.slots = slots
        self.entry_memory_mb = entry_memory_mb
        self.sidecar_memory_mb = sidecar_memory_mb
        self.link_limits = {"network": link_network}
        self.start_log = os.path.join(self.folder, "starts.log")
        self.store_port = free_port()
        self.store = Program(
            "store",
            self.folder,
            ["sardinestair-store-standin", "--port", str(self.store_port)],
        )
        link_ports = [free_port() for _ in range(entries)]
        self.entry_ports = [free_port() for _ in range(entries)]
        self.entries = [
            self._make_entry(i, port, link_ports)
            for i, port in enumerate(self.entry_ports)
        ]
        self.sidecar_ports = [free_port() for _ in range(upstreams)]
        self.link_ports = [free_port() for _ in range(upstreams)]
        self.entry_link_ports = link_ports
        self.sidecars = [self._make_sidecar(i, None) for i in range(upstreams)]
        self.speeds = speeds or [
            self.rng.choice((1, 1, 2, 3)) for _ in range(upstreams)
        ]
        self.failing = failing
        self.notice_s = notice_s
        self.upstreams = [self._make_upstream(i) for i in range(upstreams)]

    @property
    def programs(self) -> list[Program]:
        """All programs in the order in which they are started."""
        return [self.store, *self.entries, *self.sidecars, *self.upstreams]

    @property
    def urls(self) -> list[str]:
        """Base URLs of the entries."""
        return [f"http://127.0.0.1:{port}" for port in self.entry_ports]

    @property
    def store_url(self) -> str:
        """Base URL of the store stand-in."""
        return f"http://127.0.0.1:{self.store_port}"

    def start(self) -> None:
        """Starts all programs, applies the settings and waits for all slots."""
        for program in self.programs:
            program.start()
        self.wait_for_http(self.store_url, "/standin/calls")
        self.wait_for_http(self.urls[0], "/healthz")
        parsed = parse_tree(self.tree)
        assert parsed.is_ok(), parsed.error
        self.apply_settings(parsed.ok)
        for url in self.urls:
            self.wait_for_slots(url, self.slots * len(self.upstreams))

    def apply_settings(self, tree: SettingsTree) -> None:
        """Applies a settings tree through the first entry."""
        body = msgspec.to_builtins(tree)
        applied = ApiClient(self.urls[0]).call(
            "POST", "/admin/v1/settings/apply", body
        )
        assert applied.is_ok(), str(applied.error)

    def wait_for_http(self, url: str, path: str) -> None:
        """Waits until a GET of a path succeeds."""
        self.wait_until(lambda: ApiClient(url, 2.0).call("GET", path).is_ok())

    def wait_for_slots(self, url: str, slots: int) -> None:
        """Waits until an entry reports at least this number of slots."""

        def has_slots() -> bool:
            status = ApiClient(url, 2.0).call("GET", "/admin/v1/status")
            rows = status.ok["services"] if status.is_ok() else []
            return sum(row["slots"] for row in rows) >= slots

        self.wait_until(has_slots)

    def wait_until(self, condition) -> None:
        """Waits for a condition.

        Raises:
            TimeoutError: If it does not hold within READY_TIMEOUT_S.
        """
        deadline_s = time.monotonic() + READY_TIMEOUT_S
        while not condition():
            if time.monotonic() > deadline_s:
                raise TimeoutError(
                    f"system not ready in time; logs in {self.folder}"
                )
            time.sleep(0.05)

    def set_store_faults(self, **faults) -> None:
        """Sets the faults of the store stand-in; none without arguments."""
        ApiClient(self.store_url, 5.0).call("PUT", "/standin/faults", faults)

    def set_advertised_endpoint(self, index: int, endpoint: str) -> None:
        """Sets the endpoint that a sidecar advertises; call before `start`."""
        self.sidecars[index] = self._make_sidecar(index, endpoint)

    def stop(self) -> None:
        """Kills all processes, also those stopped by SIGSTOP."""
        for program in reversed(self.programs):
            program.send_signal(signal.SIGCONT)
            program.send_signal(signal.SIGKILL)
        for program in self.programs:
            program.wait()

    def _write_settings(self, name: str, settings: dict) -> str:
        file = os.path.join(self.folder, name)
        with open(file, "w", encoding="utf-8") as stream:
            yaml.safe_dump(settings, stream)
        return file

    def _make_entry(
        self, index: int, port: int, link_ports: list[int]
    ) -> Program:
        settings = {
            "address": {"http_port": port, "link_port": link_ports[index]},
            "zone": ZONES[index % len(ZONES)],
            "store": {"endpoints": [self.store_url], "timeout_s": 0.5},
            "peers": [f"127.0.0.1:{p}" for p in link_ports],
            "memory_mb": self.entry_memory_mb,
            "link_limits": self.link_limits,
        }
        file = self._write_settings(f"entry{index}.yaml", settings)
        args = ["sardinestair-entry", "--settings", file]
        return Program(f"entry{index}", self.folder, args)

    def _make_sidecar(self, index: int, advertise: str | None) -> Program:
        settings = {
            "address": {
                "http_port": self.sidecar_ports[index],
                "link_port": self.link_ports[index],
            },
            "zone": ZONES[index % len(ZONES)],
            "entries": [f"127.0.0.1:{p}" for p in self.entry_link_ports],
            "advertise": advertise,
            "memory_mb": self.sidecar_memory_mb,
            "link_limits": self.link_limits,
        }
        file = self._write_settings(f"sidecar{index}.yaml", settings)
        args = ["sardinestair-sidecar", "--settings", file]
        return Program(f"sidecar{index}", self.folder, args)

    def _make_upstream(self, index: int) -> Program:
        args = [
            "sardinestair-upstream-standin",
            "--sidecar",
            f"http://127.0.0.1:{self.sidecar_ports[index]}",
            "--service",
            self.service,
            "--slots",
            str(self.slots),
            "--speed",
            str(self.speeds[index]),
            "--start-log",
            f"{self.start_log}.{index}",
        ]
        if index in self.failing:
            args.append("--fails-all")
        if self.notice_s is not None:
            args += ["--notice", str(self.notice_s)]
        return Program(f"upstream{index}", self.folder, args)
