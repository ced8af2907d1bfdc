"""Callers that leave are told apart from those that came after them."""

import select
import socket

import pytest

from sardinestair.entry.departures import DepartureWatcher


@pytest.fixture
def pair():
    ours, theirs = socket.socketpair()
    yield ours, theirs
    ours.close()
    theirs.close()


@pytest.fixture
def watcher():
    watcher = DepartureWatcher()
    yield watcher
    watcher.wakeup.close()


class StalePoller:
    """Returns an event of a connection that has been closed since."""

    def __init__(self, poller, descriptor):
        self.poller = poller
        self.descriptor = descriptor

    def poll(self, _timeout_ms):
        return [(self.descriptor, select.POLLIN | select.POLLHUP)]

    def unregister(self, descriptor):
        self.poller.unregister(descriptor)


def test_caller_that_stays_is_not_reported(watcher, pair):
    left = []
    watcher.watch(pair[0], lambda: left.append(True))
    assert watcher.check(0.0) == 0
    assert left == []


def test_caller_that_leaves_is_reported_once(watcher, pair):
    left = []
    watcher.watch(pair[0], lambda: left.append(True))
    pair[1].close()
    assert watcher.check(1.0) == 1
    assert watcher.check(0.0) == 0
    assert left == [True]


def test_event_of_an_earlier_caller_does_not_hit_the_next(watcher, pair):
    """Descriptors are used again at once, and the next caller waits."""
    left = []
    watcher.watch(pair[0], lambda: left.append(True))
    watcher.poller = StalePoller(watcher.poller, pair[0].fileno())
    assert watcher.check(0.0) == 0
    assert left == []


def test_forgotten_caller_is_not_reported(watcher, pair):
    left = []
    watcher.watch(pair[0], lambda: left.append(True))
    watcher.forget(pair[0])
    pair[1].close()
    assert watcher.check(0.0) == 0
    assert left == []
