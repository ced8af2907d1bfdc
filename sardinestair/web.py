"""HTTP serving shared by the programs: a WSGI server and replies."""

import ctypes
import socket
import struct
import threading
from collections.abc import Callable, Iterable

import msgspec
from cheroot import wsgi
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
    "operations_rules",
    "problem_response",
    "retry_after",
]

JSON_TYPE = "application/json"
PROBLEM_TYPE = "application/problem+json"
SOCKET_TIMEOUT_S = 10
SO_ATTACH_FILTER = 26
# One classic BPF instruction, `ret #0`: pass no byte of any packet.
BPF_RETURN_ZERO = struct.pack("HBBI", 0x06, 0, 0, 0)
# Threads that wait for a request; more are started once fewer do.
SPARE_THREADS = 16
CONNECTION_KEY = "sardinestair.connection"

Handler = Callable[..., Response]


def json_response(value: object, status: int = 200) -> Response:
    """Returns a reply with a JSON body.

    Args:
        value: What to encode.
        status: The HTTP status.
    """
    return Response(msgspec.json.encode(value), status, mimetype=JSON_TYPE)


def problem_response(problem: Problem, job: str | None = None) -> Response:
    """Returns a problem document.

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
    """Returns the header value; whole seconds, at least one."""
    return str(max(1, -int(-(problem.retry_after_s or 0.0) // 1)))


def connection_of(request: Request) -> socket.socket | None:
    """Returns the caller's connection, or None in a test without one."""
    return request.environ.get(CONNECTION_KEY)


class WebApp:
    """A WSGI application with routes.

    Args:
        rules: Path, methods and handler of each route.
        max_body_bytes: Bound on a request's body.
        log: Where unexpected errors go.

    Attributes:
        active: Requests that are being served.
        is_closing: True to ask callers to open no further request on their
            connection.
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
        self.active = 0
        self.is_closing = False
        self.lock = threading.Lock()

    def __call__(self, environ, start_response):
        """Serves one request."""
        with self.lock:
            self.active += 1
        try:
            response = self._respond(environ)
            if self.is_closing:
                response.headers["Connection"] = "close"
            return response(environ, start_response)
        finally:
            with self.lock:
                self.active -= 1

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
                    f"the body must have at most {self.max_body_bytes} bytes",
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
    """Hands the connection on to the application."""

    def get_environ(self):
        environ = super().get_environ()
        environ[CONNECTION_KEY] = self.req.conn.socket
        return environ


class GrowingPool(ThreadPool):
    """Starts threads as they are needed, and keeps a few idle.

    Args:
        server: The server.
        most: Bound on the threads.
    """

    def __init__(self, server: wsgi.Server, most: int):
        super().__init__(server, min=min(most, SPARE_THREADS), max=most)
        self.wanted = threading.Event()
        # A thread that starts while the others are stopped would never end.
        self.lock = threading.Lock()
        self.is_stopping = False

    def put(self, obj) -> None:
        """Hands a connection with a request to a thread."""
        super().put(obj)
        self.wanted.set()

    def run(self) -> None:
        """Starts threads as they are needed, until `stop`.

        The server can't do so itself, as it may have to wait for them.
        """
        while not self.is_stopping:
            self.wanted.wait()
            self.wanted.clear()
            with self.lock:
                missing = SPARE_THREADS + self.qsize - self.idle
                if missing > 0 and not self.is_stopping:
                    self.grow(missing)

    def stop(self, timeout: int = 5) -> None:
        """Ends all threads."""
        with self.lock:
            self.is_stopping = True
        self.wanted.set()
        super().stop(timeout)


class _Server(wsgi.Server):
    """A server that can take over a listener.

    Attributes:
        listener: The listener, or None to bind the address.
    """

    listener: socket.socket | None = None

    def bind(self, family, type, proto=0):  # noqa: A002 (named by the library)
        """Binds the address, unless a listener already does."""
        if self.listener is None:
            return super().bind(family, type, proto)
        self.socket = self.listener
        self.bind_addr = self.listener.getsockname()[:2]
        return self.socket


class HttpServer:
    """Serves a WSGI application from a pool of threads.

    Args:
        host: IP number to listen on.
        port: Port, 0 for any.
        app: The application.
        threads: Requests that are served at a time.
        listener: A socket that listens already, in place of host and port.

    Attributes:
        port: The port that it listens on, after `start`.
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

    def start(self) -> None:
        """Binds the port and serves in threads of its own."""
        self.server = _Server(
            (self.host, self.port),
            self.app,
            request_queue_size=LISTEN_BACKLOG,
            timeout=SOCKET_TIMEOUT_S,
            shutdown_timeout=2,
        )
        pool = GrowingPool(self.server, self.threads)
        self.server.requests = pool
        self.server.listener = self.listener
        self.server.gateway = _Gateway
        self.server.max_request_body_size = 4 * self.app.max_body_bytes
        self.server.prepare()
        self.port = self.server.bind_addr[1]
        for task in (self.server.serve, pool.run):
            threading.Thread(target=task, name="http", daemon=True).start()

    def refuse_connections(self) -> None:
        """Lets no further connection in, while waiting ones are served.

        Closing the listener at once would reset connections that the kernel
        has accepted and whose request may have been sent. A filter on the
        listener drops only the packets that would open new ones; after
        `stop` those callers get a refusal.
        """
        assert self.server is not None and self.server.socket is not None
        drop_all = ctypes.create_string_buffer(BPF_RETURN_ZERO)
        program = struct.pack("HxxxxxxP", 1, ctypes.addressof(drop_all))
        try:
            self.server.socket.setsockopt(
                socket.SOL_SOCKET, SO_ATTACH_FILTER, program
            )
        except OSError as error:
            # Connections that come in the last moment may then be reset.
            self.app.log.warning("filter_refused", reason=str(error))

    def stop(self) -> None:
        """Stops listening, and ends idle connections."""
        if self.server is not None:
            self.server.stop()


def operations_rules(
    metrics: Metrics, is_ready: Callable[[], tuple[bool, str]]
) -> list[tuple[str, list[str], Handler]]:
    """Returns the routes that each program has for operators.

    Args:
        metrics: The process's metrics.
        is_ready: Returns whether work is taken, and the reason if not.
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
