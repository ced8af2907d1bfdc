"""Routes of an HTTP server, and the dispatch of requests to handlers."""

import asyncio
import inspect
import re
from collections.abc import Awaitable, Callable, Iterable
from http import HTTPStatus

from sardinestair.observability import EventLog, Metrics
from sardinestair.outcomes import Problem, ProblemKind
from sardinestair.web.messages import (
    Request,
    Response,
    json_response,
    problem_response,
    status_response,
)

__all__ = ["Found", "Handler", "Rule", "WebApp", "monitoring_rules"]

Handler = Callable[..., Response | Awaitable[Response]]
"""A coroutine function runs in the event loop; any other one may block, and
runs in a thread."""

Rule = tuple[str, list[str], Handler] | tuple[str, list[str], Handler, int]
"""Path, methods and handler of a route, and the maximum size of its requests'
bodies in bytes if it is below that of the application. `<name>` in the path
stands for one segment, `<path:name>` for any number of them."""

Found = tuple[Handler, dict[str, str]] | Response
"""Handler and variables of a path, or the refusal of a request."""

RunBlocking = Callable[..., Awaitable[Response]]

_BODILESS_METHODS = frozenset({"GET", "HEAD", "DELETE"})

# Age up to which the text of metrics is sent again. To make it takes
# milliseconds, and a crowd may ask for it.
METRICS_AGE_S = 0.1

_VARIABLE = re.compile(r"<(path:)?(\w+)>")


def _compile_path(path: str) -> re.Pattern[str]:
    pattern, end = "", 0
    for variable in _VARIABLE.finditer(path):
        pattern += re.escape(path[end : variable.start()])
        segment = ".+" if variable.group(1) else "[^/]+"
        pattern += f"(?P<{variable.group(2)}>{segment})"
        end = variable.end()
    return re.compile(pattern + re.escape(path[end:]), re.DOTALL)


class WebApp:
    """Finds the handler of each request, and calls it.

    Args:
        rules: The routes; the first that matches counts.
        max_body_bytes: Maximum size of a request body, also of routes with a
            limit of their own; GET and DELETE take none.
        log: The event log.
        check_header: Returns the refusal of a request that has a body, or
            None; called before the body is read.

    Attributes:
        active_requests: Number of requests that have arrived completely and
            whose response is not written yet.
        is_closing: True to send `Connection: close` with each response, so
            that callers send no further request on the connection.

    Examples:
        >>> async def show(_request, number):
        ...     return Response(number.encode())
        >>> app = WebApp([("/<number>", ["GET"], show)], 1, EventLog("doctest"))
        >>> app.find("GET", "/12")[1]
        {'number': '12'}
        >>> app.find("PUT", "/12").headers["Allow"]
        'GET, HEAD'
    """

    def __init__(
        self,
        rules: Iterable[Rule],
        max_body_bytes: int,
        log: EventLog,
        check_header: Callable[[Request], Response | None] | None = None,
    ):
        # Handlers by path and method, in the order of the rules.
        self.routes: dict[str, tuple[re.Pattern[str], dict[str, Handler]]] = {}
        self.body_limits: dict[Handler, int] = {}
        for path, methods, handler, *limits in rules:
            if path not in self.routes:
                self.routes[path] = (_compile_path(path), {})
            self.routes[path][1].update(dict.fromkeys(methods, handler))
            for limit_bytes in limits:
                self.body_limits[handler] = min(limit_bytes, max_body_bytes)
        self.max_body_bytes = max_body_bytes
        self.log = log
        self.check_header = check_header or (lambda _request: None)
        self.active_requests = 0
        self.is_closing = False

    def find(self, method: str, path: str) -> Found:
        """Returns a handler and the variables of the path, or a refusal."""
        allowed: dict[str, Handler] = {}
        for pattern, handlers in self.routes.values():
            found = pattern.fullmatch(path)
            if found is not None:
                if method in handlers:
                    return handlers[method], found.groupdict()
                allowed |= handlers
        if not allowed:
            return status_response(HTTPStatus.NOT_FOUND)
        response = status_response(HTTPStatus.METHOD_NOT_ALLOWED)
        # The server answers HEAD like GET, without the body.
        names = {*allowed, "HEAD"} if "GET" in allowed else {*allowed}
        response.headers["Allow"] = ", ".join(sorted(names))
        return response

    def body_limit(self, request: Request, handler: Handler) -> int:
        """Returns the maximum size of a request's body, in bytes."""
        if request.method in _BODILESS_METHODS:
            return 0
        return self.body_limits.get(handler, self.max_body_bytes)

    async def respond(
        self,
        request: Request,
        run_blocking: RunBlocking,
        found: Found | None = None,
    ) -> Response:
        """Returns the response to a request.

        Args:
            request: The request.
            run_blocking: Runs a function that may block, in a thread.
            found: The result of `find`, if it is known.
        """
        if found is None:
            found = self.find(request.method, request.path)
        if isinstance(found, Response):
            return found
        handler, variables = found
        try:
            if inspect.iscoroutinefunction(handler):
                return await handler(request, **variables)
            return await run_blocking(lambda: handler(request, **variables))
        except Exception:
            self.log.logger.exception(
                "request_failed",
                extra={"method": request.method, "path": request.path},
            )
            return status_response(
                HTTPStatus.INTERNAL_SERVER_ERROR, not_run=False
            )

    @staticmethod
    def body_too_large(max_body_bytes: int) -> Response:
        """Returns the refusal of a body over a limit."""
        return problem_response(
            Problem(
                ProblemKind.TOO_LARGE,
                f"the body must be at most {max_body_bytes} bytes",
                not_run=True,
            )
        )


def monitoring_rules(
    metrics: Metrics, is_ready: Callable[[], tuple[bool, str]]
) -> list[Rule]:
    """Returns the routes for health, readiness and metrics.

    Args:
        metrics: The process's metrics.
        is_ready: Returns whether new work is accepted, and the reason if not.
    """

    async def show_health(_request: Request) -> Response:
        return json_response({"status": "alive"})

    async def show_readiness(_request: Request) -> Response:
        ready, reason = is_ready()
        status = 200 if ready else 503
        return json_response({"ready": ready, "reason": reason}, status)

    # Requests that are handled soon after one another share the text.
    rendered: list[tuple[bytes, dict[str, str]]] = []

    async def show_metrics(_request: Request) -> Response:
        if not rendered:
            rendered.append(metrics.render())
            asyncio.get_running_loop().call_later(METRICS_AGE_S, rendered.clear)
        body, headers = rendered[0]
        return Response(body, headers=headers)

    return [
        ("/healthz", ["GET"], show_health),
        ("/readyz", ["GET"], show_readiness),
        ("/metrics", ["GET"], show_metrics),
    ]
