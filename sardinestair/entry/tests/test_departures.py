"""Tests that disconnects are detected, and of the right caller only."""

import select
import socket
import threading
from concurrent.futures import ThreadPoolExecutor

import pytest

from sardinestair.entry.departures import DisconnectWatcher


@pytest.fixture
def pair():
    ours, theirs = socket.socketpair()
    yield ours, theirs
    ours.close()
    theirs.close()


@pytest.fixture
def watcher():
    watcher = DisconnectWatcher()
    yield watcher
    watcher.wakeup.close()


class StalePoller:
    """Reports a stale event of a connection closed since, then polls."""

    def __init__(self, poller, descriptor):
        self.poller = poller
        self.stale = [(descriptor, select.EPOLLRDHUP | select.EPOLLHUP)]

    def poll(self, timeout_s):
        stale, self.stale = self.stale, []
        return stale or self.poller.poll(timeout_s)

    def unregister(self, descriptor):
        self.poller.unregister(descriptor)


def test_open_connection_is_not_reported(watcher, pair):
    left = []
    watcher.watch(pair[0], lambda: left.append(True))
    assert watcher.poll_once(0.0) == 0
    assert left == []


def test_disconnect_is_reported_once(watcher, pair):
    left = []
    watcher.watch(pair[0], lambda: left.append(True))
    pair[1].close()
    assert watcher.poll_once(1.0) == 1
    assert watcher.poll_once(0.0) == 0
    assert left == [True]


def test_stale_event_does_not_affect_the_next_caller(watcher, pair):
    """The next caller may reuse a closed descriptor before its event."""
    left = []
    watcher.watch(pair[0], lambda: left.append(True))
    watcher.poller = StalePoller(watcher.poller, pair[0].fileno())
    assert watcher.poll_once(0.0) == 0
    assert left == []


def test_unwatched_connection_is_not_reported(watcher, pair):
    left = []
    watcher.watch(pair[0], lambda: left.append(True))
    watcher.unwatch(pair[0])
    pair[1].close()
    assert watcher.poll_once(0.0) == 0
    assert left == []


def test_connections_may_change_during_the_poll(watcher):
    """Connections are added, removed and closed during the poll."""
    left = threading.Event()
    with ThreadPoolExecutor(1) as threads:
        found = threads.submit(watcher.poll_once, 20.0)
        for _ in range(200):
            ours, theirs = socket.socketpair()
            watcher.watch(ours, lambda: None)
            watcher.unwatch(ours)
            ours.close()
            theirs.close()
        ours, theirs = socket.socketpair()
        watcher.watch(ours, left.set)
        theirs.close()
        assert found.result(20.0) == 1
        ours.close()
    assert left.is_set()
    assert not watcher.wakeup.wait(0.0)


def test_departure_before_the_watch_is_visible(watcher, pair):
    assert not watcher.has_left(pair[0])
    pair[1].close()
    assert watcher.has_left(pair[0])
