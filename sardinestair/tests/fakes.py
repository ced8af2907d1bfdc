"""Test doubles for ZeroMQ sockets and the upstream."""

import asyncio
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
        if option == zmq.FD:
            return -1
        return zmq.POLLIN if self.inbox else 0

    def bind(self, _endpoint):
        pass

    def connect(self, _endpoint):
        pass

    def close(self, linger=0):
        pass

    def recv_multipart(self, _flags=0):
        if not self.inbox:
            raise zmq.Again
        return [self.inbox.popleft()]

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


class FakeUpstream:
    """Queues started tasks until the test runs them.

    The result of each is its job id and index.
    """

    is_leased = False
    has_no_orphans = True
    is_lease_ending = False

    def __init__(self, starts):
        self.starts = starts
        self.state = TaskState.DONE
        self.waiting: deque[Callable] = deque()

    def start(self, ref, _payload, timeout_s, may_start, on_result):
        assert timeout_s > 0

        def run():
            on_result(self.run(ref, may_start))

        self.waiting.append(run)

    def run(self, ref, may_start):
        if not may_start():
            return CallResult(TaskState.NOT_RUN, b"withdrawn", False, 0.0)
        if self.state is not TaskState.NOT_RUN:
            self.starts.append((ref.job, ref.index))
        body = f"{ref.job.hex()}/{ref.index}".encode()
        return CallResult(self.state, body, False, 0.1)

    def stop(self, _ref, _reason=b"", _within_s=0.0):
        pass

    def close(self):
        pass


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
