"""Which entries learn that an upstream has crashed, and when it has not."""

import msgspec

from sardinestair.ids import Incarnation
from sardinestair.messages import (
    CrashReport,
    EntryFrame,
    Outcome,
    Resume,
    SidecarFrame,
    TaskState,
)
from sardinestair.sidecar.tests.harness import (
    ANNOUNCEMENT,
    SIDECAR,
    FakeEntry,
    ref,
)
from sardinestair.upstreams.caller import CallResult

OTHER = Incarnation(b"o" * 16)
CRASHED = CallResult(
    TaskState.INTERRUPTED, b"crashed", False, 0.01, has_crashed=True
)


def crash(entry):
    """Lets the upstream crash under a task; returns the sidecar's frames."""
    entry.start()
    entry.upstream.run = lambda _ref, _may_start: CRASHED
    entry.upstream.waiting.popleft()()
    entry.server._flush()
    return [
        (route, msgspec.msgpack.decode(data, type=SidecarFrame))
        for route, data in entry.server.socket.take_sent()
    ]


def messages_to(frames, route):
    return [m for to, frame in frames if to == route for m in frame.messages]


# Guards against an entry that starts a crashing task anew after the entry that
# had started it was lost.
def test_crash_is_reported_to_all_entries():
    entry = FakeEntry()
    frame = EntryFrame(OTHER, 1, 1, [Resume(SIDECAR, [])], 0.0)
    entry.server._handle_frame(b"other", frame)
    frames = crash(entry)
    outcomes = [m for m in messages_to(frames, b"r") if isinstance(m, Outcome)]
    assert [(o.task, o.has_crashed) for o in outcomes] == [(ref(), True)]
    assert CrashReport(ref(), 0.01) in messages_to(frames, b"other")


def test_end_of_an_upstream_that_was_leaving_is_no_crash():
    entry = FakeEntry()
    entry.start()
    entry.server.leave()
    entry.upstream.run = lambda _ref, _may_start: CRASHED
    entry.upstream.waiting.popleft()()
    outcomes = [m for m in entry.iterate() if isinstance(m, Outcome)]
    assert [(m.state, m.has_crashed) for m in outcomes] == [
        (TaskState.INTERRUPTED, False)
    ]


def test_upstream_that_left_while_it_was_unreachable_is_leaving():
    entry = FakeEntry()
    entry.server.report_upstream_lost()
    assert not entry.server.leave()  # It served no more.
    entry.start()
    assert not entry.upstream.waiting
    entry.server.announce(ANNOUNCEMENT)
    entry.iterate()
    entry.start()
    assert entry.upstream.waiting


def test_entry_of_an_earlier_version_reads_a_crash():
    """Programs of two versions exchange frames during an upgrade."""

    class EarlierOutcome(msgspec.Struct, array_like=True, tag="o"):
        task: list
        state: str
        body: bytes
        is_json: bool
        run_s: float

    outcome = Outcome(ref(), TaskState.INTERRUPTED, b"", False, 0.1, True)
    data = msgspec.msgpack.encode(outcome)
    earlier = msgspec.msgpack.decode(data, type=EarlierOutcome)
    assert earlier.state == "interrupted"
    data = msgspec.msgpack.encode(earlier)
    assert not msgspec.msgpack.decode(data, type=Outcome).has_crashed
