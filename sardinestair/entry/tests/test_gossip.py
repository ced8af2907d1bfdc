"""Messages between entries stay bounded as entries are added."""

from sardinestair.clock import ManualClock
from sardinestair.entry.dispatcher import Dispatcher
from sardinestair.entry.gossip import MAX_INTERVAL_S, Gossip
from sardinestair.ids import new_incarnation
from sardinestair.membership import PeerDirectory
from sardinestair.observability import Metrics
from sardinestair.tests.fakes import FakeContext

FEW, MANY = 3, 14


class FakeMembership:
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
