"""The operators' HTTP API for evacuations."""

import msgspec
import pytest
from expression import Ok

from sardinestair.entry.evacuations import EvacuationApi
from sardinestair.entry.tests.harness import Entry
from sardinestair.messages import EvacuationView
from sardinestair.observability import EventLog
from sardinestair.tests.fakes import send_request
from sardinestair.web import WebApp

PATH = "/admin/v1/evacuations"


class FakeWriter:
    def __init__(self):
        self.begun = []

    def begin(self, zone, author):
        self.begun.append((zone, author))
        return Ok(True)

    def end(self, zone):
        return Ok(zone == "z")


@pytest.fixture
def entry():
    return Entry(max_attempts=1)


def call(entry, writer, method, path):
    rules = EvacuationApi(entry.dispatcher, writer).rules()
    app = WebApp(rules, 1 << 16, EventLog("test"))
    response = send_request(app, method, path)
    return response.status, msgspec.json.decode(response.body)


def test_evacuation_counts_what_is_affected(entry):
    writer = FakeWriter()
    entry.submit(tasks=3)
    status, body = call(entry, writer, "PUT", f"{PATH}/z?author=ann")
    assert status == 200
    assert writer.begun == [("z", "ann")]
    assert body == {
        "zone": "z",
        "changed": True,
        "upstreams": 2,
        "running_tasks": 3,
    }


def test_end_of_an_evacuation_that_was_not_begun_changes_nothing(entry):
    _, body = call(entry, FakeWriter(), "DELETE", f"{PATH}/other")
    assert body["changed"] is False


def test_evacuated_zones_are_shown(entry):
    entry.dispatcher.observe_evacuations(EvacuationView(8, {"z": 7}))
    _, rows = call(entry, None, "GET", PATH)
    assert [row["zone"] for row in rows] == ["z"]


@pytest.mark.parametrize("method", ["PUT", "DELETE"])
def test_entry_without_a_store_refuses(entry, method):
    status, body = call(entry, None, method, f"{PATH}/z")
    assert status == 503
    assert body["not_run"]


def test_zone_with_an_impossible_name_is_refused(entry):
    status, _ = call(entry, FakeWriter(), "PUT", f"{PATH}/{'x' * 64}")
    assert status == 400
