"""Administration requests that would cost far more memory once decoded."""

import msgspec
import pytest

from sardinestair.entry.admin import AdminApi
from sardinestair.entry.tests.harness import Entry
from sardinestair.observability import EventLog
from sardinestair.web import Headers, Request, WebApp

TREE_PATH = "/admin/v1/settings/apply"


class FakeWriter:
    def __init__(self):
        self.applied = []

    def apply(self, tree, *_arguments):
        self.applied.append(tree)
        raise AssertionError("a tree that is too large was applied")


@pytest.fixture
def api():
    return AdminApi(Entry(max_attempts=1).dispatcher, FakeWriter(), lambda: 1)


@pytest.fixture
def app(api):
    return WebApp(api.rules(), 8 << 20, EventLog("test"))


def test_tree_of_too_many_nodes_is_refused_before_it_is_decoded(api):
    """A tree of 8 MB took 1.3 GB and 7 s."""
    nodes = b",".join(b'"s%d":{}' % number for number in range(4096))
    body = b'{"services":{' + nodes + b"}}"
    request = Request("POST", TREE_PATH, Headers(), body)
    response = api.apply(request)
    assert response.status == 413
    assert msgspec.json.decode(response.body)["not_run"]
    assert not api.writer.applied


@pytest.mark.parametrize(
    ("method", "path", "limit_bytes"),
    [
        ("POST", TREE_PATH, 1 << 20),
        ("PATCH", "/admin/v1/settings", 64 << 10),
        ("GET", "/admin/v1/settings", 0),
    ],
)
def test_administration_has_limits_of_its_own(app, method, path, limit_bytes):
    request = Request(method, path, Headers())
    handler, _ = app.find(method, path)
    assert app.body_limit(request, handler) == limit_bytes
