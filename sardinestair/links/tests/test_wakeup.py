"""Wakeups work in processes with many descriptors."""

import os

import pytest

from sardinestair.links.wakeup import Wakeup

SELECT_LIMIT = 1024


@pytest.fixture
def many_descriptors():
    opened = []
    while not opened or opened[-1] < SELECT_LIMIT:
        opened.append(os.open(os.devnull, os.O_RDONLY))
    yield
    for descriptor in opened:
        os.close(descriptor)


def test_wait_beyond_the_limit_of_select(many_descriptors):
    wakeup = Wakeup()
    assert wakeup.fileno() >= SELECT_LIMIT
    assert not wakeup.wait(0.0)
    wakeup.set()
    assert wakeup.wait(1.0)
    wakeup.close()
