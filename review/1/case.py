"""An entry is killed while it has many small tasks at the runners."""

import threading
import time

from cases import HAS_TROUBLE, judge_twice, main, submit_job
from deployment import Deployment, make_job

# Bounds of the site files, in seconds: `resend_ms`, and below `stop_ms` (50).
RESEND_S = 1.3
STOP_S = 0.04
TASK_CPU = 128
DEADLINE_S = 20.0


def submit_until_answered(system: Deployment, name: str, job: dict) -> None:
    """Submits a job, and again at the other entry if the channel breaks."""
    for entry in system.entries:
        address = system.client_address(entry)
        status, _ = submit_job(system.record, address, name, job, DEADLINE_S)
        if status:
            return
        time.sleep(RESEND_S)


def warm_up(system: Deployment) -> None:
    """Submits short jobs, from which the entries learn how tasks are."""
    clients = []
    for number in range(30):
        address = system.client_address(system.entries[number % 2])
        job = make_job(0.1, count=20, cpu=TASK_CPU)
        client = threading.Thread(
            target=submit_job,
            args=(system.record, address, f"{0xF000 + number:016x}", job),
            daemon=True,
        )
        client.start()
        clients.append(client)
        time.sleep(0.1)
    for client in clients:
        client.join(15.0)


def play(system: Deployment) -> str:
    """Plays the case; returns what broke the rule."""
    for runner in system.runners:
        runner.stop_s = STOP_S
    warm_up(system)
    clients = [
        threading.Thread(
            target=submit_until_answered,
            args=(
                system,
                f"{number:016x}",
                make_job(4.0, count=125, cpu=TASK_CPU),
            ),
            daemon=True,
        )
        for number in (1, 2)
    ]
    for client in clients:
        client.start()
    time.sleep(1.2)
    system.record.add(
        "running",
        **{runner.name: len(runner.active) for runner in system.runners},
    )
    if HAS_TROUBLE:
        system.entries[0].kill()
    for client in clients:
        client.join(DEADLINE_S)
    return judge_twice(system.record)


main(play, entries=2, sidecars=3, zones=("leinster",))
