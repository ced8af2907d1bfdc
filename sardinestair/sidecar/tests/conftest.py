"""Fixtures of the tests of a sidecar."""

import pytest

from sardinestair.sidecar.tests.harness import FakeEntry


@pytest.fixture
def entry():
    """An entry with an open session at a sidecar with a leased upstream."""
    return FakeEntry()
