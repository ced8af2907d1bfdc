"""Faults of random length, which the soak injects at random times."""

import random
import signal
import time
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager
from typing import Any

from faults.callers import Callers
from faults.relay import Direction
from faults.scenarios import FaultContext, edit_deadline
from faults.system import READY_TIMEOUT_S, ZONES, Program
from faults.verdicts import Evacuation, Hindrance
from sardinestair.cli.client import ApiClient

__all__ = ["KINDS_OF_JOB", "RANDOM_FAULTS", "SOAK_SETTINGS", "NOTICE_S"]

# Notice of an upstream that leaves, in seconds; its tasks may take longer.
NOTICE_S = 0.2
REQUEST_TIMEOUT_S = 5.0
REQUEST_INTERVAL_S = 0.1
# Callers for each upstream that come at once; together with the usual ones they
# need more than there is room for.
CROWD_PER_UPSTREAM = 8

KINDS_OF_JOB = ("urgent", "usual", "batch")
SOAK_SETTINGS = """
set:
  deadline_s: 20
  order: urgent_first
  useful_factor: 3
  move_before_departure: true
  cold_share: 0.5
services:
  quotes:
    zones:
      "*":
        kinds:
          urgent: {set: {priority: 0, objective_s: 0.5}}
          usual: {set: {priority: 1, objective_s: 1.0}}
          batch: {set: {priority: 2, objective_s: 3.0}}
"""


def _act_on_program(
    context: FaultContext, rng: random.Random, act: Callable[[Program], None]
) -> None:
    """Acts on a random program that no other fault acts on, if there is one."""
    system = context.system
    groups = [
        ("entry", system.entries),
        ("host", system.sidecars),
        ("host", system.upstreams),
    ]
    kind, group = rng.choice(groups)
    indices = context.reserve(kind, 1)
    for index in indices:
        act(group[index])
    context.release(kind, indices)


@contextmanager
def _hinder(context: FaultContext, program: Program) -> Iterator[None]:
    """Records that a program can't do its part meanwhile."""
    begun_s = time.time()
    yield
    context.hindrances.append(Hindrance(program.name, begun_s, time.time()))


def kill_program(context: FaultContext, rng: random.Random) -> None:
    """Kills a program and restarts it after a delay."""

    def act(program: Program) -> None:
        program.kill()
        time.sleep(rng.uniform(0.0, 1.5))
        program.start()

    _act_on_program(context, rng, act)


def pause_program(context: FaultContext, rng: random.Random) -> None:
    """Pauses a program, then resumes it."""

    def act(program: Program) -> None:
        with _hinder(context, program):
            program.send_signal(signal.SIGSTOP)
            time.sleep(rng.uniform(0.05, 4.0))
            program.send_signal(signal.SIGCONT)

    _act_on_program(context, rng, act)


def stop_program(context: FaultContext, rng: random.Random) -> None:
    """Stops a program gracefully and restarts it."""

    def act(program: Program) -> None:
        program.stop()
        program.start()

    _act_on_program(context, rng, act)


def disturb_link(context: FaultContext, rng: random.Random) -> None:
    """Delays, resets, silences or blocks the connections of a sidecar."""
    relay = rng.choice(list(context.relays.values()))
    fault = rng.choice(["delay", "reset", "silence", "block"])
    if fault == "delay":
        relay.delay_s = rng.uniform(0.01, 0.3)
    elif fault == "reset":
        relay.reset()
    elif fault == "silence":
        relay.silence()
    else:
        relay.block(rng.choice(list(Direction)))
    time.sleep(rng.uniform(0.1, 3.0))
    relay.delay_s = 0.0
    relay.heal()


def disturb_store(context: FaultContext, rng: random.Random) -> None:
    """Makes the store unavailable or slow, or loses its answers."""
    faults: dict[str, Any] = rng.choice(
        [{"down": True}, {"delay_s": rng.uniform(0.05, 1.0)},
         {"lose_answers": rng.randint(1, 5)}]
    )  # fmt: skip
    with _hinder(context, context.system.store):
        context.system.set_store_faults(**faults)
        time.sleep(rng.uniform(0.2, 3.0))
        context.system.set_store_faults()


def change_settings(context: FaultContext, rng: random.Random) -> None:
    """Changes the same setting through two entries concurrently."""
    extra_s = rng.randint(0, 99)
    urls = rng.sample(context.system.urls, 2)
    with ThreadPoolExecutor(2) as editors:
        for url in urls:
            editors.submit(edit_deadline, context, url, extra_s)


def evacuate_zone(context: FaultContext, rng: random.Random) -> None:
    """Evacuates a zone, and ends that.

    One entry is left alone meanwhile, so that sidecars can be informed.
    """
    zones = context.reserve("zone", 1)
    entries = context.reserve("entry", 1)
    if zones and entries:
        zone = ZONES[zones[0]]
        client = ApiClient(context.system.urls[entries[0]], REQUEST_TIMEOUT_S)
        path = f"/admin/v1/evacuations/{zone}"
        _request_until_done(client, "PUT", path)
        begun_s = time.time()
        time.sleep(rng.uniform(0.5, 10.0))
        context.evacuations.append(Evacuation(zone, begun_s, time.time()))
        _request_until_done(client, "DELETE", path)
    context.release("entry", entries)
    context.release("zone", zones)


def _request_until_done(client: ApiClient, method: str, path: str) -> None:
    """Repeats a request; the store or the entry may be unavailable."""
    deadline_s = time.monotonic() + READY_TIMEOUT_S
    while (done := client.call(method, path)).is_error():
        assert time.monotonic() < deadline_s, f"{method} {path}: {done.error}"
        time.sleep(REQUEST_INTERVAL_S)


def leave_at_short_notice(context: FaultContext, rng: random.Random) -> None:
    """Ends an upstream after its notice, whatever runs there."""
    indices = context.reserve("host", 1)
    for index in indices:
        upstream = context.system.upstreams[index]
        upstream.send_signal(signal.SIGTERM)
        time.sleep(NOTICE_S)
        upstream.kill()
        time.sleep(rng.uniform(0.0, 1.5))
        upstream.start()
    context.release("host", indices)


def send_crowd(context: FaultContext, rng: random.Random) -> None:
    """Submits more than there is room for, in all classes."""
    count = CROWD_PER_UPSTREAM * len(context.system.upstreams)
    crowd = Callers(context.system, count, rng.randrange(1 << 32), KINDS_OF_JOB)
    context.crowds.append(crowd)
    crowd.start()
    time.sleep(rng.uniform(0.5, 3.0))
    crowd.stop()


RANDOM_FAULTS: list[Callable[[FaultContext, random.Random], None]] = [
    kill_program,
    kill_program,
    pause_program,
    stop_program,
    disturb_link,
    disturb_link,
    disturb_store,
    change_settings,
    evacuate_zone,
    evacuate_zone,
    leave_at_short_notice,
    send_crowd,
]
