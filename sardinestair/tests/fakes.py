"""Test doubles for ZeroMQ sockets, the thread pool and the upstream."""

import asyncio
import functools
from collections import deque
from collections.abc import Callable

import zmq

from sardinestair.messages import TaskState
from sardinestair.upstreams import CallResult
from sardinestair.web import Headers, Request, Response, WebApp


class FakeSocket:
    """Records sent messages, and receives those in `inbox`."""

    def __init__(self):
        self.sent = []
        self.inbox: deque[bytes] = deque()

    def set(self, *_option):
        pass

    def get(self, option):
        if option == zmq.LAST_ENDPOINT:
            return b"tcp://127.0.0.1:1"
        return zmq.POLLIN if self.inbox else 0

    def bind(self, _endpoint):
        pass

    def connect(self, _endpoint):
        pass

    def close(self, linger=0):
        pass

    def recv(self):
        return self.inbox.popleft()

    def send(self, data, _flags=0):
        self.sent.append(data)

    def send_multipart(self, parts):
        self.sent.append(parts)

    def take_sent(self):
        sent, self.sent = self.sent, []
        return sent


class FakeContext:
    """ZeroMQ context that creates fake sockets."""

    def socket(self, _kind):
        return FakeSocket()


class FakeExecutor:
    """Executor that queues submitted calls until the test runs them."""

    def __init__(self):
        self.calls: deque[Callable] = deque()

    def submit(self, function, *arguments):
        self.calls.append(functools.partial(function, *arguments))

    def shutdown(self, **_options):
        self.calls.clear()


class FakeUpstream:
    """Records started tasks; the result of each is its job id and index."""

    is_leased = False
    has_no_orphans = True

    def __init__(self, starts):
        self.starts = starts
        self.state = TaskState.DONE

    def stop(self, _ref, _reason=b""):
        pass

    def call(self, ref, _payload, timeout_s):
        assert timeout_s > 0
        if self.state is not TaskState.NOT_RUN:
            self.starts.append((ref.job, ref.index))
        body = f"{ref.job.hex()}/{ref.index}".encode()
        return CallResult(self.state, body, False, 0.1)


def send_request(
    app: WebApp,
    method: str,
    target: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    connection=None,
) -> Response:
    """Returns an application's response to a request, without a server."""
    fields = Headers((headers or {}).items())
    request = Request(method, target, fields, body, connection)
    return asyncio.run(app.respond(request, asyncio.to_thread))
