"""Endpoints that another process names can be connected to, or are skipped."""

import msgspec
import pytest
import zmq
from hypothesis import given, settings
from hypothesis import strategies as st

from sardinestair.clock import ManualClock
from sardinestair.endpoints import is_endpoint
from sardinestair.entry.dispatcher import Dispatcher
from sardinestair.entry.membership_server import MembershipServer
from sardinestair.entry.ownership_exchange import OwnershipExchange
from sardinestair.ids import new_incarnation
from sardinestair.membership import PeerDirectory, Roster
from sardinestair.messages import Announce
from sardinestair.observability import Metrics
from sardinestair.store.port import KeyValue
from sardinestair.store.registration import EntryRecord, _decode_records
from sardinestair.tests.fakes import FakeContext

VALID = ["10.1.0.13:7101", "localhost:1", "entry-1.example:65535"]
INVALID = [
    "", "abc", "127.0.0.1", "127.0.0.1:", ":7101", "127.0.0.1:0",
    "127.0.0.1:65536", "127.0.0.1:7101/", "tcp://127.0.0.1:7101", "a b:1",
    "127.0.0.1:7101\n", "127.0.0.1:*", "127.0.0.1:\u0661", "\x00:1", "-:1",
]  # fmt: skip


@pytest.fixture(scope="module")
def context():
    context = zmq.Context()
    yield context
    context.destroy(linger=0)


def can_connect(context, endpoint):
    with context.socket(zmq.DEALER) as socket:
        try:
            socket.connect(f"tcp://{endpoint}")
        except (zmq.ZMQError, ValueError):
            return False
    return True


@pytest.mark.parametrize("endpoint", VALID)
def test_valid_endpoint_is_used(context, endpoint):
    assert is_endpoint(endpoint)
    assert can_connect(context, endpoint)


# Guards against processes that end themselves (rule Fault), again and again, as
# long as the store holds the record of an entry without an address.
@pytest.mark.parametrize("endpoint", INVALID)
def test_record_with_an_invalid_endpoint_is_skipped(endpoint):
    good = EntryRecord("e2", VALID[0], "")
    bad = {"entry": "e1", "endpoint": endpoint, "http_address": ""}
    items = [
        KeyValue("entries/e1", msgspec.json.encode(bad), 1),
        KeyValue("entries/e2", msgspec.json.encode(good), 2),
    ]
    assert _decode_records(items) == [good]


ODD_RECORD = b'{"entry":"e1","endpoint":"10.0.0.1:1","http_address":%s}'


# Guards against processes that end themselves, or no longer follow the list of
# entries, as long as the store holds an odd record of another writer.
@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"\xff\xfe",
        b"[" * 200_000,
        b'{"x":' * 200_000,
        ODD_RECORD % (b"[" * 200_000),
        ODD_RECORD % (b"9" * 5_000),
        ODD_RECORD % b"1e400",
        ODD_RECORD[:-1] % b'"","x":' + b"9" * 5_000 + b"}",
        ODD_RECORD.replace(b':1"', b':99999999999999999999"') % b'""',
        b"9" * 5_000,
    ],
)
def test_odd_record_is_skipped(value):
    good = EntryRecord("e2", VALID[0], "")
    items = [
        KeyValue("entries/e1", value, 1),
        KeyValue("entries/e2", msgspec.json.encode(good), 2),
    ]
    assert good in _decode_records(items)


@pytest.mark.parametrize("endpoint", INVALID)
def test_invalid_endpoint_of_a_peer_is_not_learned(endpoint):
    peers = PeerDirectory("127.0.0.1:1")
    assert peers.learn([endpoint, VALID[0]], now_s=0.0) == [VALID[0]]


@pytest.mark.parametrize("endpoint", INVALID)
def test_announcement_with_an_invalid_endpoint_is_dropped(endpoint):
    dispatcher = Dispatcher(
        new_incarnation(), "z", ManualClock(), Metrics(), FakeContext()
    )
    links = []
    server = MembershipServer(
        "tcp://127.0.0.1:*", dispatcher, Roster(), PeerDirectory(""),
        links.append, FakeContext(),
    )  # fmt: skip
    for text in (endpoint, VALID[0]):
        announce = Announce(
            new_incarnation(), f"tcp://{text}", "z", "q", 8, False, 0
        )
        server._handle(b"r", msgspec.msgpack.encode(announce))
    assert [link.endpoint for link in links] == [f"tcp://{VALID[0]}"]
    assert len(server.socket.take_sent()) == 1


# Guards against an entry that ends itself for a message of another version.
@pytest.mark.parametrize(
    ("ids", "states"),
    [([b"j" * 8], b""), ([], b"\0"), ([b""], b"\xff"), ([b"j" * 99], b"\0")],
)
def test_odd_records_of_owners_end_nobody(ids, states):
    dispatcher = Dispatcher(
        new_incarnation(), "z", ManualClock(), Metrics(), FakeContext()
    )
    peers = PeerDirectory("")
    server = MembershipServer(
        "tcp://127.0.0.1:*", dispatcher, Roster(), peers, print, FakeContext()
    )
    server.exchange = OwnershipExchange(dispatcher, {}, peers)
    batch = ["10.0.0.1:1", ids, states, 7, 3]
    request = [1, b"j", -5, ["x"], True, True, True]
    update = ["O", "no endpoint", b"e", [batch], [request], [[1, "granted"]]]
    server._handle(b"r", msgspec.msgpack.encode(update))
    server.exchange.run_once()
    assert server.socket.take_sent() == []


@settings(derandomize=True, max_examples=300, deadline=None)
@given(
    st.text(max_size=30)
    | st.from_regex(r"[0-9a-z.:*;/\[\]-]{0,20}:[0-9]{1,6}", fullmatch=True)
)
def test_accepted_endpoints_can_be_connected_to(context, endpoint):
    assert not is_endpoint(endpoint) or can_connect(context, endpoint)
