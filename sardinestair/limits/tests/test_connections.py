"""More connections are used if, and only if, many requests take long."""

import asyncio

import pytest

from sardinestair.limits.connections import MAX_WAIT_S, ConnectionLimit
from sardinestair.tests.virtual_time import VirtualTimeLoop

USUAL, MOST = 3, 48


class Burst:
    """Requests of equal duration that come at once, in virtual time."""

    def __init__(self, count, request_s, limit=None):
        self.limit = limit or ConnectionLimit(USUAL, MOST)
        self.request_s = request_s
        self.order = []
        self.most_active = 0
        self.loop = VirtualTimeLoop()
        self.requests = [
            self.loop.create_task(self.request(number))
            for number in range(count)
        ]

    async def request(self, number):
        async with self.limit:
            self.order.append(number)
            self.most_active = max(self.most_active, self.limit.active)
            await asyncio.sleep(self.request_s)

    def finish(self):
        """Returns how long it takes until all requests have finished."""
        self.loop.run_until_complete(asyncio.wait(self.requests))
        duration_s = self.loop.time()
        self.loop.close()
        assert self.limit.active == 0
        return duration_s


@pytest.mark.parametrize("count", [1, 12, 125, 190])
def test_burst_of_slow_requests_is_served_in_time(count):
    burst = Burst(count, request_s=0.05)
    assert burst.finish() <= MAX_WAIT_S + 2 * 0.05
    assert burst.order == list(range(count))


def test_connections_never_exceed_the_limit():
    burst = Burst(930, request_s=0.05)
    burst.finish()
    assert burst.most_active == MOST


@pytest.mark.parametrize(("count", "request_s"), [(12, 0.05), (125, 0.001)])
def test_usual_connections_serve_few_or_short_requests(count, request_s):
    burst = Burst(count, request_s)
    burst.finish()
    assert burst.most_active <= USUAL


def test_limit_without_more_connections_is_never_exceeded():
    burst = Burst(125, request_s=0.05, limit=ConnectionLimit(USUAL))
    burst.finish()
    assert burst.most_active == USUAL


@pytest.mark.parametrize("delay_s", [0.0, 0.005, 0.025, 0.05])
def test_cancelled_requests_leave_their_connections_to_others(delay_s):
    burst = Burst(60, request_s=0.05)

    async def cancel():
        await asyncio.sleep(delay_s)
        for request in burst.requests[::2]:
            request.cancel()

    burst.requests.append(burst.loop.create_task(cancel()))
    burst.finish()
    assert set(range(1, 60, 2)) <= set(burst.order)


def test_request_cancelled_as_it_is_admitted_gives_its_connection_on():
    limit = ConnectionLimit(1)
    order = []

    async def use(number):
        async with limit:
            order.append(number)

    async def main():
        async with limit:
            requests = [asyncio.create_task(use(n)) for n in range(2)]
            await asyncio.sleep(0)
        requests[0].cancel()  # It has been admitted, and has not run yet.
        await asyncio.wait_for(requests[1], 5.0)

    asyncio.run(main())
    assert order == [1]
    assert limit.active == 0
