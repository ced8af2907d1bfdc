"""A small deployment on loopback: the system's programs and its stand-ins.

The programs are started as `deploy/system.toml` says, with settings made from
the templates in `deploy/`. Each machine has a loopback address of its own.
"""

import itertools
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time
import tomllib
from typing import Any

from standins import Record, Runner, Store, call

__all__ = ["HOST", "Deployment", "Machine", "ROUTE_PREFIX", "SERVICE"]

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
SERVICE = "quote-desk"
HOST = "nony24.example"
ROUTE_PREFIX = "/lohu930/"
ZONES = ("leinster", "munster", "connacht")
PLACEHOLDER = re.compile(r"\{\{([\w.]+)(\|json)?\}\}")
RESTART_DELAY_S = 0.5
READY_TIMEOUT_S = 25.0
KEPT_VARIABLES = ("PATH", "HOME", "LANG")


class Ports:
    """Chooses ports that are free on all addresses of a deployment.

    They are below the range from which outgoing connections get theirs.
    """

    def __init__(self, hosts: list[str]):
        self.hosts = hosts
        self.numbers = itertools.count(20_000 + os.getpid() * 97 % 9_000)

    def take(self) -> int:
        """Returns a port that is free on all addresses."""
        return next(
            port
            for port in self.numbers
            if all(_is_free(host, port) for host in self.hosts)
        )


def _is_free(host: str, port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True


def render(template: str, fields: dict[str, Any]) -> str:
    """Fills the placeholders of a template, as the platform does."""

    def replace(match: re.Match[str]) -> str:
        value: Any = fields
        for name in match.group(1).split("."):
            value = value[int(name)] if isinstance(value, list) else value[name]
        return json.dumps(value) if match.group(2) else str(value)

    return PLACEHOLDER.sub(replace, template)


class Machine:
    """One process of the system, restarted after it has ended by itself.

    Args:
        name: The machine's name.
        role: Role in `deploy/system.toml`.
        fields: Fields that the platform fills into the template.
        metrics_port: Port of the metrics, which replaces that of the template.
        folder: Folder for settings and logs.
        record: Where starts and ends are recorded.

    Attributes:
        own_ends: Number of times that the process ended by itself.
    """

    def __init__(
        self,
        name: str,
        role: str,
        fields: dict[str, Any],
        metrics_port: int,
        folder: str,
        record: Record,
    ):
        self.name, self.role, self.fields = name, role, fields
        self.record = record
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as stream:
            entry = tomllib.load(stream)["roles"][role]
        self.command = entry["run"].split()
        path = os.path.join(ROOT, entry["template"])
        with open(path, encoding="utf-8") as stream:
            text = render(stream.read(), fields)
        self.settings = os.path.join(folder, f"{name}.yaml")
        with open(self.settings, "w", encoding="utf-8") as stream:
            old_port = entry["metrics"].partition("/")[0]
            stream.write(
                text.replace(
                    f"http_port: {old_port}", f"http_port: {metrics_port}"
                )
            )
        self.log_path = os.path.join(folder, f"{name}.log")
        self.process: subprocess.Popen[bytes] | None = None
        self.is_wanted = False
        self.own_ends = 0
        self.lock = threading.Lock()
        threading.Thread(target=self._supervise, daemon=True).start()

    def start(self) -> None:
        """Starts the process, which is restarted until `stop` or `kill`."""
        with self.lock:
            self.is_wanted = True
            if self.process is None or self.process.poll() is not None:
                self._launch()

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        self.record.add("signal", machine=self.name, signal=number.name)
        with self.lock:
            if self.process is not None and self.process.poll() is None:
                self.process.send_signal(number)

    def kill(self) -> None:
        """Kills the process and leaves it down."""
        with self.lock:
            self.is_wanted = False
        self.signal(signal.SIGKILL)
        self.wait()

    def stop(self, timeout_s: float = 6.0) -> None:
        """Sends SIGTERM, and SIGKILL after a time; leaves it down."""
        with self.lock:
            self.is_wanted = False
        self.signal(signal.SIGTERM)
        self.wait(timeout_s)

    def wait(self, timeout_s: float = 6.0) -> None:
        """Waits for the end of the process, and kills it after a time."""
        if self.process is None:
            return
        try:
            self.process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()
        self.record.add(
            "process_end", machine=self.name, status=self.process.returncode
        )

    def _launch(self) -> None:
        environment = {
            name: os.environ[name]
            for name in KEPT_VARIABLES
            if name in os.environ
        }
        environment["PYTHONPATH"] = "target/deps"
        environment["SARDINESTAIR_SETTINGS"] = self.settings
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                self.command,
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )
        self.record.add("process", machine=self.name, pid=self.process.pid)

    def _supervise(self) -> None:
        while True:
            time.sleep(0.05)
            with self.lock:
                process = self.process
                if not self.is_wanted or process is None:
                    continue
                if process.poll() is None:
                    continue
                self.own_ends += 1
                self.record.add(
                    "own_end", machine=self.name, status=process.returncode
                )
            time.sleep(RESTART_DELAY_S)
            with self.lock:
                if self.is_wanted and self.process is process:
                    self._launch()


class Deployment:
    """A store, entries, and sidecars with a runner each.

    Args:
        record: Where all events are recorded.
        entries: Number of entries, each in a zone of its own.
        sidecars: Number of sidecars.
        capacity: What each runner says of its capacity.
        route: Fields of the route that differ from the usual ones.
        zones: Availability zones of the machines of a role, in turn.
    """

    def __init__(
        self,
        record: Record,
        entries: int = 2,
        sidecars: int = 2,
        capacity: dict[str, int] | None = None,
        route: dict[str, Any] | None = None,
        zones: tuple[str, ...] = ZONES,
    ):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="review-")
        net = f"127.{os.getpid() >> 8 & 127 | 64}.{os.getpid() & 255}"
        hosts = [f"{net}.{n}" for n in range(1, entries + sidecars + 2)]
        ports = Ports(hosts)
        self.store = Store(hosts[0], ports.take())
        link_port, control_port = ports.take(), ports.take()
        client_port, ready_port = ports.take(), ports.take()
        app_port, metrics_port = ports.take(), ports.take()
        self.route = {
            "name": "price-check",
            "host": HOST,
            "prefix": ROUTE_PREFIX,
            "service": SERVICE,
            "timeout_ms": 20000,
            "priority": 0,
            "max_attempts": 3,
            "stretch": 4.0,
            "target_duration_ms": 1000,
            **(route or {}),
        }
        self.configure(7)
        seeds = [f"{host}:{control_port}" for host in hosts[1 : 1 + entries]]
        fields = {
            "internal_ports": [link_port - 1, link_port],
            "platform": {"address": self.store.address},
            "seeds": seeds[:3],
        }
        self.entries = [
            Machine(
                f"edge-{i + 1}",
                "entry",
                {
                    **fields,
                    "ip": host,
                    "zone": zones[i % len(zones)],
                    "listen": {
                        "frontend": f"{host}:{client_port}",
                        "readiness": f"{host}:{ready_port}",
                        "control_plane": f"{host}:{control_port}",
                    },
                },
                metrics_port,
                self.folder,
                self.record,
            )
            for i, host in enumerate(hosts[1 : 1 + entries])
        ]
        self.sidecars, self.runners = [], []
        for i, host in enumerate(hosts[1 + entries :]):
            control = f"{host}:{control_port}"
            self.sidecars.append(
                Machine(
                    f"side-{i + 1}",
                    "sidecar",
                    {
                        **fields,
                        "ip": host,
                        "zone": zones[i % len(zones)],
                        "app": f"{host}:{app_port}",
                        "listen": {"control_plane": control},
                    },
                    metrics_port,
                    self.folder,
                    self.record,
                )
            )
            self.runners.append(
                Runner(
                    f"i-{i + 1:08x}",
                    SERVICE,
                    zones[i % len(zones)],
                    host,
                    app_port,
                    control,
                    self.record,
                    capacity,
                )
            )

    def configure(self, version: int) -> None:
        """Writes the operator's configuration to the store."""
        config = {
            "version": version,
            "routes": [self.route],
            "services": [{"name": SERVICE, "enforces_capacity": False}],
            "limits": {},
        }
        self.store.put("op/config", json.dumps(config).encode())

    def __enter__(self) -> "Deployment":
        """Starts all programs, and waits until all entries are ready."""
        try:
            for machine in [*self.entries, *self.sidecars]:
                machine.start()
            self.await_ready(self.entries)
        except BaseException:
            self.__exit__()
            raise
        return self

    def __exit__(self, *_error: object) -> None:
        """Ends all processes that were started, and keeps no file."""
        for machine in [*self.entries, *self.sidecars]:
            machine.kill()
        for runner in self.runners:
            runner.close()
        self.store.close()
        kept = os.environ.get("REVIEW_KEEP_LOGS")
        if kept:
            shutil.copytree(self.folder, kept, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)

    def is_ready(self, machine: Machine) -> bool:
        """Returns True if an entry's readiness check succeeds."""
        address = machine.fields["listen"]["readiness"]
        return call(address, "GET", "/readyz", timeout_s=1.0)[0] == 200

    def await_ready(self, machines: list[Machine]) -> None:
        """Waits until entries are ready.

        Raises:
            TimeoutError: If they don't get ready; the case couldn't run.
        """
        limit_s = time.monotonic() + READY_TIMEOUT_S
        for machine in machines:
            while not self.is_ready(machine):
                if time.monotonic() > limit_s:
                    raise TimeoutError(f"{machine.name} did not get ready")
                time.sleep(0.1)

    def client_address(self, machine: Machine) -> str:
        """Returns the address at which an entry accepts clients."""
        return machine.fields["listen"]["frontend"]


def make_job(
    run_s: float, count: int = 1, cpu: int = 1600, **job: Any
) -> dict[str, Any]:
    """Returns the body of a job with one step that needn't be kept."""
    return {
        "spec": json.dumps({"run_s": run_s}),
        "best_effort": True,
        "phases": [
            {
                "count": count,
                "cpu": cpu,
                "mem_mb": 64,
                "est_ms": int(run_s * 1000),
            }
        ],
        **job,
    }
