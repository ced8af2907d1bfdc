"""A small deployment of real processes on loopback addresses.

Each machine has an address of its own in 127.0.0.0/8. The programs are started
with the commands of `deploy/system.toml`, and with settings made from its
templates. Standard library only.
"""

import json
import os
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.request

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))
HOST = "desk.example"
PREFIX = "/queue/"
SERVICE = "desk"
READY_TIMEOUT_S = 25.0
# With the time to end the processes, less than the 120 s that a script has.
TIME_LIMIT_S = 105
RESEND_S = 1.3

HELD, BROKEN, NOT_RUN = 0, 1, 2


class SetupError(Exception):
    """The case could not be run."""


def is_trouble():
    """Returns True unless the script is to run without its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def configuration(max_attempts=2, stretch=1.6, target_ms=60, timeout_ms=1500):
    """Returns the operator's configuration with one queue."""
    return {
        "version": 7,
        "limits": {},
        "routes": [
            {
                "name": "queue",
                "host": HOST,
                "prefix": PREFIX,
                "service": SERVICE,
                "timeout_ms": timeout_ms,
                "priority": 0,
                "max_attempts": max_attempts,
                "stretch": stretch,
                "target_duration_ms": target_ms,
            }
        ],
        "services": [{"name": SERVICE, "enforces_capacity": False}],
    }


class Process:
    """A program that can be started again with the same command.

    Args:
        name: Its name, also of its log file.
        command: Its command line.
        folder: Folder of the log file.
        environment: Its environment.
    """

    def __init__(self, name, command, folder, environment):
        self.name = name
        self.command = command
        self.folder = folder
        self.environment = environment
        self.process = None

    def start(self):
        """Starts the process."""
        with open(f"{self.folder}/{self.name}.log", "ab") as log:
            self.process = subprocess.Popen(
                self.command,
                cwd=ROOT,
                env=self.environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def signal(self, number):
        """Sends a signal to the process if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self):
        """Ends the process with SIGKILL."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def is_running(self):
        """Returns True if the process has not ended."""
        return self.process is not None and self.process.poll() is None


class System:
    """A store, edge machines with an entry, side machines with a runner.

    Args:
        folder: Folder of the case, which gets `record.txt`.
        edges: Number of edge machines.
        sides: Number of side machines.
        cpu: Capacity of a runner, in thousandths of a core.
        config: The operator's configuration.
        late_job: A job of which the first start is held up on its way to the
            runner; None for no channels of that kind.
    """

    def __init__(
        self,
        folder,
        edges=2,
        sides=2,
        cpu=16000,
        config=None,
        late_job=None,
    ):
        self.work = tempfile.TemporaryDirectory(prefix="review-2-")
        self.record_file = os.path.join(folder, "record.txt")
        with open(self.record_file, "w", encoding="utf-8"):
            pass
        self.began_s = time.monotonic()
        with open(f"{ROOT}/deploy/system.toml", "rb") as stream:
            self.roles = tomllib.load(stream)["roles"]
        # Other addresses than those of another run on the same machine.
        block = random.Random(os.getpid()).randrange(1, 250)
        self.network = f"127.{block}.{os.getpid() % 250}"
        ports = free_ports(f"{self.network}.10", 8)
        self.http_port, self.link_port, self.frontend_port = ports[:3]
        self.ready_port, self.control_port, self.app_port = ports[3:6]
        self.channel_port, store_port = ports[6:]
        self.late_job = late_job
        self.store_address = f"{self.network}.250:{store_port}"
        self.run_log = f"{self.work.name}/runs.jsonl"
        self.channel_log = f"{self.work.name}/channels.jsonl"
        config_file = f"{self.work.name}/config.json"
        with open(config_file, "w", encoding="utf-8") as stream:
            json.dump(config or configuration(), stream)
        self.store = self.make_standin(
            "store", ["--listen", self.store_address, "--config", config_file]
        )
        self.seeds = [f"{self.edge_ip(0)}:{self.control_port}"]
        self.entries = [self.make_entry(i) for i in range(edges)]
        self.sidecars = [self.make_sidecar(i) for i in range(sides)]
        self.runners = [self.make_runner(i, cpu) for i in range(sides)]
        self.channels = []
        if late_job is not None:
            self.channels = [self.make_channel(i) for i in range(sides)]

    @property
    def processes(self):
        """All processes in the order in which they start."""
        upstream = [*self.runners, *self.channels]
        return [self.store, *self.entries, *self.sidecars, *upstream]

    def edge_ip(self, index):
        """Returns the address of an edge machine."""
        return f"{self.network}.{10 + index}"

    def side_ip(self, index):
        """Returns the address of a side machine."""
        return f"{self.network}.{100 + index}"

    def frontend(self, index):
        """Returns the address at which an entry serves clients."""
        return self.edge_ip(index), self.frontend_port

    def make_standin(self, name, arguments, label=None):
        """Returns a stand-in of this folder."""
        command = [sys.executable, f"{HERE}/{name}.py", *arguments]
        environment = {"PATH": os.environ.get("PATH", "")}
        return Process(label or name, command, self.work.name, environment)

    def make_role(self, role, name, fields):
        """Returns a program of the deploy file, with its settings file."""
        spec = self.roles[role]
        with open(f"{ROOT}/{spec['template']}", encoding="utf-8") as stream:
            text = fill_in(stream.read(), fields)
        text = re.sub(r"http_port: \d+", f"http_port: {self.http_port}", text)
        settings = f"{self.work.name}/{name}.yaml"
        with open(settings, "w", encoding="utf-8") as stream:
            stream.write(text)
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": self.work.name,
            "PYTHONPATH": f"{ROOT}/target/deps",
            "PYTHONDONTWRITEBYTECODE": "1",
            "SARDINESTAIR_SETTINGS": settings,
        }
        for key, value in spec.get("env", {}).items():
            environment[key] = fill_in(value, fields)
        command = spec["run"].split()
        if command[0] == "python3":
            command[0] = sys.executable
        return Process(name, command, self.work.name, environment)

    def make_entry(self, index):
        """Returns the entry of an edge machine."""
        ip = self.edge_ip(index)
        fields = self.common_fields(ip, index)
        fields["listen.frontend"] = f"{ip}:{self.frontend_port}"
        fields["listen.readiness"] = f"{ip}:{self.ready_port}"
        fields["limits.memory_mb"] = 300
        fields["bounds.remote_factor"] = 1.5
        return self.make_role("entry", f"entry{index}", fields)

    def make_sidecar(self, index):
        """Returns the sidecar of a side machine."""
        ip = self.side_ip(index)
        fields = self.common_fields(ip, index)
        port = self.app_port if self.late_job is None else self.channel_port
        fields["app"] = f"{ip}:{port}"
        fields["listen.control_plane"] = f"{ip}:{self.control_port}"
        fields["limits.memory_mb"] = 168
        return self.make_role("sidecar", f"sidecar{index}", fields)

    def make_runner(self, index, cpu):
        """Returns the runner of a side machine."""
        ip = self.side_ip(index)
        arguments = ["--name", f"i-{index}", "--service", SERVICE]
        arguments += ["--app", f"{ip}:{self.app_port}"]
        arguments += ["--control-plane", f"{ip}:{self.control_port}"]
        arguments += ["--zone", zone_of(index), "--cpu", str(cpu)]
        arguments += ["--log", self.run_log]
        # Like most runners, it has been up for some minutes.
        arguments += ["--uptime", "480"]
        return self.make_standin("runner", arguments, f"runner{index}")

    def crash_runner(self, index):
        """Ends a runner, and with it all that runs there."""
        self.runners[index].kill()
        event = {"s": time.monotonic(), "event": "crash", "task": "", "run": 0}
        with open(self.run_log, "a", encoding="utf-8") as stream:
            stream.write(json.dumps(event | {"runner": f"i-{index}"}) + "\n")

    def restart_runner(self, index):
        """Starts a runner that has ended as a new boot."""
        runner = self.runners[index]
        place = runner.command.index("--name") + 1
        runner.command[place] += "-again"
        runner.command[-1] = "0"
        runner.start()

    def make_channel(self, index):
        """Returns what delays calls between a sidecar and its runner."""
        ip = self.side_ip(index)
        arguments = ["--listen", f"{ip}:{self.channel_port}"]
        arguments += ["--target", f"{ip}:{self.app_port}"]
        arguments += ["--job", self.late_job, "--log", self.channel_log]
        return self.make_standin("channel", arguments, f"channel{index}")

    def common_fields(self, ip, index):
        """Returns the fields of a template that all machines have."""
        return {
            "ip": ip,
            "zone": zone_of(index),
            "internal_ports.1": self.link_port,
            "platform.address": self.store_address,
            "seeds": self.seeds,
        }

    def note(self, text):
        """Writes a line to `record.txt`."""
        self.write_line(time.monotonic(), text)

    def write_line(self, at_s, text):
        """Writes a line with a time to `record.txt`."""
        with open(self.record_file, "a", encoding="utf-8") as stream:
            stream.write(f"{at_s - self.began_s:8.3f} {text}\n")

    def start(self):
        """Starts all processes, and waits until every entry serves jobs."""
        for process in self.processes:
            process.start()
        for index in range(len(self.entries)):
            self.wait_until_ready(index)
        self.note("all entries are ready")

    def wait_until_ready(self, index):
        """Waits until an entry is ready, and has run a task everywhere."""
        deadline_s = time.monotonic() + READY_TIMEOUT_S
        number = 0
        while True:
            if time.monotonic() > deadline_s:
                raise SetupError(f"entry {index} isn't ready")
            number += 1
            job = f"{index:02x}{number:04x}{int(time.monotonic()):010x}"
            try:
                if self.is_ready(index):
                    body = make_job("run_ms=20", count=2)
                    reply = Client(self.frontend(index)).call(
                        "POST", job, body, 5000
                    )
                    if reply == (200, {"state": "completed"}):
                        return
            except OSError:
                pass
            time.sleep(0.1)

    def is_ready(self, index):
        """Returns True if the readiness check of an entry succeeds."""
        address = (self.edge_ip(index), self.ready_port)
        with socket.create_connection(address, 1.0) as connection:
            connection.sendall(b"GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n")
            return b" 200 " in connection.recv(4096).split(b"\r\n")[0]

    def write_config(self, config):
        """Writes a configuration; returns when the store has taken it."""
        request = urllib.request.Request(
            f"http://{self.store_address}/operator/config",
            json.dumps(config).encode(),
            method="PUT",
        )
        urllib.request.urlopen(request, timeout=5).read()

    def run_events(self):
        """Returns what the runners have logged, in order."""
        return read_log(self.run_log)

    def channel_events(self):
        """Returns which calls were held up and delivered, in order."""
        return read_log(self.channel_log)

    def starts_of(self, job):
        """Returns the starts of a job's tasks."""
        return [
            event
            for event in self.run_events()
            if event["event"] == "start" and event["task"].startswith(job)
        ]

    def wait_for_start(self, job, timeout_s=5.0):
        """Waits until a task of a job has started."""
        deadline_s = time.monotonic() + timeout_s
        while not self.starts_of(job):
            if time.monotonic() > deadline_s:
                raise SetupError(f"no task of job {job} has started")
            time.sleep(0.01)

    def note_runs(self, job):
        """Writes the runs of a job to `record.txt`."""
        for event in self.run_events():
            if event["task"].startswith(job):
                text = "runner {runner}: {event} task {task} run {run}"
                how = event.get("how", "")
                self.write_line(event["s"], f"{text.format(**event)} {how}")

    def stop(self):
        """Ends all processes, and keeps their logs if asked to."""
        for process in reversed(self.processes):
            process.kill()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            subprocess.run(["cp", "-r", self.work.name, keep], check=False)
        self.work.cleanup()


class Client:
    """A client's channel to an entry.

    Args:
        address: Address of the entry.
    """

    def __init__(self, address):
        self.socket = socket.create_connection(address, 5.0)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.data = b""

    def send(self, method, job, body=None, deadline_ms=None):
        """Sends a request without waiting for the response."""
        self.socket.sendall(encode(method, job, body, deadline_ms))

    def read(self, timeout_s=30.0):
        """Returns status and body of the next response."""
        self.socket.settimeout(timeout_s)
        while b"\r\n\r\n" not in self.data:
            self.receive()
        head, _, self.data = self.data.partition(b"\r\n\r\n")
        status = int(head.split()[1])
        found = re.search(rb"content-length: *(\d+)", head, re.IGNORECASE)
        size = int(found.group(1)) if found else 0
        while len(self.data) < size:
            self.receive()
        text, self.data = self.data[:size], self.data[size:]
        return status, json.loads(text) if text else {}

    def receive(self):
        """Reads more data.

        Raises:
            OSError: If the channel has ended.
        """
        data = self.socket.recv(65536)
        if not data:
            raise ConnectionResetError("the channel has ended")
        self.data += data

    def call(self, method, job, body=None, deadline_ms=None):
        """Sends a request and returns status and body of its response."""
        self.send(method, job, body, deadline_ms)
        return self.read()

    def reset(self):
        """Resets the channel."""
        linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self.socket.close()

    def close(self):
        """Closes the channel."""
        self.socket.close()


def encode(method, job, body=None, deadline_ms=None):
    """Returns a request for a job as bytes."""
    data = b"" if body is None else json.dumps(body).encode()
    lines = [f"{method} {PREFIX}{job} HTTP/1.1", f"Host: {HOST}"]
    if body is not None:
        lines.append("Content-Type: application/json")
        lines.append(f"Content-Length: {len(data)}")
    if deadline_ms is not None:
        lines.append(f"X-Deadline-Ms: {deadline_ms}")
    return "\r\n".join([*lines, "", ""]).encode() + data


def make_job(spec, count=1, cpu=1600, est_ms=0):
    """Returns the body of a job of one step that needn't be kept."""
    step = {"count": count, "cpu": cpu, "mem_mb": 64, "est_ms": est_ms}
    return {"spec": spec, "phases": [step], "best_effort": True}


def overlaps(events):
    """Returns pairs of runs of one task that were active at the same time."""
    runs = {}
    for event in events:
        if event["event"] == "crash":
            for key, run in runs.items():
                if key[1] == event["runner"]:
                    run[1] = min(run[1], event["s"])
        key = (event["task"], event["runner"], event["run"])
        if event["event"] == "start":
            runs[key] = [event["s"], float("inf")]
        elif key in runs:
            runs[key][1] = event["s"]
    found = []
    ordered = sorted(runs.items())
    for index, (first, (start_s, end_s)) in enumerate(ordered):
        for second, (other_start_s, other_end_s) in ordered[index + 1 :]:
            is_same_task = first[0] == second[0]
            both_s = min(end_s, other_end_s) - max(start_s, other_start_s)
            if is_same_task and both_s > 0:
                found.append((first, second, both_s))
    return found


def read_log(file):
    """Returns the events of a log of stand-ins, in order."""
    try:
        with open(file, encoding="utf-8") as stream:
            events = [json.loads(line) for line in stream]
    except FileNotFoundError:
        return []
    return sorted(events, key=lambda event: event["s"])


def fill_in(text, fields):
    """Fills the placeholders of a template."""

    def replace(match):
        name, _, form = match.group(1).partition("|")
        value = fields[name]
        return json.dumps(value) if form == "json" else str(value)

    return re.sub(r"\{\{([^}]+)\}\}", replace, text)


def free_ports(host, count):
    """Returns different ports of an address that are not in use."""
    probes = [socket.socket() for _ in range(count)]
    for probe in probes:
        probe.bind((host, 0))
    ports = [probe.getsockname()[1] for probe in probes]
    for probe in probes:
        probe.close()
    return ports


def zone_of(index):
    """Returns the zone of a machine."""
    return ("leinster", "munster", "connacht")[index % 3]


def give_up(number, _frame):
    """Ends a case on a signal."""
    raise SetupError(f"the script got signal {number}")


def run_case(folder, case, **options):
    """Runs a case; returns the exit status of its script.

    Args:
        folder: Folder of the case.
        case: Function that takes the system and returns the status.
        options: Arguments of `System`.
    """
    # An end from outside, and one for lack of time, also end the processes.
    signal.signal(signal.SIGTERM, give_up)
    signal.signal(signal.SIGALRM, give_up)
    signal.alarm(TIME_LIMIT_S)
    system, status = None, NOT_RUN
    try:
        system = System(folder, **options)
        system.start()
        status = case(system)
        ended = [
            p.name
            for p in system.entries + system.sidecars
            if p.process and p.process.poll() not in (None, -9, 0)
        ]
        if ended:
            system.note(f"ended by themselves: {ended}")
    except Exception as error:
        # Status 1 stands for a broken rule only.
        status = NOT_RUN
        print(f"the case could not run: {error!r}", file=sys.stderr)
        if system is not None:
            system.note(f"the case could not run: {error!r}")
    finally:
        signal.alarm(0)
        if system is not None:
            system.stop()
    if system is None:
        return status
    names = {HELD: "rule held", BROKEN: "rule broken", NOT_RUN: "not run"}
    system.note(f"result: {names[status]}")
    return status
