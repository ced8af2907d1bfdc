"""Stand-in for a runner: starts, stops and leases runs, and sends heartbeats.

It follows the users' pages: a lease of at most `HOLD_MAX_S` that is common to
all runs, refusals with a reason, ends that are listed until acknowledged. Each
start and end is appended to a file as one JSON line with the system's steady
clock, so that a script can see afterwards what ran when.

The text of a job names how long its tasks run: `run_ms=1500`.
"""

import argparse
import json
import re
import threading
import time
import urllib.request
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

HOLD_MAX_S = 1.0
STOP_S = 0.02
HEARTBEAT_S = 1.5
TICK_S = 0.005


class Runner:
    """State of the runner; all methods are thread-safe.

    Args:
        name: Its id.
        log_file: File for starts and ends.
        cpu: Its capacity in thousandths of a core.
        uptime_s: What its steady clock shows at first.
    """

    def __init__(self, name, log_file, cpu, uptime_s):
        self.name = name
        self.log_file = log_file
        self.cpu = cpu
        self.born = int(time.time() * 1000)
        self.start_s = time.monotonic() - uptime_s
        self.changed = threading.Condition()
        self.active = {}
        self.highest = {}
        self.finished = []
        self.sequence = 0
        self.lease_end_s = 0.0
        threading.Thread(target=self.tick, daemon=True).start()

    def clock_s(self):
        """Returns the runner's steady clock."""
        return time.monotonic() - self.start_s

    def record(self, event, task, run, **more):
        """Appends a line to the log file."""
        line = {"s": time.monotonic(), "event": event, "runner": self.name}
        text = json.dumps(line | {"task": task, "run": run} | more)
        with open(self.log_file, "a", encoding="utf-8") as stream:
            stream.write(text + "\n")

    def tick(self):
        """Ends the runs that are done, stopped or whose lease has expired."""
        while True:
            time.sleep(TICK_S)
            now_s = self.clock_s()
            with self.changed:
                for key, run in list(self.active.items()):
                    if run["stopped_s"] is not None:
                        if now_s >= run["stopped_s"] + STOP_S:
                            self.end(key, "stopped")
                    elif now_s >= run["done_s"]:
                        self.end(key, "done")
                    elif now_s > self.lease_end_s:
                        self.end(key, "lapsed")

    def end(self, key, how):
        """Ends a run; the lock is held."""
        task, run_id = key
        del self.active[key]
        self.highest[task] = max(self.highest.get(task, 0), run_id)
        self.sequence += 1
        self.finished.append([self.sequence, task, run_id, how, ""])
        self.record("end", task, run_id, how=how)
        self.changed.notify_all()

    def extend(self, until_ms):
        """Extends the lease, at most to the longest one."""
        if until_ms is not None:
            latest_s = self.clock_s() + HOLD_MAX_S
            until_s = min(until_ms / 1000, latest_s)
            self.lease_end_s = max(self.lease_end_s, until_s)

    def answer(self, **more):
        """Returns a body with the clock."""
        return {"clock_ms": int(self.clock_s() * 1000)} | more

    def start(self, body):
        """Handles POST /run-start."""
        task, run_id = body["task"], body["run_id"]
        with self.changed:
            self.extend(body["until_ms"])
            if (task, run_id) in self.active:
                return 200, self.answer()
            others = [run for name, run in self.active if name == task]
            if run_id <= max([self.highest.get(task, 0), *others]):
                return 409, self.answer(reason="old")
            now_s = self.clock_s()
            if body["until_ms"] / 1000 < now_s:
                return 409, self.answer(reason="late")
            found = re.search(r"run_ms=(\d+)", body["spec"])
            run_s = int(found.group(1)) / 1000 if found else 0.1
            self.active[task, run_id] = {
                "started_s": now_s,
                "done_s": now_s + run_s,
                "stopped_s": None,
            }
            self.record("start", task, run_id, spec=body["spec"])
            return 200, self.answer()

    def stop(self, body):
        """Handles POST /run-stop."""
        task, run_id = body["task"], body["run_id"]
        with self.changed:
            self.highest[task] = max(self.highest.get(task, 0), run_id)
            for key, run in self.active.items():
                is_named = key[0] == task and key[1] <= run_id
                if is_named and run["stopped_s"] is None:
                    run["stopped_s"] = self.clock_s()
            return 200, self.answer()

    def hold(self, body):
        """Handles POST /hold; waits for an end if it is asked to."""
        until_s = time.monotonic() + body.get("wait_ms", 0) / 1000
        with self.changed:
            self.extend(body.get("until_ms"))
            acknowledged = body["ack_seq"]
            self.finished = [e for e in self.finished if e[0] > acknowledged]
            while not self.finished:
                left_s = until_s - time.monotonic()
                if left_s <= 0:
                    break
                self.changed.wait(left_s)
            now_s = self.clock_s()
            active = [
                [task, run_id, "", percent(run, now_s), 1600]
                for (task, run_id), run in self.active.items()
            ]
            ends = self.finished[:500]
            return 200, self.answer(
                active=active, finished=ends, born=self.born
            )


def percent(run, now_s):
    """Returns the part of a run's work that is done, in per cent."""
    whole_s = max(run["done_s"] - run["started_s"], 1e-3)
    return min(99, int(100 * (now_s - run["started_s"]) / whole_s))


def make_handler(runner):
    """Returns the request handler class of a runner."""
    calls = {
        "/run-start": runner.start,
        "/run-stop": runner.stop,
        "/hold": runner.hold,
    }

    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"
        disable_nagle_algorithm = True

        def do_POST(self):
            size = int(self.headers.get("Content-Length", 0))
            asked = json.loads(self.rfile.read(size))
            expected = self.headers.get("X-Expect-Instance")
            if expected not in (None, runner.name, str(runner.born)):
                status, body = 421, {}
            else:
                status, body = calls[self.path](asked)
            data = json.dumps(body).encode()
            head = f"HTTP/1.1 {status} x\r\nContent-Length: {len(data)}\r\n"
            head += "Content-Type: application/json\r\n\r\n"
            self.wfile.write(head.encode() + data)

        def log_message(self, *_args):
            pass

    return Handler


def send_heartbeats(runner, args, app):
    """Sends heartbeats to the sidecar until the process ends."""
    sequence = 0
    url = f"http://{args.control_plane}/instances/{runner.name}/heartbeat"
    while True:
        sequence += 1
        beat = {
            "service": args.service,
            "address": app,
            "zone": args.zone,
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_left_ms": 0,
            "capacity": {"cpu": runner.cpu, "mem_mb": 65536, "gpu": 0},
            "labels": ["a", "r1-1"],
            "born": runner.born,
            "sequence": sequence,
            **runner.answer(),
        }
        request = urllib.request.Request(
            url,
            json.dumps(beat).encode(),
            {"Content-Type": "application/json"},
        )
        try:
            urllib.request.urlopen(request, timeout=1).read()
            time.sleep(HEARTBEAT_S)
        except OSError:
            time.sleep(0.3)


def main():
    """Runs the runner until it is killed."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--name", required=True)
    parser.add_argument("--app", required=True)
    parser.add_argument("--control-plane", required=True)
    parser.add_argument("--service", required=True)
    parser.add_argument("--zone", required=True)
    parser.add_argument("--cpu", type=int, required=True)
    parser.add_argument("--uptime", type=float, default=0.0)
    parser.add_argument("--log", required=True)
    args = parser.parse_args()
    runner = Runner(args.name, args.log, args.cpu, args.uptime)
    host, _, port = args.app.rpartition(":")
    ThreadingHTTPServer.request_queue_size = 128
    server = ThreadingHTTPServer((host, int(port)), make_handler(runner))
    server.daemon_threads = True
    threading.Thread(
        target=send_heartbeats, args=(runner, args, args.app), daemon=True
    ).start()
    server.serve_forever()


if __name__ == "__main__":
    main()
