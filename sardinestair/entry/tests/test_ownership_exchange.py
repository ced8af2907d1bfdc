"""Messages about the owners of jobs: their size, and entries that have gone."""

import asyncio

import msgspec
import pytest

from sardinestair.clock import ManualClock
from sardinestair.entry import ownership_exchange
from sardinestair.entry.dispatcher import Dispatcher
from sardinestair.entry.membership_server import MAX_MESSAGE_BYTES
from sardinestair.entry.ownership_exchange import OwnershipExchange
from sardinestair.ids import Incarnation, JobId, new_incarnation
from sardinestair.membership import PeerDirectory
from sardinestair.messages import (
    OwnershipBatch,
    OwnershipRequest,
    OwnershipUpdate,
)
from sardinestair.observability import Metrics
from sardinestair.tests.fakes import FakeContext

OTHER, GONE = "10.0.0.2:1", "10.0.0.3:1"
JOBS = 3000


class FakeAnnouncer:
    interval_s = 1.0

    def __init__(self):
        self.sent = []
        self.can_send = True

    def send(self, update):
        if self.can_send:
            self.sent.append(msgspec.msgpack.encode(update))
        return self.can_send

    def updates(self):
        return [
            msgspec.msgpack.decode(data, type=OwnershipUpdate)
            for data in self.sent
        ]


@pytest.fixture
def exchange():
    dispatcher = Dispatcher(
        new_incarnation(), "z", ManualClock(), Metrics(), FakeContext()
    )
    dispatcher.directory.own_endpoint = "10.0.0.1:1"
    return OwnershipExchange(
        dispatcher, {OTHER: FakeAnnouncer()}, PeerDirectory("10.0.0.1:1")
    )


def job_ids(prefix):
    return [JobId(prefix * 8 + n.to_bytes(8, "big")) for n in range(JOBS)]


def send_all(exchange):
    for _ in range(100):
        exchange.run_once()
    return exchange.announcers[OTHER].updates()


# Guards against a message over the maximum, which closes the connection.
def test_messages_to_an_entry_that_has_started_are_of_a_bounded_size(exchange):
    for job_id in job_ids(b"a"):
        exchange.directory.add_own(job_id, 0.0)
    batch = OwnershipBatch(GONE, job_ids(b"b"), bytes(JOBS))
    exchange.directory.observe(batch, 0.0)
    exchange.dispatcher.withdrawn.add(job_ids(b"c"), 0.0)
    exchange.add_peer(OTHER, Incarnation(b"o" * 16))
    requests = [
        OwnershipRequest(n, b"a" * 16, 1, [GONE] * 3, True, True, True)
        for n in range(JOBS)
    ]
    update = OwnershipUpdate(OTHER, Incarnation(b"o" * 16), [], requests)
    exchange.handle_update(update)
    updates = send_all(exchange)
    sizes = map(len, exchange.announcers[OTHER].sent)
    assert max(sizes) < MAX_MESSAGE_BYTES
    ids = [i for u in updates for b in u.batches for i in b.ids]
    assert sorted(ids) == sorted(job_ids(b"a") + job_ids(b"b"))
    withdrawn = [job_id for u in updates for job_id in u.withdrawn]
    assert withdrawn == job_ids(b"c")
    assert len([v for u in updates for v in u.replies]) == JOBS


def test_what_can_not_be_sent_is_kept(exchange):
    exchange.add_peer(OTHER, Incarnation(b"o" * 16))
    announcer = exchange.announcers[OTHER]
    announcer.can_send = False
    exchange.directory.add_own(job_ids(b"a")[0], 0.0, generation=1)
    exchange.run_once()
    announcer.can_send = True
    exchange.directory.add_own(job_ids(b"a")[1], 0.0, generation=1)
    (update,) = send_all(exchange)
    assert update.batches[0].ids == job_ids(b"a")[:2]


# Many jobs share a message, so that a calm job costs none of its own.
def test_jobs_of_an_interval_share_a_message(exchange):
    clock = exchange.dispatcher.clock
    exchange.peers.learn([OTHER], 0.0)
    exchange.add_peer(OTHER, Incarnation(b"o" * 16))
    clock.advance(2 * ownership_exchange.DISTURBED_S)
    for number in range(100):
        exchange.peers.observe(OTHER, "", Incarnation(b"o"), clock.monotonic())
        exchange.directory.add_own(job_ids(b"a")[number], clock.monotonic())
        exchange.directory.complete_own(
            job_ids(b"a")[number], clock.monotonic()
        )
        exchange.run_once()
        clock.advance(0.01)
    updates = exchange.announcers[OTHER].updates()
    assert len(updates) <= 1.0 / ownership_exchange.MIN_INTERVAL_S
    ids = [i for u in updates for b in u.batches for i in b.ids]
    assert len(ids) == len(set(ids)) >= 75


def test_entry_that_has_gone_is_forgotten(exchange):
    exchange.add_peer(OTHER, Incarnation(b"o" * 16))
    exchange.announcers.pop(OTHER)
    exchange.notify(is_urgent=True)
    exchange.run_once()
    assert exchange.outboxes == {}
    request = OwnershipRequest(0, b"a", 0, [], False, True, False)
    assert asyncio.run(exchange.send_request(OTHER, request)) is None
