"""HTTP server shared by the programs: WSGI server, routing and responses."""

import ctypes
import socket
import struct
import threading
import time
from collections import deque
from collections.abc import Callable, Iterable

import msgspec
from cheroot import wsgi
from cheroot.server import HTTPConnection
from cheroot.workers.threadpool import ThreadPool
from werkzeug.exceptions import HTTPException, RequestEntityTooLarge
from werkzeug.routing import Map, Rule
from werkzeug.wrappers import Request, Response

from sardinestair.launch import LISTEN_BACKLOG
from sardinestair.observability import EventLog, Metrics
from sardinestair.outcomes import Problem, ProblemKind

__all__ = [
    "HttpServer",
    "Request",
    "Response",
    "WebApp",
    "connection_of",
    "json_response",
    "monitoring_rules",
    "problem_response",
    "retry_after",
]

JSON_TYPE = "application/json"
PROBLEM_TYPE = "application/problem+json"
SOCKET_TIMEOUT_S = 10
SO_ATTACH_FILTER = 26
# One classic BPF instruction, `ret #0`: drop every packet.
BPF_RETURN_ZERO = struct.pack("HBBI", 0x06, 0, 0, 0)
# More threads are started when fewer than MIN_IDLE_THREADS are idle, until
# SPARE_THREADS are.
MIN_IDLE_THREADS = 8
SPARE_THREADS = 16
CONNECTION_KEY = "sardinestair.connection"

Handler = Callable[..., Response]


def json_response(value: object, status: int = 200) -> Response:
    """Returns a response with a JSON body.

    Args:
        value: The value to encode.
        status: The HTTP status.
    """
    return Response(msgspec.json.encode(value), status, mimetype=JSON_TYPE)


def problem_response(problem: Problem, job: str | None = None) -> Response:
    """Returns a response with a problem document.

    Args:
        problem: The problem.
        job: The text form of the job id, if there is one.
    """
    response = Response(
        msgspec.json.encode(problem.to_document(job)),
        problem.status,
        mimetype=PROBLEM_TYPE,
    )
    if problem.retry_after_s is not None:
        response.headers["Retry-After"] = retry_after(problem)
    return response


def retry_after(problem: Problem) -> str:
    """Returns the `Retry-After` value: whole seconds, at least 1."""
    return str(max(1, -int(-(problem.retry_after_s or 0.0) // 1)))


def connection_of(request: Request) -> socket.socket | None:
    """Returns the caller's socket, or None in a test without a server."""
    return request.environ.get(CONNECTION_KEY)


class WebApp:
    """A WSGI application with routes.

    Args:
        rules: Path, methods and handler of each route.
        max_body_bytes: Maximum size of a request body.
        log: The event log.

    Attributes:
        active_requests: Number of requests being handled.
        is_closing: True to send `Connection: close` with each response, so
            that callers send no further request on the connection.
    """

    def __init__(
        self,
        rules: Iterable[tuple[str, list[str], Handler]],
        max_body_bytes: int,
        log: EventLog,
    ):
        self.map = Map(
            [Rule(path, methods=m, endpoint=h) for path, m, h in rules]
        )
        self.max_body_bytes = max_body_bytes
        self.log = log
        self.active_requests = 0
        self.is_closing = False
        self.lock = threading.Lock()

    def __call__(self, environ, start_response):
        """Serves one request."""
        with self.lock:
            self.active_requests += 1
        try:
            response = self._respond(environ)
            if self.is_closing:
                response.headers["Connection"] = "close"
            return response(environ, start_response)
        finally:
            with self.lock:
                self.active_requests -= 1

    def _respond(self, environ) -> Response:
        request = Request(environ)
        request.max_content_length = self.max_body_bytes
        try:
            handler, values = self.map.bind_to_environ(environ).match()
            return handler(request, **values)
        except RequestEntityTooLarge:
            return problem_response(
                Problem(
                    ProblemKind.TOO_LARGE,
                    f"the body must be at most {self.max_body_bytes} bytes",
                    not_run=True,
                )
            )
        except HTTPException as error:
            return _http_problem(error)


def _http_problem(error: HTTPException) -> Response:
    document = {
        "type": "about:blank",
        "title": error.name,
        "status": error.code,
        "detail": error.description,
        "not_run": True,
    }
    body = msgspec.json.encode(document)
    response = Response(body, error.code, mimetype=PROBLEM_TYPE)
    for name, value in error.get_headers():
        if name == "Allow":
            response.headers[name] = value
    return response


class _Gateway(wsgi.Gateway_10):
    """Adds the connection's socket to the WSGI environment."""

    def get_environ(self):
        environ = super().get_environ()
        environ[CONNECTION_KEY] = self.req.conn.socket
        return environ


class GrowingPool(ThreadPool):
    """Thread pool that starts threads on demand, and keeps some idle.

    Args:
        server: The server.
        max_threads: Maximum number of threads.

    Attributes:
        longest_wait_s: Longest time for which a connection with a request has
            waited for a thread since this was last read, in seconds.
    """

    def __init__(self, server: wsgi.Server, max_threads: int):
        super().__init__(
            server, min=min(max_threads, SPARE_THREADS), max=max_threads
        )
        self.wakeup = threading.Event()
        # A thread started while the pool is being stopped would never end.
        self.lock = threading.Lock()
        self.is_stopping = False
        self.longest_wait_s = 0.0
        # When each connection that waits for a thread was queued.
        self.queued_s: deque[float] = deque()
        self.take_next = self.get
        self.get = self._get

    def put(self, obj) -> None:
        """Queues a connection that has a request for a thread."""
        if isinstance(obj, HTTPConnection):
            self.queued_s.append(time.monotonic())
        super().put(obj)
        if self.idle - self.qsize < MIN_IDLE_THREADS:
            self.wakeup.set()

    def _get(self):
        """Returns the next connection, or the library's request to stop."""
        connection = self.take_next()
        if isinstance(connection, HTTPConnection):
            self._record_wait(self.queued_s.popleft())
        return connection

    def _record_wait(self, queued_s: float) -> None:
        waited_s = time.monotonic() - queued_s
        self.longest_wait_s = max(self.longest_wait_s, waited_s)

    def take_longest_wait_s(self) -> float:
        """Returns `longest_wait_s`, and starts it again.

        Connections that are still waiting count.
        """
        try:
            self._record_wait(self.queued_s[0])
        except IndexError:
            pass  # None is waiting.
        longest_s, self.longest_wait_s = self.longest_wait_s, 0.0
        return longest_s

    def run(self) -> None:
        """Starts threads on demand, until `stop`.

        The server's own thread can't do so, as it would have to wait until
        they are ready.
        """
        while not self.is_stopping:
            self.wakeup.wait()
            self.wakeup.clear()
            with self.lock:
                missing = SPARE_THREADS + self.qsize - self.idle
                if missing > 0 and not self.is_stopping:
                    self.grow(missing)

    def stop(self, timeout: int = 5) -> None:
        """Stops all threads."""
        with self.lock:
            self.is_stopping = True
        self.wakeup.set()
        super().stop(timeout)


class _Server(wsgi.Server):
    """A server that can use an existing listener.

    Attributes:
        listener: The listening socket, or None to bind the address.
    """

    listener: socket.socket | None = None

    def bind(self, family, type, proto=0):  # noqa: A002 (named by the library)
        """Binds the address, or uses the listener if there is one."""
        if self.listener is None:
            return super().bind(family, type, proto)
        self.socket = self.listener
        self.bind_addr = self.listener.getsockname()[:2]
        return self.socket


class HttpServer:
    """Serves a WSGI application from a pool of threads.

    Args:
        host: IP address to listen on.
        port: Port to listen on, 0 to let the system choose one.
        app: The application.
        threads: Maximum number of requests handled concurrently.
        listener: A socket that already listens; replaces `host` and `port`.

    Attributes:
        port: The port it listens on, after `start`.
    """

    def __init__(
        self,
        host: str,
        port: int,
        app: WebApp,
        threads: int,
        listener: socket.socket | None = None,
    ):
        self.host = host
        self.port = port
        self.app = app
        self.threads = threads
        self.listener = listener
        self.server: wsgi.Server | None = None
        self.pool: GrowingPool | None = None

    def start(self) -> None:
        """Binds the port and serves in background threads."""
        self.server = _Server(
            (self.host, self.port),
            self.app,
            request_queue_size=LISTEN_BACKLOG,
            timeout=SOCKET_TIMEOUT_S,
            shutdown_timeout=2,
        )
        pool = self.pool = GrowingPool(self.server, self.threads)
        self.server.requests = pool
        self.server.listener = self.listener
        self.server.gateway = _Gateway
        self.server.max_request_body_size = 4 * self.app.max_body_bytes
        self.server.prepare()
        self.port = self.server.bind_addr[1]
        for task in (self.server.serve, pool.run):
            threading.Thread(target=task, name="http", daemon=True).start()

    def take_longest_wait_s(self) -> float:
        """Returns the longest wait of a request for a thread, in seconds.

        It covers the time since the previous call.
        """
        return 0.0 if self.pool is None else self.pool.take_longest_wait_s()

    def refuse_connections(self) -> None:
        """Blocks new connections, while pending ones are still served.

        Closing the listener would reset connections that the kernel has
        already accepted, whose request may have been sent. A socket filter on
        the listener drops only the packets that would open new connections;
        once `stop` has closed it, they are refused.
        """
        assert self.server is not None and self.server.socket is not None
        drop_all = ctypes.create_string_buffer(BPF_RETURN_ZERO)
        program = struct.pack("HxxxxxxP", 1, ctypes.addressof(drop_all))
        try:
            self.server.socket.setsockopt(
                socket.SOL_SOCKET, SO_ATTACH_FILTER, program
            )
        except OSError as error:
            # Connections made shortly before `stop` may then be reset.
            self.app.log.warning("socket_filter_failed", reason=str(error))

    def stop(self) -> None:
        """Closes the listener and idle connections."""
        if self.server is not None:
            self.server.stop()


def monitoring_rules(
    metrics: Metrics, is_ready: Callable[[], tuple[bool, str]]
) -> list[tuple[str, list[str], Handler]]:
    """Returns the routes for health, readiness and metrics.

    Args:
        metrics: The process's metrics.
        is_ready: Returns whether new work is accepted, and the reason if not.
    """

    def show_health(_request: Request) -> Response:
        return json_response({"status": "alive"})

    def show_readiness(_request: Request) -> Response:
        ready, reason = is_ready()
        status = 200 if ready else 503
        return json_response({"ready": ready, "reason": reason}, status)

    def show_metrics(_request: Request) -> Response:
        body, headers = metrics.render()
        return Response(body, headers=headers)

    return [
        ("/healthz", ["GET"], show_health),
        ("/readyz", ["GET"], show_readiness),
        ("/metrics", ["GET"], show_metrics),
    ]
