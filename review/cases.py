"""Runs a case: traffic, verdict, record and exit status."""

import itertools
import os
import signal
import sys
import threading
import time
import traceback
import zlib
from collections.abc import Callable
from typing import Any

from deployment import HOST, ROUTE_PREFIX, Deployment, Machine
from standins import Record, call

__all__ = [
    "HAS_TROUBLE",
    "RECOVERY_S",
    "Balancer",
    "Traffic",
    "await_true",
    "delete_job",
    "headers",
    "judge_cancelled",
    "judge_recovery",
    "judge_twice",
    "main",
    "served_share",
    "submit_job",
]

EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2
# A script may take 120 s.
MAX_CASE_S = 110
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# Bounds of the site files, in seconds: `cancel_ms` and `stop_ms`.
CANCEL_S, STOP_S = 3.0, 0.05
CHECK_S, MAX_MISSES = 1.0, 2
# By so much the timer of a stand-in may record an end late, in seconds.
TIMER_S = 0.02
# Bound of the site files, `recovery_s`, and the share that has to be served.
RECOVERY_S, MIN_SHARE = 12.0, 0.25


def headers(deadline_s: float) -> dict[str, str]:
    """Returns the header fields of a client's request."""
    return {"Host": HOST, "X-Deadline-Ms": str(int(deadline_s * 1000))}


def submit_job(
    record: Record,
    address: str,
    name: str,
    job: dict[str, Any],
    deadline_s: float = 10.0,
) -> tuple[int, Any]:
    """Submits a job on a connection of its own, and records the answer."""
    record.add("post", job=name, to=address)
    status, body = call(
        address,
        "POST",
        ROUTE_PREFIX + name,
        job,
        deadline_s + 1.0,
        headers(deadline_s),
    )
    record.add("answer", job=name, of=address, status=status, body=body)
    return status, body


def delete_job(
    record: Record, address: str, name: str, deadline_s: float = 4.0
) -> tuple[int, Any]:
    """Cancels a job on a connection of its own, and records the answer."""
    record.add("delete", job=name, to=address)
    status, body = call(
        address,
        "DELETE",
        ROUTE_PREFIX + name,
        None,
        deadline_s,
        headers(deadline_s),
    )
    record.add("deleted", job=name, of=address, status=status, body=body)
    return status, body


def judge_cancelled(record: Record, name: str, acknowledged_s: float) -> str:
    """Checks the rule UNASKED for a job whose cancelling was acknowledged.

    Args:
        record: The events.
        name: The job.
        acknowledged_s: When a client got the acknowledgement.

    Returns:
        What broke the rule, or an empty text.
    """
    limit_s = acknowledged_s + CANCEL_S
    starts = [e for e in record.find("run_start") if _is_of(e, name)]
    ends = {
        (e["runner"], e["task"], e["run"]): e["at"]
        for e in record.find("run_end")
    }
    late = [e for e in starts if e["at"] > limit_s]
    running = [
        e
        for e in starts
        if e["at"] <= limit_s
        and ends.get((e["runner"], e["task"], e["run"]), record.now_s())
        > limit_s + STOP_S
    ]
    if not (late or running):
        return ""
    last_s = max(e["at"] for e in starts) - acknowledged_s
    return (
        f"{len(late)} tasks of the cancelled job {name} started over "
        f"{CANCEL_S:.0f} s after the ack, the last {last_s:.1f} s after it; "
        f"{len(running)} that had started before ran on"
    )


def judge_twice(record: Record) -> str:
    """Checks the rule TWICE for jobs that needn't be kept.

    Returns:
        What broke the rule, or an empty text.
    """
    ends = {
        (e["runner"], e["task"], e["run"]): e["at"]
        for e in record.find("run_end")
    }
    runs: dict[str, list[tuple[float, float, str]]] = {}
    for event in record.find("run_start"):
        key = (event["runner"], event["task"], event["run"])
        end_s = ends.get(key, record.now_s())
        runs.setdefault(event["task"], []).append(
            (event["at"], end_s, event["runner"])
        )
    overlaps: dict[str, float] = {}
    for task, spans in runs.items():
        spans.sort()
        for earlier, later in itertools.pairwise(spans):
            overlap_s = min(earlier[1], later[1]) - later[0]
            if overlap_s > TIMER_S:
                overlaps[task] = max(overlap_s, overlaps.get(task, 0.0))
    if not overlaps:
        return ""
    return (
        f"{len(overlaps)} tasks ran twice at the same time, for up to "
        f"{max(overlaps.values()):.2f} s"
    )


def _is_of(event: dict[str, Any], name: str) -> bool:
    return event["task"].partition(".")[0] == name


def served_share(record: Record, from_s: float, to_s: float) -> float:
    """Returns the share of the jobs sent in a time that were completed."""
    sent = [
        event["job"]
        for event in record.find("post")
        if from_s <= event["at"] < to_s
    ]
    completed = {
        event["job"]
        for event in record.find("answer", status=200)
        if event["body"].get("state") == "completed"
    }
    return sum(name in completed for name in sent) / len(sent)


def judge_recovery(
    system: Deployment,
    before: tuple[float, float],
    after: tuple[float, float],
) -> str:
    """Checks the rule RECOVER.

    Args:
        system: The deployment.
        before: Begin and end of the traffic before the final fault.
        after: Begin and end of the traffic later than `RECOVERY_S` after the
            machines were back.

    Returns:
        What broke the rule, or an empty text.

    Raises:
        RuntimeError: If too little was served before for a verdict.
    """
    shares = [served_share(system.record, *span) for span in (before, after)]
    machines = [*system.entries, *system.sidecars]
    ends = {m.name: m.own_ends for m in machines if m.own_ends}
    figures = (
        f"{shares[0]:.2f} of the jobs served before and {shares[1]:.2f} "
        f"over {RECOVERY_S:.0f} s after the final fault"
    )
    system.record.add("figures", served=figures, own_ends=ends)
    if shares[0] < MIN_SHARE:
        raise RuntimeError(f"too few jobs were served: {figures}")
    return figures if shares[1] < MIN_SHARE else ""


class Balancer:
    """The platform's choice of a node for each new channel of a client.

    All nodes are in the zone of the clients. A client's channels go to the
    node that a hash of the client selects among those in rotation.

    Args:
        system: The deployment.

    Attributes:
        misses: Consecutive misses of each node's readiness check.
    """

    def __init__(self, system: Deployment):
        self.system = system
        self.misses = {machine.name: 0 for machine in system.entries}
        threading.Thread(target=self._check, daemon=True).start()

    def is_in_rotation(self, machine: Machine) -> bool:
        """Returns True if a node receives new channels."""
        return self.misses[machine.name] < MAX_MISSES

    def choose(self, client: str) -> Machine:
        """Returns the node for a new channel of a client."""
        nodes = self.system.entries
        rotation = [node for node in nodes if self.is_in_rotation(node)]
        if 2 * len(rotation) < len(nodes):
            rotation = nodes
        return rotation[zlib.crc32(client.encode()) % len(rotation)]

    def _check(self) -> None:
        while True:
            for machine in self.system.entries:
                is_ready = self.system.is_ready(machine)
                old = self.is_in_rotation(machine)
                self.misses[machine.name] = (
                    0 if is_ready else self.misses[machine.name] + 1
                )
                if self.is_in_rotation(machine) != old:
                    self.system.record.add(
                        "rotation", machine=machine.name, used=not old
                    )
            time.sleep(CHECK_S)


def await_true(condition: Callable[[], bool], limit_s: float) -> None:
    """Waits for a condition.

    Raises:
        TimeoutError: If it does not hold in time; the case couldn't run.
    """
    end_s = time.monotonic() + limit_s
    while not condition():
        if time.monotonic() > end_s:
            raise TimeoutError("a step of the case took too long")
        time.sleep(0.05)


class Traffic:
    """Clients that submit jobs at a steady rate to entries in turn.

    Args:
        system: The deployment.
        job: Body of each job.
        per_s: Jobs per second.
        entries: The entries; all of the deployment if not given.
    """

    def __init__(
        self,
        system: Deployment,
        job: dict[str, Any],
        per_s: float,
        entries: list[Machine] | None = None,
    ):
        self.system, self.job, self.per_s = system, job, per_s
        self.entries = entries or system.entries
        self.stopping = threading.Event()
        self.threads: list[threading.Thread] = []
        self.sent = 0
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def stop(self) -> None:
        """Stops to submit jobs, and waits for the answers."""
        self.stopping.set()
        self.thread.join()
        for thread in self.threads:
            thread.join(10.0)

    def _run(self) -> None:
        while not self.stopping.is_set():
            entry = self.entries[self.sent % len(self.entries)]
            self.sent += 1
            thread = threading.Thread(
                target=submit_job,
                args=(
                    self.system.record,
                    self.system.client_address(entry),
                    f"{self.sent:016x}",
                    self.job,
                    3.0,
                ),
                daemon=True,
            )
            thread.start()
            self.threads.append(thread)
            self.stopping.wait(1 / self.per_s)


def main(case: Callable[[Deployment], str], **deployment: Any) -> None:
    """Runs a case, writes `record.txt` and exits with the verdict.

    Args:
        case: Plays the case; returns what broke the rule, or an empty text.
        **deployment: Arguments of the deployment.
    """
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    # Ends the processes of the deployment also if the case is stopped, or
    # takes too long.
    for number in (signal.SIGTERM, signal.SIGALRM):
        signal.signal(number, lambda *_: sys.exit(EXIT_NOT_RUN))
    signal.alarm(MAX_CASE_S)
    record = Record()
    try:
        with Deployment(record, **deployment) as system:
            time.sleep(4.0)  # Links to all sidecars are up.
            finding = case(system)
        status = EXIT_BROKEN if finding else EXIT_HELD
    except Exception:
        finding, status = traceback.format_exc(), EXIT_NOT_RUN
    verdict = {EXIT_HELD: "held", EXIT_BROKEN: "broken"}.get(status, "not run")
    record.add("verdict", rule=verdict, trouble=HAS_TROUBLE, why=finding)
    record.write(os.path.join(folder, "record.txt"))
    print(f"{verdict}: {finding or 'nothing found'}")
    sys.exit(status)
