"""The client of the platform's store, against a stand-in."""

import pytest

from sardinestair.platform.operator import read_configuration
from sardinestair.platform.store import PlatformStore, to_key_values
from sardinestair.platform.tests.standins import StoreServer
from sardinestair.platform.tests.test_wire import CONFIGURATION
from sardinestair.platform.wire import StoreItem
from sardinestair.settings.service import SettingsFollower
from sardinestair.store.port import ABSENT_REVISION, StoreErrorKind, Swap
from sardinestair.store.registration import EntryRecord, Registration


@pytest.fixture
def server():
    server = StoreServer(page_size=3)
    server.http.start()
    yield server
    server.http.stop()


@pytest.fixture
def store(server):
    return PlatformStore(server.address)


def test_all_pages_are_read(server, store):
    for number in range(8):
        server.put(f"a/{number}", str(number).encode())
    server.put("b/0", b"other")
    items = store.read("a/").ok.items
    assert [item.value for item in items] == [b"%d" % n for n in range(8)]


def test_stale_read_is_requested(server, store):
    store.read("a/", may_be_stale=True)
    assert "stale_ok=1" in server.calls[0]


def test_swap_fails_if_the_key_has_changed(server, store):
    created = store.commit([Swap("a/1", b"x", ABSENT_REVISION)]).ok
    assert created.succeeded
    again = store.commit([Swap("a/1", b"y", ABSENT_REVISION)]).ok
    assert not again.succeeded
    assert again.current[0].value == b"x"
    revision = again.current[0].revision
    assert store.commit([Swap("a/1", None, revision)]).ok.succeeded
    assert store.read("a/").ok.items == []


def test_too_large_transaction_is_not_sent(server, store):
    swaps = [Swap(f"a/{n}", b"", ABSENT_REVISION) for n in range(33)]
    assert store.commit(swaps).error.kind is StoreErrorKind.NOT_DONE
    assert server.calls == []


def test_lease(server, store):
    lease = store.grant_lease(3).ok
    store.commit([Swap("a/1", b"x", ABSENT_REVISION, lease)])
    assert store.renew_lease(lease).ok is True
    store.revoke_lease(lease)
    assert store.renew_lease(lease).ok is False
    assert store.read("a/").ok.items == []


@pytest.mark.parametrize(
    ("status", "kind"),
    [
        (503, StoreErrorKind.NOT_DONE),
        (429, StoreErrorKind.NOT_DONE),
        (500, StoreErrorKind.UNKNOWN),
    ],
)
def test_kind_of_failed_write(server, store, status, kind):
    server.next_statuses = [status]
    assert store.commit([Swap("a", b"", ABSENT_REVISION)]).error.kind is kind


def test_old_keys_are_deleted_in_batches(server, store):
    for number in range(70):
        server.put(f"c/{number:03}", b"")
    assert store.delete_before("c/", "c/065").ok == 65
    assert len(server.items) == 5


def test_watch_reports_a_change(server, store):
    server.put("a/1", b"x")
    seen = []

    def on_change(revision):
        seen.append(revision)
        return not revision

    assert store.watch("a/", 1, on_change, 10.0, lambda: False).is_ok()
    assert seen == [server.revision]


def test_watch_of_a_compacted_revision_fails(server, store):
    server.compacted_revision = 100
    ended = store.watch("a/", 2, lambda _: True, 10.0, lambda: False)
    assert ended.is_error()


def test_follower_reads_a_change_that_its_watch_missed(server, store):
    seen = []
    follower = SettingsFollower(
        store, lambda revision, _tree: seen.append(revision), "op/config",
        read_configuration, 0.5,
    )  # fmt: skip
    assert follower.refresh().is_ok()
    assert seen == []
    server.put("op/config", CONFIGURATION)
    server.events.clear()  # The watch misses the change.
    follower.refresh()
    assert seen == [7]


def test_invalid_configuration_keeps_the_previous_one(server, store):
    seen = []
    follower = SettingsFollower(
        store, lambda revision, _tree: seen.append(revision), "op/config",
        read_configuration, 0.5,
    )  # fmt: skip
    server.put("op/config", CONFIGURATION)
    follower.refresh()
    server.put("op/config", b"\x00garbage")
    assert follower.refresh().is_ok()
    assert seen == [7]


def test_deleted_registration_is_restored(server, store):
    record = EntryRecord("e1", "10.0.0.1:7735", "http://10.0.0.1:7720")
    found = []
    registration = Registration(store, record, found.append)
    registration.renew()
    assert found[-1] == [record]
    server.remove("entries/e1")  # Its lease remains valid.
    registration.renew()
    registration.renew()
    assert found[-1] == [record]


def test_invalid_entry_record_is_skipped(server, store):
    server.put("entries/x", b"\xff")
    server.put("entries/y", b'{"entry": 3}')
    record = EntryRecord("e1", "10.0.0.1:7735", "http://10.0.0.1:7720")
    found = []
    Registration(store, record, found.append).renew()
    assert found[-1] == [record]


# Guards against one item in the store that ends each process that reads it.
def test_item_with_an_invalid_value_is_skipped():
    items = [StoreItem("a/1", "eA==", 5), StoreItem("a/2", "\u00e9!", 6)]
    assert [item.key for item in to_key_values(items)] == ["a/1"]


class RevisionSkew(StoreServer):
    """Changes between two pages of a read."""

    def read_range(self, request):
        reply = super().read_range(request)
        if "after" not in request.args:
            self.put("a/00", b"between pages")
        return reply


# Guards against an evacuated zone that counts as returned (rule EVAC): a key in
# an earlier page was written while a later one was read.
def test_revision_of_a_paged_read_is_that_of_its_first_page():
    server = RevisionSkew(page_size=3)
    server.http.start()
    for number in range(5):
        server.put(f"a/{number}", b"")
    first = server.revision
    assert PlatformStore(server.address).read("a/").ok.revision == first
    server.http.stop()
