"""An answer is lost, the client sends again, and a late duplicate comes.

With `HOW=resend` no duplicate comes; with `HOW=duplicate` the answer arrives,
so that the client doesn't send again.
"""

import os
import select
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, f"{os.path.dirname(HERE)}/standins_2")

import system as s  # noqa: E402

JOB = "6a00000000000001"
TASK_MS = 3000
DEADLINE_MS = 9000
# After the first 2xx response.
DUPLICATE_S = 2.5
HOW = os.environ.get("HOW", "both") if s.is_trouble() else "none"


def case(system):
    """Runs the case; returns the status."""
    # Too large for two runs at one runner.
    body = s.make_job(f"run_ms={TASK_MS}", cpu=10000, est_ms=TASK_MS)
    client = s.Client(system.frontend(0))
    client.send("POST", JOB, body, DEADLINE_MS)
    system.note(f"client: POST of job {JOB} to entry 0")
    select.select([client.socket], [], [], DEADLINE_MS / 1000)
    answered_s = time.monotonic()
    system.note("entry 0 has sent its response")
    waiting = []
    if HOW in ("both", "resend"):
        client.reset()
        system.note("client: the channel is reset, the response is lost")
        time.sleep(s.RESEND_S)
        client = s.Client(system.frontend(1))
        client.send("POST", JOB, body, DEADLINE_MS)
        system.note(f"client: the same POST of job {JOB} to entry 1")
    waiting.append(("client", client))
    if HOW in ("both", "duplicate"):
        time.sleep(max(0.0, answered_s + DUPLICATE_S - time.monotonic()))
        duplicate = s.Client(system.frontend(2))
        duplicate.send("POST", JOB, body, DEADLINE_MS)
        system.note(f"network: a duplicate of the POST of {JOB} at entry 2")
        waiting.append(("duplicate", duplicate))
    for name, channel in waiting:
        system.note(f"{name}: answer {channel.read()}")
        channel.close()
    time.sleep(0.3)
    system.note_runs(JOB)
    found = s.overlaps(system.run_events())
    for first, second, both_s in found:
        system.note(f"TWICE: {first} and {second} for {both_s:.3f} s")
    return s.BROKEN if found else s.HELD


if __name__ == "__main__":
    sys.exit(s.run_case(HERE, case, edges=3))
