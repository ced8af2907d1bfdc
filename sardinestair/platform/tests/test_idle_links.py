"""What an idle link costs, on a clock of its own."""

import msgspec

from sardinestair.clock import ManualClock
from sardinestair.entry.dispatcher import Dispatcher
from sardinestair.ids import Incarnation
from sardinestair.limits.resources import Resources
from sardinestair.messages import EntryFrame
from sardinestair.observability import Metrics
from sardinestair.platform.tests.test_deploy import load_template
from sardinestair.settings import SidecarSettings, parse_tree
from sardinestair.sidecar.link_server import LinkServer
from sardinestair.tests.fakes import FakeContext, FakeSocket, FakeUpstream
from sardinestair.upstreams import Announcement

ENTRY = Incarnation(b"e" * 16)
CAPACITY = Resources(16000, 65536, 0)
# What control may cost a node; the announcements take part of it.
MAX_BYTES_PER_S = 8000
# ZeroMQ header, and headers of a TCP segment and of its acknowledgement.
FRAME_OVERHEAD_BYTES = 2 + 40 + 40
STEP_S = 0.01


def make_idle_link(server, timing, clock):
    dispatcher = Dispatcher(ENTRY, "z", clock, Metrics(), FakeContext(), timing)
    dispatcher.configure(parse_tree("services: {quotes: {}}").ok)
    link = dispatcher.handle_announcement(server.description())
    assert link is not None
    return link


def measure_idle_bytes_per_s(timing, duration_s=20.0):
    """Returns the bytes that an idle link transfers, both ways."""
    clock = ManualClock()
    clock.advance(100.0)
    server = LinkServer(
        "tcp://127.0.0.1:*", "z", Incarnation(b"s" * 16), clock, Metrics(),
        FakeContext(), timing,
    )  # fmt: skip
    server.announce(
        Announcement("quotes", "http://127.0.0.1:1", 8, 300, capacity=CAPACITY)
    )
    server.availability.caller = FakeUpstream([])
    link = make_idle_link(server, timing, clock)
    socket = FakeSocket()
    link.open_epoch(socket)
    total = 0
    for _ in range(round(duration_s / STEP_S)):
        clock.advance(STEP_S)
        link.flush(socket)
        for data in socket.take_sent():
            total += len(data) + FRAME_OVERHEAD_BYTES
            frame = msgspec.msgpack.decode(data, type=EntryFrame)
            server._handle_frame(b"route", frame)
        server._tick()
        server._allocate_credits()
        server._flush()
        for _, data in server.socket.take_sent():
            total += len(data) + FRAME_OVERHEAD_BYTES
            socket.inbox.append(data)
        link.receive(socket)
        assert not link.is_silent()
    return total / duration_s


# Guards against frequent frames on links without work: with the entries and
# sidecars of a large deployment they took most of the processor time.
def test_idle_links_of_a_sidecar_stay_within_the_network_share():
    settings = load_template("sidecar.yaml", SidecarSettings)
    bytes_per_s = measure_idle_bytes_per_s(settings.link)
    assert settings.max_entries * bytes_per_s <= MAX_BYTES_PER_S
