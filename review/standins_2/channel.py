"""A proxy between a sidecar and its runner that delays one call.

It holds up the first start of a named job, once: the call gets no response,
and reaches whatever listens at the runner's address `LATE_S` later. All other
calls pass at once.
"""

import argparse
import http.client
import json
import os
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

LATE_S = 4.0
TIMEOUT_S = 10.0


class Channel:
    """Forwards calls.

    Args:
        target: Address of the runner.
        job: The job of which the first start is held up.
        log_file: File for what was held up and delivered.
    """

    def __init__(self, target, job, log_file):
        self.target = target
        self.job = job
        self.log_file = log_file

    def record(self, event, body, **more):
        """Appends a line to the log file."""
        line = {"s": time.monotonic(), "event": event, "target": self.target}
        text = json.dumps(line | {"call": body.decode()} | more)
        with open(self.log_file, "a", encoding="utf-8") as stream:
            stream.write(text + "\n")

    def is_held_up(self, path, body):
        """Returns True for the first start of the job, at any runner."""
        if path != "/run-start":
            return False
        if not json.loads(body)["task"].startswith(self.job):
            return False
        try:
            os.close(os.open(self.log_file + ".once", os.O_CREAT | os.O_EXCL))
        except FileExistsError:
            return False
        return True

    def deliver_late(self, path, body, headers):
        """Delivers a call after `LATE_S`; nobody waits for its response."""
        self.record("held up", body)
        time.sleep(LATE_S)
        connection = http.client.HTTPConnection(self.target, timeout=TIMEOUT_S)
        connection.request("POST", path, body, headers)
        response = connection.getresponse()
        answer = response.read().decode()
        self.record("delivered", body, status=response.status, answer=answer)


def make_handler(channel):
    """Returns the request handler class of a channel."""

    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"
        disable_nagle_algorithm = True
        connection_out = None

        def do_POST(self):
            size = int(self.headers.get("Content-Length", 0))
            body = self.rfile.read(size)
            expected = self.headers.get("X-Expect-Instance")
            headers = {"X-Expect-Instance": expected} if expected else {}
            if channel.is_held_up(self.path, body):
                threading.Thread(
                    target=channel.deliver_late,
                    args=(self.path, body, headers),
                ).start()
                # Until the sidecar gives up.
                self.rfile.read(1)
                self.close_connection = True
                return
            try:
                status, data = self.forward(body, headers)
            except (OSError, http.client.HTTPException):
                self.close_connection = True
                return
            head = f"HTTP/1.1 {status} x\r\nContent-Length: {len(data)}\r\n"
            head += "Content-Type: application/json\r\n\r\n"
            self.wfile.write(head.encode() + data)

        def forward(self, body, headers):
            """Forwards a call; returns status and body of the response."""
            out = self.connection_out
            if out is None:
                out = http.client.HTTPConnection(
                    channel.target, timeout=TIMEOUT_S
                )
                self.connection_out = out
            out.request("POST", self.path, body, headers)
            response = out.getresponse()
            return response.status, response.read()

        def log_message(self, *_args):
            pass

    return Handler


def main():
    """Runs the channel until it is killed."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--listen", required=True)
    parser.add_argument("--target", required=True)
    parser.add_argument("--job", required=True)
    parser.add_argument("--log", required=True)
    args = parser.parse_args()
    channel = Channel(args.target, args.job, args.log)
    host, _, port = args.listen.rpartition(":")
    ThreadingHTTPServer.request_queue_size = 128
    server = ThreadingHTTPServer((host, int(port)), make_handler(channel))
    server.daemon_threads = True
    server.serve_forever()


if __name__ == "__main__":
    main()
