"""A small deployment: the project's programs, a store and runners."""

import http.client
import json
import os
import random
import re
import resource
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path
from typing import Any

from harness_3.runner import Runner
from harness_3.store import Store

ROOT = Path(__file__).resolve().parents[2]
ZONES = ("leinster", "munster", "connacht")
SERVICE = "huvo11a"
HOST = "nony24.example"
PREFIX = "/lohu930/"
FRONTEND, READINESS, CONTROL, APP, METRICS = 8161, 8167, 8166, 8165, 9464
INTERNAL_PORTS = (7720, 7735)
CAPACITY = {"cpu": 16000, "mem_mb": 65536, "gpu": 0}
PLACEHOLDER = re.compile(r"\{\{([\w.]+)(\|json)?\}\}")
READY_TIMEOUT_S = 30.0


class Program:
    """One of the project's programs, started as the deploy file says."""

    def __init__(
        self,
        name: str,
        module: str,
        env: dict[str, str],
        log: Path,
        max_fds: int | None = None,
    ):
        self.max_fds = max_fds
        self.name = name
        self.module = module
        self.env = env
        self.log = log
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Starts the process."""
        kept = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", "-m", self.module],
                cwd=ROOT,
                env={**kept, "PYTHONPATH": "target/deps", **self.env},
                stdout=log,
                stderr=log,
                preexec_fn=self._limit_descriptors,
            )

    def _limit_descriptors(self) -> None:
        """Limits the descriptors of the new process, as the platform does."""
        if self.max_fds is not None:
            limits = (self.max_fds, self.max_fds)
            resource.setrlimit(resource.RLIMIT_NOFILE, limits)

    def descriptors(self) -> int:
        """Returns the number of its open descriptors."""
        assert self.process is not None
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    def signal(self, number: int) -> None:
        """Sends a signal if the process runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kills the process and waits for its end."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def resident_mb(self) -> float:
        """Returns its resident memory."""
        assert self.process is not None
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        match = re.search(r"VmRSS:\s+(\d+)", status)
        return int(match.group(1)) / 1024 if match else 0.0


class Deployment:
    """Entries on edge machines, and sidecars with a runner each.

    Each machine has a loopback address of its own, so that ports are the same
    on all machines.

    Args:
        folder: Folder in which `record.txt` is written.
        entries: Number of edge machines.
        sidecars: Number of side machines.
        entry_memory_mb: Memory of an edge machine.
        capacity: Room of each runner.
        entry_max_fds: Limit of the descriptors of an entry, if it is enforced.
    """

    def __init__(
        self,
        folder: str,
        entries: int = 3,
        sidecars: int = 2,
        entry_memory_mb: int = 300,
        capacity: dict[str, int] | None = None,
        entry_max_fds: int | None = None,
    ):
        self.lock = threading.Lock()
        self.began_s = time.monotonic()
        self.record_path = Path(folder) / "record.txt"
        self.record_path.write_text("", encoding="utf-8")
        self.records: list[dict[str, Any]] = []
        self.pending: list[str] = []
        self.temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.subnet = _free_subnet()
        self.entry_memory_mb = entry_memory_mb
        self.entry_max_fds = entry_max_fds
        self.store_address = (f"{self.subnet}.200", 8169)
        self.store = Store(*self.store_address)
        self.entry_hosts = [f"{self.subnet}.{11 + i}" for i in range(entries)]
        self.side_hosts = [f"{self.subnet}.{51 + i}" for i in range(sidecars)]
        self.entries = [
            self._program("entry", index, host)
            for index, host in enumerate(self.entry_hosts)
        ]
        self.sidecars = [
            self._program("sidecar", index, host)
            for index, host in enumerate(self.side_hosts)
        ]
        # Ends all processes also if the script is stopped.
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
        self.capacity = capacity or CAPACITY
        self.runners: list[Runner] = []
        self.version = 6

    def record(self, event: str, **values: Any) -> None:
        """Records an event with its time."""
        now_s = round(time.monotonic() - self.began_s, 4)
        row = {"at_s": now_s, "event": event, **values}
        with self.lock:
            self.records.append(row)
            self.pending.append(json.dumps(row) + "\n")

    def write_records(self) -> None:
        """Appends the events since the last call to `record.txt`."""
        with self.lock:
            pending, self.pending = self.pending, []
        with self.record_path.open("a", encoding="utf-8") as file:
            file.writelines(pending)

    def now_s(self) -> float:
        """Returns the time since the start of the script."""
        return time.monotonic() - self.began_s

    def configure(self, routes: list[dict[str, Any]]) -> float:
        """Writes the configuration; returns the time of the store's ack."""
        self.version += 1
        configuration = {
            "version": self.version,
            "routes": routes,
            "services": [
                {
                    "name": SERVICE,
                    "health_path": "/healthz",
                    "max_conns": 64,
                    "protocol": "h1",
                    "tls": False,
                    "enforces_capacity": False,
                    "standby": False,
                }
            ],
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 262144,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
            },
        }
        self.store.put_json("op/config", configuration)
        self.record(
            "config_acknowledged",
            version=self.version,
            routes=[route["name"] for route in routes],
        )
        return self.now_s()

    def start(self, routes: list[dict[str, Any]]) -> None:
        """Starts everything, and waits until all entries take jobs."""
        self.configure(routes)
        for index, host in enumerate(self.side_hosts):
            self.runners.append(
                Runner(
                    (host, APP),
                    (host, CONTROL),
                    SERVICE,
                    ZONES[index % len(ZONES)],
                    self.capacity,
                    self.record,
                )
            )
        for program in [*self.entries, *self.sidecars]:
            program.start()
        for index in range(len(self.entries)):
            self.wait_until_ready(index)
        time.sleep(3.0)
        self.record("deployment_ready")

    def wait_until_ready(self, index: int) -> None:
        """Waits until the readiness check of an entry succeeds."""
        until_s = time.monotonic() + READY_TIMEOUT_S
        host = self.entry_hosts[index]
        while time.monotonic() < until_s:
            status, _ = call((host, READINESS), "GET", "/readyz", timeout_s=1)
            if status == 200:
                return
            time.sleep(0.1)
        raise TimeoutError(f"entry {index} is not ready")

    def stop(self) -> None:
        """Ends all processes that were started here."""
        for program in [*self.entries, *self.sidecars]:
            program.kill()
        self.write_records()
        logs = os.environ.get("REVIEW_LOGS")
        if logs:
            for file in Path(self.temporary.name).glob("*.log"):
                (Path(logs) / file.name).write_bytes(file.read_bytes())
        self.temporary.cleanup()

    def _program(self, role: str, index: int, host: str) -> Program:
        seeds = [f"{host}:{CONTROL}" for host in self.entry_hosts[:3]]
        fields: dict[str, Any] = {
            "ip": host,
            "zone": ZONES[index % len(ZONES)],
            "internal_ports": list(INTERNAL_PORTS),
            "seeds": seeds,
            "app": f"{host}:{APP}",
            "platform": {
                "address": f"{self.store_address[0]}:{self.store_address[1]}"
            },
            "listen": {
                "frontend": f"{host}:{FRONTEND}",
                "readiness": f"{host}:{READINESS}",
                "control_plane": f"{host}:{CONTROL}",
            },
        }
        text = (ROOT / "deploy" / f"{role}.yaml").read_text(encoding="utf-8")
        folder = Path(self.temporary.name)
        settings = folder / f"{role}{index}.yaml"
        settings.write_text(_fill(text, fields), encoding="utf-8")
        memory_mb = self.entry_memory_mb if role == "entry" else 168
        env = {
            "SARDINESTAIR_SETTINGS": str(settings),
            "SARDINESTAIR_MEMORY_MB": str(memory_mb),
        }
        if role == "entry":
            env["SARDINESTAIR_REMOTE_FACTOR"] = "1.5"
        return Program(
            f"{role}{index}",
            f"sardinestair.{role}.main",
            env,
            folder / f"{role}{index}.log",
            self.entry_max_fds if role == "entry" else None,
        )


def make_route(
    name: str = "r-3hwrr6x",
    prefix: str = PREFIX,
    max_attempts: int = 2,
    stretch: float = 1.6,
    target_duration_ms: int = 60,
    priority: int = 0,
) -> dict[str, Any]:
    """Returns a route as the operator configures it."""
    return {
        "name": name,
        "host": HOST,
        "prefix": prefix,
        "kind": "non_idempotent",
        "timeout_ms": 1500,
        "target_duration_ms": target_duration_ms,
        "priority": priority,
        "service": SERVICE,
        "max_attempts": max_attempts,
        "stretch": stretch,
    }


def make_job(
    work_ms: int, count: int, cpu: int = 1600, est_ms: int | None = None
) -> dict[str, Any]:
    """Returns a job of one step that need not be stored."""
    step = {
        "count": count,
        "cpu": cpu,
        "mem_mb": 64,
        "est_ms": est_ms or work_ms,
    }
    spec = json.dumps({"work_ms": work_ms})
    return {"spec": spec, "phases": [step], "best_effort": True}


def call(
    address: tuple[str, int],
    method: str,
    path: str,
    body: Any = None,
    deadline_ms: int | None = None,
    timeout_s: float = 30.0,
) -> tuple[int, Any]:
    """Sends one request on a new connection.

    Returns:
        Status and body; status 0 if there was no answer.
    """
    headers = {"Host": HOST, "Content-Type": "application/json"}
    if deadline_ms is not None:
        headers["X-Deadline-Ms"] = str(deadline_ms)
    connection = http.client.HTTPConnection(*address, timeout=timeout_s)
    try:
        text = None if body is None else json.dumps(body)
        connection.request(method, path, text, headers)
        response = connection.getresponse()
        data = response.read()
        return response.status, json.loads(data) if data else None
    except (OSError, http.client.HTTPException, ValueError):
        return 0, None
    finally:
        connection.close()


def job_of(task: str) -> str:
    """Returns the job's id in the name of a task."""
    return task.partition(".")[0]


def _fill(text: str, fields: dict[str, Any]) -> str:
    def value(match: re.Match[str]) -> str:
        found: Any = fields
        for part in match.group(1).split("."):
            found = found[int(part)] if part.isdigit() else found[part]
        return json.dumps(found) if match.group(2) else str(found)

    return PLACEHOLDER.sub(value, text)


def _free_subnet() -> str:
    """Returns the first three numbers of unused loopback addresses."""
    for _ in range(50):
        subnet = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        try:
            for port in (FRONTEND, CONTROL, METRICS, INTERNAL_PORTS[1]):
                with socket.socket() as probe:
                    probe.bind((f"{subnet}.11", port))
        except OSError:
            continue
        return subnet
    raise OSError("no free loopback addresses")
