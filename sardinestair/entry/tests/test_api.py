"""Bodies that take long to decode do not hold up other jobs."""

import asyncio
import threading

import pytest

from sardinestair.entry import api as api_module
from sardinestair.entry.api import MAX_INLINE_BYTES, CallerApi
from sardinestair.entry.tests.harness import Entry
from sardinestair.event_loop import EventLoop
from sardinestair.jobs import parse_request
from sardinestair.web import Headers, Request

TIMEOUT_S = 10
# Invalid, so that they are answered at once.
SMALL_BODY = b"{}"
LARGE_BODY = b" " * (MAX_INLINE_BYTES + 1)
CROWD = 20


@pytest.fixture
def event_loop():
    event_loop = EventLoop()
    event_loop.start()
    yield event_loop
    event_loop.stop()


@pytest.fixture
def decoded(monkeypatch):
    """Events: a decoding of a large body has begun, and may end."""
    begun, may_end = threading.Semaphore(0), threading.Semaphore(0)

    def parse(body):
        if len(body) > MAX_INLINE_BYTES:
            begun.release()
            may_end.acquire(timeout=TIMEOUT_S)
        return parse_request(body)

    monkeypatch.setattr(api_module, "parse_request", parse)
    return begun, may_end


def test_large_bodies_are_decoded_one_at_a_time_beside_the_event_loop(
    event_loop, decoded
):
    """400 bodies of 252 KB, in one iteration of the loop, took over 1 s."""
    begun, may_end = decoded
    api = CallerApi(Entry(max_attempts=1).dispatcher, event_loop, list)

    async def submit(body):
        request = Request("POST", "/v1/jobs", Headers(), body)
        return (await api.submit(request)).status

    async def submit_all():
        return await asyncio.gather(*[submit(LARGE_BODY) for _ in range(CROWD)])

    crowd = event_loop.run_coroutine(submit_all())
    for _ in range(CROWD):
        assert begun.acquire(timeout=TIMEOUT_S)
        assert event_loop.run_coroutine(submit(SMALL_BODY)).result(5) == 400
        assert not begun.acquire(blocking=False)
        may_end.release()
    assert crowd.result(TIMEOUT_S) == [400] * CROWD
