"""Fixtures that several folders of tests share."""

import pytest

from sardinestair.standins import StoreStandin


@pytest.fixture(scope="module")
def standin():
    """A stand-in of the platform's key-value service."""
    standin = StoreStandin()
    standin.start()
    yield standin
    standin.stop()
