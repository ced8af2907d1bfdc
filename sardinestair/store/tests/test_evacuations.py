"""Evacuations that operators write to the store of their own."""

import pytest

from sardinestair.clock import ManualClock
from sardinestair.membership.evacuation import EvacuationRegister, read_view
from sardinestair.standins import Faults
from sardinestair.store.etcd import EtcdStore
from sardinestair.store.evacuations import (
    EVACUATIONS_PREFIX,
    EvacuationFollower,
    EvacuationWriter,
)


@pytest.fixture
def store(standin, request):
    standin.faults = Faults()
    prefix = f"/{request.node.name}/"
    return EtcdStore([standin.address], prefix, timeout_s=0.5)


@pytest.fixture
def writer(store):
    return EvacuationWriter(store, ManualClock())


@pytest.fixture
def register():
    return EvacuationRegister()


@pytest.fixture
def follower(store, register):
    return EvacuationFollower(
        store, lambda s: register.observe(read_view(s, EVACUATIONS_PREFIX))
    )


def test_evacuation_begins_and_ends(writer, follower, register):
    assert writer.begin("munster", "ann").ok is True
    follower.refresh()
    assert register.zones == {"munster"}
    assert writer.end("munster").ok is True
    follower.refresh()
    assert register.zones == frozenset()


def test_repeated_requests_change_nothing(writer):
    assert writer.end("munster").ok is False
    writer.begin("munster", "ann")
    assert writer.begin("munster", "bob").ok is False


def test_zone_whose_name_begins_alike_is_not_affected(
    writer, follower, register
):
    writer.begin("munster", "ann")
    writer.begin("munster-2", "ann")
    writer.end("munster")
    follower.refresh()
    assert register.zones == {"munster-2"}


def test_last_view_holds_while_the_store_is_down(
    standin, writer, follower, register
):
    writer.begin("munster", "ann")
    follower.refresh()
    standin.faults = Faults(down=True)
    follower.refresh()
    assert register.zones == {"munster"}
    assert not writer.end("munster").error.not_run
