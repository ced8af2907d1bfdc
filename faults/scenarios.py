"""Faults that are injected under load, and the scenarios made of them."""

import itertools
import random
import signal
import sys
import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

import msgspec

from faults.callers import Callers
from faults.relay import Relay
from faults.system import ZONES, Program, System
from faults.verdicts import (
    Evacuation,
    Hindrance,
    Verdict,
    evaluate,
    read_log,
    read_starts,
)
from sardinestair.cli.client import ApiClient

__all__ = [
    "FAULTS",
    "FaultContext",
    "have_all_slots",
    "have_evacuations_ended",
    "have_settings_converged",
    "draw_pairs",
    "run_scenario",
    "edit_deadline",
]

UPSTREAMS = 6
WAVE_JOBS = 3000
WAVE_THREADS = 16
SETTLE_S = 1.0
RECOVERY_S = 1.5
FAULT_START_INTERVAL_S = 0.1
PAUSE_S = 4.0
LONG_PAUSE_S = 12.0
MAX_LEAVE_S = 3.0
SETTINGS_TIMEOUT_S = 5.0
# Within which all upstreams are used again, from the users' specification.
RECOVERY_TIMEOUT_S = 15.0
POLL_INTERVAL_S = 0.1


_RESERVATION_LOCK = threading.Lock()


class FaultContext(msgspec.Struct):
    """What the faults of a scenario share.

    Attributes:
        system: The system under test.
        relays: Relays in front of sidecars, by index of the sidecar.
        verdict: Counts the violations that a fault observes itself.
        rng: Seeded source of the targets of faults.
        reserved: Entries and hosts that a fault acts on. No other fault may
            act on them meanwhile, for instance restart one that was killed.
        evacuations: Evacuations that have ended.
        hindrances: When programs could not do their part.
        crowds: Callers that came beside the usual ones.
    """

    system: System
    relays: dict[int, Relay]
    verdict: Verdict
    rng: random.Random
    reserved: set[str] = msgspec.field(default_factory=set)
    evacuations: list[Evacuation] = []
    hindrances: list[Hindrance] = []
    crowds: list[Callers] = []

    def reserve(self, kind: str, count: int) -> list[int]:
        """Reserves random entries, zones, or hosts of a sidecar and upstream.

        Args:
            kind: `entry`, `zone` or `host`.
            count: How many; fewer are reserved if fewer are free.

        Returns:
            Their indices.
        """
        groups = {
            "entry": self.system.entries,
            "host": self.system.sidecars,
            "zone": ZONES,
        }
        with _RESERVATION_LOCK:
            free = [
                index
                for index in range(len(groups[kind]))
                if f"{kind}{index}" not in self.reserved
            ]
            indices = self.rng.sample(free, min(count, len(free)))
            self.reserved.update(f"{kind}{index}" for index in indices)
        return indices

    def release(self, kind: str, indices: list[int]) -> None:
        """Lets other faults reserve these entries or hosts again."""
        with _RESERVATION_LOCK:
            self.reserved.difference_update(
                f"{kind}{index}" for index in indices
            )

    def reserve_entries(self, count: int) -> list[Program]:
        """Reserves random entries."""
        return [self.system.entries[i] for i in self.reserve("entry", count)]

    def reserve_sidecars(self, count: int) -> list[Program]:
        """Reserves random hosts; returns their sidecars."""
        return [self.system.sidecars[i] for i in self.reserve("host", count)]

    def reserve_upstreams(self, count: int) -> list[Program]:
        """Reserves random hosts; returns their upstreams."""
        return [self.system.upstreams[i] for i in self.reserve("host", count)]


def no_fault(context: FaultContext) -> None:
    """Injects nothing; the scenario is load only."""
    time.sleep(3.0)


def kill_sidecar(context: FaultContext) -> None:
    """Kills and restarts two sidecars."""
    for sidecar in context.reserve_sidecars(2):
        sidecar.kill()
        time.sleep(RECOVERY_S)
        sidecar.start()
        time.sleep(RECOVERY_S)


def kill_entry(context: FaultContext) -> None:
    """Kills and restarts two entries."""
    for entry in context.reserve_entries(2):
        entry.kill()
        time.sleep(RECOVERY_S)
        entry.start()
        time.sleep(RECOVERY_S)


def kill_upstream(context: FaultContext) -> None:
    """Kills and restarts two upstreams."""
    for upstream in context.reserve_upstreams(2):
        upstream.kill()
        time.sleep(RECOVERY_S)
        upstream.start()
        time.sleep(RECOVERY_S)


def pause_sidecar(context: FaultContext) -> None:
    """Pauses a sidecar for longer than its links wait, then resumes it."""
    _pause(context.reserve_sidecars(1)[0], PAUSE_S)


def pause_entry(context: FaultContext) -> None:
    """Pauses an entry until its lease has expired, then resumes it."""
    _pause(context.reserve_entries(1)[0], LONG_PAUSE_S)


def pause_upstream(context: FaultContext) -> None:
    """Pauses an upstream until its announcement expires, then resumes it."""
    _pause(context.reserve_upstreams(1)[0], PAUSE_S)


def silence_connections(context: FaultContext) -> None:
    """Silences all open connections through the relays, twice."""
    for _ in range(2):
        for relay in context.relays.values():
            relay.silence()
        time.sleep(PAUSE_S)


def make_store_unavailable(context: FaultContext) -> None:
    """Makes the store unavailable for some seconds."""
    context.system.set_store_faults(down=True)
    time.sleep(PAUSE_S)
    context.system.set_store_faults()
    time.sleep(RECOVERY_S)


def delay_store(context: FaultContext) -> None:
    """Delays the store by more than its clients' time-out, then by less."""
    for delay_s in (1.0, 0.2):
        context.system.set_store_faults(delay_s=delay_s)
        time.sleep(PAUSE_S / 2)
    context.system.set_store_faults()
    time.sleep(RECOVERY_S)


def lose_store_answers(context: FaultContext) -> None:
    """Applies writes to the store but loses their answers."""
    for _ in range(6):
        context.system.set_store_faults(lose_answers=3)
        time.sleep(0.8)
    context.system.set_store_faults()
    time.sleep(RECOVERY_S)


def race_settings_edits(context: FaultContext) -> None:
    """Changes the same setting through two entries concurrently."""
    monitor = RevisionMonitor(context.system)
    monitor.start()
    for extra_s in range(12):
        editors = [
            threading.Thread(target=edit_deadline, args=(context, url, extra_s))
            for url in context.system.urls[:2]
        ]
        for editor in editors:
            editor.start()
        for editor in editors:
            editor.join()
    context.verdict.reverted += monitor.stop()
    context.verdict.reverted += not have_settings_converged(context.system)


def stop_gracefully(context: FaultContext) -> None:
    """Stops an entry and two sidecars gracefully and restarts them."""
    for program in [*context.reserve_entries(1), *context.reserve_sidecars(2)]:
        _stop_gracefully(context, program)
        program.start()
        time.sleep(RECOVERY_S)


def leave_upstream(context: FaultContext) -> None:
    """Lets an upstream leave while it still serves tasks.

    Its sidecar must start nothing there once the leave has taken effect.
    """
    (index,) = context.reserve("host", 1)
    upstream = context.system.upstreams[index]
    port = context.system.sidecar_ports[index]
    upstream.send_signal(signal.SIGSTOP)  # Stops its announcements.
    url = f"http://127.0.0.1:{port}"
    reply = ApiClient(url).call("DELETE", "/v1/upstream")
    assert reply.is_ok(), f"the sidecar refused the leave: {reply}"
    leave_time_s = time.time()
    upstream.send_signal(signal.SIGCONT)
    # The next announcement would register the upstream again, so the sidecar
    # drains and exits.
    context.system.sidecars[index].send_signal(signal.SIGTERM)
    time.sleep(MAX_LEAVE_S + 2.0)
    context.system.sidecars[index].wait()
    context.verdict.late_starts += sum(
        start.time_s > leave_time_s + MAX_LEAVE_S
        for start in read_log(f"{context.system.start_log}.{index}")
    )
    context.system.sidecars[index].start()
    time.sleep(RECOVERY_S)


def restart_all(context: FaultContext) -> None:
    """Restarts every process but the store gracefully, one after another."""
    system = context.system
    hosts = context.reserve("host", len(system.sidecars))
    programs = [system.sidecars[i] for i in hosts]
    programs += [system.upstreams[i] for i in hosts]
    programs += context.reserve_entries(len(system.entries))
    for program in programs:
        _stop_gracefully(context, program)
        program.start()
        time.sleep(0.7)
    time.sleep(RECOVERY_S)


def restart_entry_while_store_down(context: FaultContext) -> None:
    """Restarts an entry while the store is down.

    The entry must load its settings from its peers.
    """
    system = context.system
    (index,) = context.reserve("entry", 1)
    system.set_store_faults(down=True)
    _stop_gracefully(context, system.entries[index])
    system.entries[index].start()
    system.wait_for_http(system.urls[index], "/readyz")
    context.verdict.reverted += not have_settings_converged(system)
    system.set_store_faults()
    time.sleep(RECOVERY_S)


def cancel_many_jobs(context: FaultContext) -> None:
    """Submits thousands of jobs and cancels them, beside the callers' load."""
    system = context.system
    tasks = [{"payload": {"run_s": 0.02}}] * 3
    body = {"service": system.service, "team": "waves", "tasks": tasks}

    def submit(number: int) -> tuple[str, str]:
        url = system.urls[number % len(system.urls)]
        accepted = ApiClient(url, 30.0).call(
            "POST", "/v1/jobs", body, ("Prefer: respond-async",)
        )
        return url, accepted.ok["id"] if accepted.is_ok() else ""

    def cancel(job: tuple[str, str]) -> bool:
        url, job_id = job
        path = f"/v1/jobs/{job_id}"
        return ApiClient(url, 30.0).call("DELETE", path).is_ok()

    with ThreadPoolExecutor(WAVE_THREADS) as pool:
        jobs = [j for j in pool.map(submit, range(WAVE_JOBS)) if j[1]]
        cancelled = sum(pool.map(cancel, jobs))
    print(f"{cancelled} of {len(jobs)} jobs cancelled", file=sys.stderr)


FAULTS: dict[str, Callable[[FaultContext], None]] = {
    "none": no_fault,
    "kill sidecar": kill_sidecar,
    "kill entry": kill_entry,
    "kill upstream": kill_upstream,
    "pause sidecar": pause_sidecar,
    "pause entry past its lease": pause_entry,
    "pause upstream": pause_upstream,
    "silent connections": silence_connections,
    "store down": make_store_unavailable,
    "store slow": delay_store,
    "store answers lost": lose_store_answers,
    "operators race": race_settings_edits,
    "graceful stop": stop_gracefully,
    "upstream leaves": leave_upstream,
    "rolling replacement": restart_all,
    "entry joins, store down": restart_entry_while_store_down,
    "cancellation wave": cancel_many_jobs,
}
# Faults that must not break off or fail any request.
GRACEFUL_FAULTS = {"none", "operators race", "graceful stop", "upstream leaves",
            "rolling replacement", "store slow", "store down",
            "store answers lost", "entry joins, store down",
            "cancellation wave"}  # fmt: skip


def run_scenario(names: tuple[str, ...], seed: int) -> Verdict:
    """Runs faults concurrently under load and checks the guarantees.

    Args:
        names: Names of the faults, as in `FAULTS`.
        seed: Seed of the targets and the load.

    Returns:
        Counts of tasks and violations.
    """
    relays: dict[int, Relay] = {}
    system = System(upstreams=UPSTREAMS, seed=seed)
    if "silent connections" in names:
        relays = {i: Relay(p) for i, p in enumerate(system.link_ports)}
        for index, relay in relays.items():
            system.set_advertised_endpoint(index, relay.endpoint)
    context = FaultContext(system, relays, Verdict(), random.Random(seed))
    try:
        system.start()
        callers = Callers(system, seed=seed)
        callers.start()
        time.sleep(SETTLE_S)
        _run_concurrently([FAULTS[name] for name in names], context)
        time.sleep(SETTLE_S)
        records = callers.stop()
    finally:
        system.stop()
        for relay in relays.values():
            relay.close()
    verdict = evaluate(records, read_starts(system.start_log))
    if GRACEFUL_FAULTS.issuperset(names):
        verdict.cut_off += sum(record.broken_off for record in records)
        verdict.cut_off += verdict.failed
    verdict.cut_off += context.verdict.cut_off
    verdict.late_starts += context.verdict.late_starts
    verdict.reverted += context.verdict.reverted
    return verdict


class RevisionMonitor:
    """Polls the settings revision of each entry and counts rollbacks.

    Args:
        system: The system under test.
    """

    def __init__(self, system: System):
        self.system = system
        self.stopping = threading.Event()
        self.rollbacks = 0
        self.threads = [
            threading.Thread(target=self._poll, args=(url,))
            for url in system.urls
        ]

    def start(self) -> None:
        """Starts polling all entries."""
        for thread in self.threads:
            thread.start()

    def stop(self) -> int:
        """Stops polling; returns how often a revision was rolled back."""
        self.stopping.set()
        for thread in self.threads:
            thread.join()
        return self.rollbacks

    def _poll(self, url: str) -> None:
        client = ApiClient(url, 2.0)
        last_revision = 0
        while not self.stopping.wait(POLL_INTERVAL_S):
            reply = client.call("GET", "/admin/v1/settings")
            if reply.is_ok():
                self.rollbacks += reply.ok["revision"] < last_revision
                last_revision = reply.ok["revision"]


def _pause(program, seconds: float) -> None:
    program.send_signal(signal.SIGSTOP)
    time.sleep(seconds)
    program.send_signal(signal.SIGCONT)
    time.sleep(RECOVERY_S)


def _stop_gracefully(context: FaultContext, program: Program) -> None:
    status = program.stop()
    if status != 0:
        print(f"{program.name} exited with status {status}", file=sys.stderr)
        context.verdict.cut_off += 1


def edit_deadline(context: FaultContext, url: str, extra_s: int) -> None:
    """Changes the deadline of a service through an entry."""
    body = {
        "path": "root/quotes",
        "set": {"deadline_s": 20 + extra_s},
        "author": url,
    }
    ApiClient(url, 8.0).call("PATCH", "/admin/v1/settings", body)


def have_settings_converged(system: System) -> bool:
    """True if all entries show the same revision within the time-out."""
    return _holds_in_time(
        system,
        "/admin/v1/settings",
        lambda shown: len({document["revision"] for document in shown}) == 1,
    )


def have_evacuations_ended(system: System) -> bool:
    """True if no entry shows an evacuated zone within the time-out."""
    return _holds_in_time(
        system, "/admin/v1/evacuations", lambda shown: not any(shown)
    )


def have_all_slots(system: System) -> bool:
    """True if all entries show the slots of all upstreams in time."""
    slots = system.slots * len(system.upstreams)
    return _holds_in_time(
        system,
        "/admin/v1/status",
        lambda shown: all(
            sum(row["slots"] for row in status["services"]) >= slots
            for status in shown
        ),
        RECOVERY_TIMEOUT_S,
    )


def _holds_in_time(
    system: System,
    path: str,
    condition: Callable[[list], bool],
    timeout_s: float = SETTINGS_TIMEOUT_S,
) -> bool:
    """True if a condition on the answers of all entries holds in time."""
    deadline_s = time.monotonic() + timeout_s
    while time.monotonic() < deadline_s:
        replies = [ApiClient(url, 2.0).call("GET", path) for url in system.urls]
        if all(reply.is_ok() for reply in replies) and condition(
            [reply.ok for reply in replies]
        ):
            return True
        time.sleep(POLL_INTERVAL_S)
    return False


def _run_concurrently(
    faults: list[Callable[[FaultContext], None]], context: FaultContext
) -> None:
    # restart_all reserves all that is free, so it is started last.
    ordered = sorted(faults, key=lambda fault: fault is restart_all)
    threads = [threading.Thread(target=f, args=(context,)) for f in ordered]
    for thread in threads:
        thread.start()
        time.sleep(FAULT_START_INTERVAL_S)
    for thread in threads:
        thread.join()


def draw_pairs(seed: int, count: int) -> list[tuple[str, str]]:
    """Draws pairs of faults for combined scenarios.

    Args:
        seed: Seed of the draw.
        count: Number of pairs.
    """
    names = [name for name in FAULTS if name != "none"]
    drawn = random.Random(seed).sample(
        list(itertools.combinations(names, 2)), count
    )
    return sorted(drawn)
