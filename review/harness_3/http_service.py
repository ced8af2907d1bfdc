"""A small HTTP/1.1 server for JSON stand-ins on loopback."""

import json
import threading
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any
from urllib.parse import parse_qsl, urlsplit

METHODS = ("GET", "POST", "DELETE")

Reply = tuple[int, dict[str, Any]] | None
Handler = Callable[[str, str, dict[str, str], dict[str, Any], Any], Reply]


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256


def serve(host: str, port: int, handle: Handler) -> ThreadingHTTPServer:
    """Serves requests in threads until the process ends.

    Args:
        host: Loopback address to listen on.
        port: Port to listen on.
        handle: Called with method, path, query, body and headers; returns
            status and body, or None to close the connection without a reply.
    """

    class RequestHandler(BaseHTTPRequestHandler):
        """Passes each request to `handle`."""

        protocol_version = "HTTP/1.1"
        disable_nagle_algorithm = True

        def do_request(self) -> None:
            """Reads one request and writes its reply."""
            url = urlsplit(self.path)
            size = int(self.headers.get("Content-Length") or 0)
            data = self.rfile.read(size)
            body = json.loads(data) if data else {}
            query = dict(parse_qsl(url.query, keep_blank_values=True))
            reply = handle(self.command, url.path, query, body, self.headers)
            if reply is None:
                self.close_connection = True
                return
            text = json.dumps(reply[1]).encode()
            head = (
                f"HTTP/1.1 {reply[0]} Status\r\n"
                "Content-Type: application/json\r\n"
                f"Content-Length: {len(text)}\r\n\r\n"
            )
            self.wfile.write(head.encode() + text)

        def log_message(self, format: str, *args: Any) -> None:
            """Writes no access log."""

        def handle(self) -> None:
            """Handles a connection whose peer may be killed at any time."""
            try:
                super().handle()
            except OSError:
                self.close_connection = True

    for method in METHODS:
        setattr(RequestHandler, f"do_{method}", RequestHandler.do_request)
    server = _Server((host, port), RequestHandler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server
