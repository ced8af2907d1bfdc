"""Requests that arrive while an entry starts, and its shutdown."""

import http.client
import socket
from concurrent.futures import ThreadPoolExecutor

import pytest

from sardinestair.entry import platform_process, process
from sardinestair.entry.platform_process import PlatformEntryProcess
from sardinestair.launch import LaunchContext
from sardinestair.observability import StartStep
from sardinestair.platform.tests.standins import StoreServer
from sardinestair.platform.tests.test_wire import CONFIGURATION
from sardinestair.settings import EntrySettings, SidecarSettings
from sardinestair.settings.process import (
    Address,
    EntryPlatform,
    SidecarPlatform,
)
from sardinestair.sidecar.platform_process import PlatformSidecarProcess

WAIT_S = 20


@pytest.fixture
def store():
    store = StoreServer()
    store.http.start()
    yield store
    store.http.stop()


@pytest.fixture
def wait_s(request, monkeypatch):
    monkeypatch.setattr(platform_process, "CONFIGURATION_WAIT_S", request.param)


@pytest.fixture
def entry(store, wait_s):
    listener = socket.create_server(("127.0.0.1", 0))
    platform = EntryPlatform(
        store.address,
        f"127.0.0.1:{listener.getsockname()[1]}",
        "127.0.0.1:0",
        leave_s=0.0,
    )
    settings = EntrySettings(
        Address(http_port=0, link_port=0),
        "z",
        drain_timeout_s=0.1,
        platform=platform,
    )
    entry = PlatformEntryProcess(
        settings, launched=LaunchContext(0.0, listener)
    )
    with ThreadPoolExecutor(1) as starter:
        started = starter.submit(entry.start)
        entry.started = started
        yield entry
        started.result(WAIT_S)
        if not entry.stopping.is_set():
            entry.stop()


def request_status(entry):
    """Requests a queue that is not configured; returns the status."""
    port = entry.client_server.listener.getsockname()[1]
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=WAIT_S)
    connection.request("GET", "/nowhere/", headers={"Host": "x.example"})
    status = connection.getresponse().status
    connection.close()
    return status


@pytest.mark.parametrize("wait_s", [WAIT_S], indirect=True)
def test_client_waits_for_the_configuration(entry, store):
    with ThreadPoolExecutor(1) as callers:
        status = callers.submit(request_status, entry)
        store.put("op/config", CONFIGURATION)
        assert status.result(WAIT_S) == 404


@pytest.mark.parametrize("wait_s", [0.1], indirect=True)
def test_client_gets_503_without_a_configuration(entry):
    assert request_status(entry) == 503


class FakeTime:
    """Adds up the time spent sleeping."""

    def __init__(self):
        self.slept_s = 0.0

    def sleep(self, seconds):
        self.slept_s += seconds


@pytest.mark.parametrize("wait_s", [0.0], indirect=True)
def test_idle_entry_stops_once_the_load_balancer_has_reacted(
    entry, monkeypatch
):
    """In a rolling restart, the first entry is back before the last stops."""
    entry.started.result(WAIT_S)
    time = FakeTime()
    for module in (process, platform_process):
        monkeypatch.setattr(module, "time", time)
    entry.platform.leave_s = 2.5
    entry.stop()
    assert time.slept_s == 2.5 + process.ACCEPT_BACKLOG_DRAIN_S


@pytest.mark.parametrize("wait_s", [0.0], indirect=True)
def test_entry_records_the_steps_of_its_start(entry):
    entry.started.result(WAIT_S)
    assert list(entry.start_times.after_s) == [
        StartStep.LOADED,
        StartStep.SERVING,
    ]


# Guards against credits that wait for the next periodic check of the links.
def test_sidecar_serves_its_links_once_no_earlier_run_is_left(store):
    settings = SidecarSettings(
        [],
        Address(http_port=0, link_port=0),
        "z",
        platform=SidecarPlatform(store.address, "127.0.0.1:9", "127.0.0.1:0"),
    )
    sidecar = PlatformSidecarProcess(settings)
    woken = []
    sidecar.server.wake = lambda: woken.append(True)
    sidecar.runner.orphans.on_none_left()
    assert woken == [True]
    assert StartStep.CLEAR in sidecar.start_times.after_s
    sidecar.start()
    sidecar.stop()
