"""Fixtures shared by the tests of several packages."""

import pytest

from sardinestair.standins import StoreStandin


@pytest.fixture(scope="module")
def standin():
    """A running stand-in for the platform's key-value service."""
    standin = StoreStandin()
    standin.start()
    yield standin
    standin.stop()
