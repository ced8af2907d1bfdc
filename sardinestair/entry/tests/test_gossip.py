"""Messages between entries stay bounded as entries are added."""

import msgspec

from sardinestair.clock import ManualClock
from sardinestair.entry.dispatcher import Dispatcher
from sardinestair.entry.gossip import (
    MAX_INTERVAL_S,
    WITHDRAWAL_DELAY_S,
    Gossip,
)
from sardinestair.ids import JobId, new_incarnation
from sardinestair.membership import PeerDirectory
from sardinestair.messages import Announce, PeerHello
from sardinestair.observability import Metrics
from sardinestair.tests.fakes import FakeContext

FEW, MANY = 3, 14


class FakeMembership:
    http_address = ""
    settings_revision = 0

    def __init__(self):
        self.dispatcher = Dispatcher(
            new_incarnation(), "z", ManualClock(), Metrics(), FakeContext()
        )
        self.peers = PeerDirectory("own:1")


def gossip_with(peers):
    gossip = Gossip(
        FakeMembership(), lambda _announcer: None, lambda _revision, _tree: True
    )
    gossip.add_endpoints([f"10.0.0.{n}:1" for n in range(peers)])
    assert len(gossip.announcers) == peers
    return gossip


def messages_per_s(gossip):
    return sum(1 / a.interval_s for a in gossip.announcers.values())


# Guards against a message a second to each of many entries.
def test_messages_to_other_entries_do_not_grow_with_their_number():
    assert messages_per_s(gossip_with(FEW)) == FEW
    assert messages_per_s(gossip_with(MANY)) <= 4


def test_entries_count_as_alive_for_several_intervals():
    for peers in (FEW, MANY, 80):
        gossip = gossip_with(peers)
        assert gossip.interval_s <= MAX_INTERVAL_S
        assert gossip.peer_timeout_s >= 3 * gossip.interval_s


JOB = JobId(b"j" * 16)


# Guards against tasks that run on after their job was cancelled (rule UNASKED):
# the request came to another entry than the job.
def test_cancelled_jobs_are_sent_to_all_other_entries_soon():
    for peers in (FEW, MANY):
        gossip = gossip_with(peers)
        dispatcher = gossip.membership.dispatcher
        dispatcher.on_withdrawn = gossip.share_withdrawn
        for announcer in gossip.announcers.values():
            announcer.run_once()
            announcer.socket.take_sent()
        assert dispatcher.cancel(JOB) is None
        dispatcher.clock.advance(WITHDRAWAL_DELAY_S)
        for announcer in gossip.announcers.values():
            announcer.run_once()
            (data,) = announcer.socket.take_sent()
            hello = msgspec.msgpack.decode(data, type=PeerHello)
            assert hello.withdrawn == [JOB]


def test_many_cancelled_jobs_share_a_message():
    gossip = gossip_with(FEW)
    dispatcher = gossip.membership.dispatcher
    dispatcher.on_withdrawn = gossip.share_withdrawn
    announcer = next(iter(gossip.announcers.values()))
    announcer.run_once()
    for number in range(100):
        dispatcher.cancel(JobId(bytes([number]) * 16))
        dispatcher.clock.advance(0.01)
        announcer.run_once()
    assert len(announcer.socket.take_sent()) <= 1 + 1.0 / WITHDRAWAL_DELAY_S


def test_hello_of_an_earlier_version_names_no_cancelled_jobs():
    entry = new_incarnation()
    data = msgspec.msgpack.encode(["P", entry, "10.0.0.1:1", "", 0])
    hello = msgspec.msgpack.decode(data, type=Announce | PeerHello)
    assert hello == PeerHello(entry, "10.0.0.1:1", "", 0)
