"""Evacuations that the operator writes reach entries and sidecars."""

import time

import pytest

from sardinestair.entry.platform_process import PlatformEntryProcess
from sardinestair.platform.tests.standins import StoreServer
from sardinestair.platform.tests.test_wire import CONFIGURATION
from sardinestair.settings import EntrySettings, SidecarSettings
from sardinestair.settings.process import (
    Address,
    EntryPlatform,
    SidecarPlatform,
)
from sardinestair.sidecar import platform_process
from sardinestair.sidecar.platform_process import PlatformSidecarProcess

WAIT_S = 10.0
KEY = "op/evacuate/z"


@pytest.fixture
def store():
    store = StoreServer()
    store.http.start()
    store.put("op/config", CONFIGURATION)
    yield store
    store.http.stop()


@pytest.fixture
def entry(store):
    platform = EntryPlatform(
        store.address, "127.0.0.1:0", "127.0.0.1:0", leave_s=0.0
    )
    settings = EntrySettings(
        Address(http_port=0, link_port=0),
        "z",
        drain_timeout_s=0.1,
        platform=platform,
    )
    entry = PlatformEntryProcess(settings)
    entry.start()
    yield entry
    entry.stop()


def wait_for(condition):
    limit_s = time.monotonic() + WAIT_S
    while not condition():
        assert time.monotonic() < limit_s
        time.sleep(0.01)


def test_entry_follows_the_operator(entry, store):
    store.put(KEY, b"{}")
    wait_for(lambda: entry.dispatcher.evacuations.zones == {"z"})
    store.remove(KEY)
    wait_for(lambda: not entry.dispatcher.evacuations.zones)


# Guards against an evacuation that is missed (rule EVAC): the store has dropped
# the history that a watch continues from.
def test_entry_reads_again_after_history_was_dropped(entry, store):
    store.compacted_revision = 1 << 40
    store.put(KEY, b"{}")
    wait_for(lambda: entry.dispatcher.evacuations.zones == {"z"})


def test_last_view_holds_while_the_store_is_down(entry, store):
    store.put(KEY, b"{}")
    wait_for(lambda: entry.dispatcher.evacuations.zones == {"z"})
    calls = len(store.calls)
    store.next_statuses = [503] * 5
    wait_for(lambda: len(store.calls) > calls + 4)
    assert entry.dispatcher.evacuations.zones == {"z"}


def test_undecodable_configuration_hides_no_evacuation(entry, store):
    store.put("op/config", b"\x00")
    store.put(KEY, b"{}")
    wait_for(lambda: entry.dispatcher.evacuations.zones == {"z"})


# Guards against starts in an evacuated zone (rule EVAC) while all entries are
# cut off from the store.
def test_sidecar_without_entries_follows_the_operator(store, monkeypatch):
    monkeypatch.setattr(platform_process, "STORE_POLL_INTERVAL_S", 0.05)
    settings = SidecarSettings(
        [],
        Address(http_port=0, link_port=0),
        "z",
        platform=SidecarPlatform(store.address, "127.0.0.1:9", "127.0.0.1:0"),
    )
    sidecar = PlatformSidecarProcess(settings)
    sidecar.start()
    try:
        store.put(KEY, b"{}")
        wait_for(lambda: sidecar.server.availability.is_evacuated)
        reads = [call for call in store.calls if "evacuate" in call]
        assert all("stale_ok=1" in call for call in reads)
        store.remove(KEY)
        # Confirmed by a read that is not stale.
        wait_for(lambda: not sidecar.server.availability.is_evacuated)
    finally:
        sidecar.stop()
