"""Requests in the event loop are sent at most once; failures are distinct."""

import asyncio
import socket

import pytest

from sardinestair.async_transfer import WITHDRAWN, AsyncTransfer, TransferPool
from sardinestair.limits.connections import ConnectionLimit
from sardinestair.transfer import Reply, TransferFailure

REPLY = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
TIMEOUT_S = 5.0


class Server:
    """Answers each request with the next scripted response.

    A response of None closes the connection instead.
    """

    def __init__(self, *responses):
        self.responses = list(responses)
        self.requests = []
        self.connections = 0

    async def handle(self, reader, writer):
        self.connections += 1
        try:
            while data := await reader.read(65536):
                self.requests.append(data)
                response = self.responses.pop(0)
                if response is None:
                    break
                writer.write(response)
                await writer.drain()
        finally:
            writer.close()

    async def start(self):
        server = await asyncio.start_server(self.handle, "127.0.0.1", 0)
        return server, server.sockets[0].getsockname()[1]


def run(server, use, **options):
    """Runs `use` with a transfer to a server; returns its result."""

    async def main():
        listener, port = await server.start()
        transfer = AsyncTransfer("127.0.0.1", port, **options)
        try:
            return await use(transfer)
        finally:
            transfer.close()
            listener.close()

    return asyncio.run(main())


def post(transfer, body=b"1", timeout_s=TIMEOUT_S, **options):
    return transfer.perform("POST", "/x", body, timeout_s, **options)


def test_connection_is_reused():
    server = Server(REPLY, REPLY)

    async def use(transfer):
        return [await post(transfer), await post(transfer)]

    assert run(server, use) == [Reply(200, b"{}")] * 2
    assert server.connections == 1


# Guards against work that runs twice: a library may send a request again when a
# reused connection is closed.
def test_request_is_not_repeated_on_a_fresh_connection():
    server = Server(REPLY, None, REPLY)

    async def use(transfer):
        await post(transfer)
        return await post(transfer, b"2")

    failure = run(server, use)
    assert isinstance(failure, TransferFailure)
    assert failure.was_sent
    assert len(server.requests) == 2


def test_request_on_a_refused_connection_was_not_sent():
    transfer = AsyncTransfer("127.0.0.1", 9)
    failure = asyncio.run(post(transfer))
    assert isinstance(failure, TransferFailure)
    assert not failure.was_sent


def test_request_that_times_out_may_have_been_sent():
    server = Server(b"")

    async def use(transfer):
        return await post(transfer, timeout_s=0.05)

    assert run(server, use).was_sent


def test_connect_that_times_out_has_sent_nothing():
    with socket.create_server(("127.0.0.1", 0), backlog=0) as listener:
        port = listener.getsockname()[1]
        held = [socket.socket() for _ in range(4)]
        for connection in held:
            connection.setblocking(False)
            connection.connect_ex(("127.0.0.1", port))
        failure = asyncio.run(
            post(AsyncTransfer("127.0.0.1", port), timeout_s=0.1)
        )
        for connection in held:
            connection.close()
    assert not failure.was_sent


def test_withdrawn_request_is_not_sent():
    server = Server(REPLY)

    async def use(transfer):
        withdrawn = await post(transfer, may_send=lambda: False)
        return withdrawn, await post(transfer, may_send=lambda: True)

    assert run(server, use) == (WITHDRAWN, Reply(200, b"{}"))
    assert len(server.requests) == 1


# Guards against a permission that is checked before the process stands still:
# it is checked after the connection has been made.
def test_permission_is_checked_after_connecting():
    server = Server(REPLY)

    async def use(transfer):
        return await post(
            transfer, may_send=lambda: transfer.connection is None
        )

    assert run(server, use) is WITHDRAWN
    assert server.requests == []


def test_connection_that_the_server_has_closed_is_not_used_again():
    close = (
        b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\n{}"
    )
    server = Server(close, REPLY)

    async def use(transfer):
        return [await post(transfer), await post(transfer)]

    assert run(server, use) == [Reply(200, b"{}")] * 2
    assert server.connections == 2


def test_idle_connection_is_not_reused():
    server = Server(REPLY, REPLY)

    async def use(transfer):
        await post(transfer)
        await asyncio.sleep(0.05)
        return await post(transfer)

    assert run(server, use, max_idle_s=0.01) == Reply(200, b"{}")
    assert server.connections == 2


@pytest.mark.parametrize(
    "response",
    [
        b"nonsense\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\ncut off",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
        b"HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\n" + b"x" * 5000,
    ],
)
def test_unusable_response_is_a_failure(response):
    class ClosingServer(Server):
        async def handle(self, reader, writer):
            self.requests.append(await reader.read(65536))
            writer.write(response)
            writer.close()

    async def use(transfer):
        return await post(transfer)

    failure = run(ClosingServer(), use, max_reply_bytes=1000)
    assert isinstance(failure, TransferFailure)
    assert failure.was_sent


def test_response_may_end_with_the_connection():
    class ClosingServer(Server):
        async def handle(self, reader, writer):
            await reader.read(65536)
            writer.write(b"HTTP/1.1 200 OK\r\n\r\nwhole")
            writer.close()

    assert run(ClosingServer(), post) == Reply(200, b"whole")


def test_interim_response_is_skipped():
    server = Server(b"HTTP/1.1 100 Continue\r\n\r\n" + REPLY)
    assert run(server, post) == Reply(200, b"{}")


def test_cancelled_request_leaves_no_response_to_the_next_one():
    server = Server(b"", REPLY)

    async def use(transfer):
        first = asyncio.ensure_future(post(transfer))
        while not server.requests:
            await asyncio.sleep(0.001)
        first.cancel()
        await asyncio.gather(first, return_exceptions=True)
        return await post(transfer)

    assert run(server, use) == Reply(200, b"{}")
    assert server.connections == 2


def test_longest_wait_for_a_connection_is_reported_once():
    async def main():
        pool = TransferPool("127.0.0.1", 1, ConnectionLimit(usual=1))
        async with pool.limit:
            request = asyncio.create_task(post(pool))
            await asyncio.sleep(0.05)
        await request
        return [pool.take_longest_wait_s() for _ in range(2)]

    first_s, second_s = asyncio.run(main())
    assert first_s >= 0.04
    assert second_s == 0.0
