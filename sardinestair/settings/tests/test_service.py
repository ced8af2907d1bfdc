"""Settings changes with concurrent writers, lost answers and store outages."""

import threading

import pytest

from sardinestair.clock import ManualClock, SystemClock
from sardinestair.outcomes import ProblemKind
from sardinestair.settings import parse_tree
from sardinestair.settings.service import SettingsFollower, SettingsWriter
from sardinestair.standins import Faults
from sardinestair.store.etcd import EtcdStore
from sardinestair.store.port import Swap


@pytest.fixture
def store(standin, request):
    standin.faults = Faults()
    return EtcdStore([standin.address], f"/{request.node.name}/", 0.5)


@pytest.fixture
def writer(store):
    writer = SettingsWriter(store, SystemClock())
    tree = parse_tree("services: {quotes: {}}").ok
    assert writer.apply(tree, None, "first").is_ok()
    return writer


def test_change_of_an_outdated_revision_reports_the_difference(writer):
    seen = writer.read().ok.revision
    assert writer.edit("root", {"read_ahead": 1}, [], seen, "a").is_ok()
    conflict = writer.edit("root", {"read_ahead": 2}, [], seen, "b").error
    assert conflict.kind is ProblemKind.CONFLICT
    assert "root:read_ahead = 1 -> 2" in conflict.detail
    assert writer.read().ok.tree.set.read_ahead == 1


def test_one_of_two_concurrent_changes_wins(writer):
    seen = writer.read().ok.revision
    results = []

    def change(value):
        store = EtcdStore(writer.store.endpoints, writer.store.prefix, 5.0)
        own_writer = SettingsWriter(store, SystemClock())
        results.append(
            own_writer.edit("root", {"read_ahead": value}, [], seen, "x")
        )

    threads = [threading.Thread(target=change, args=(n,)) for n in (1, 2)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert sorted(result.is_ok() for result in results) == [False, True]


def test_lost_answer_is_resolved_by_the_change_id(standin, writer):
    standin.faults = Faults(lose_answers=1)
    applied = writer.edit("root", {"read_ahead": 3}, [], None, "a").ok
    assert applied.difference == ["+ root:read_ahead = 3"]
    history = writer.read().ok.records["settings/root"].changes
    assert [c.difference for c in history].count(applied.difference) == 1


def test_unavailable_store_is_reported_and_nothing_changes(standin, writer):
    standin.faults = Faults(down=True)
    problem = writer.edit("root", {"read_ahead": 3}, [], None, "a").error
    assert problem.kind is ProblemKind.UNAVAILABLE
    assert problem.not_run


@pytest.mark.parametrize(
    ("path", "values", "part"),
    [
        ("elsewhere", {}, "path must be"),
        ("root/a/b/c/d", {}, "path must be"),
        ("root", {"read_ahaed": 1}, "did you mean read_ahead?"),
        ("root", {"wait_margin": 5}, "<= 4.0"),
        ("root", {"deadline_s": 600}, "deadline_s must be <="),
    ],
)
def test_invalid_change_reports_the_violated_constraint(
    writer, path, values, part
):
    problem = writer.edit(path, values, [], None, "a").error
    assert problem.kind is ProblemKind.INVALID
    assert part in problem.detail


def test_deleted_service_does_not_lower_the_revision(writer):
    before = writer.read().ok.revision
    assert writer.apply(parse_tree("").ok, None, "a").is_ok()
    after = writer.read().ok
    assert after.revision > before
    assert after.tree.services == {}


def test_follower_reports_changes(writer, store):
    seen = []
    changed = threading.Event()

    def on_tree(revision, tree):
        seen.append((revision, tree))
        if tree.set.read_ahead == 9:
            changed.set()

    follower = SettingsFollower(store, on_tree)
    thread = threading.Thread(target=follower.run, daemon=True)
    thread.start()
    writer.edit("root", {"read_ahead": 9}, [], None, "a")
    assert changed.wait(10.0)
    revisions = [revision for revision, _ in seen]
    assert revisions == sorted(revisions)
    follower.stop()
    thread.join(5.0)


def test_reading_does_not_depend_on_the_clock(store):
    assert SettingsWriter(store, ManualClock()).read().ok.revision == 0


# Guards against one value in the store that ends all entries.
@pytest.mark.parametrize("value", [b"", b"{", b'{"node": 3}', b"[" * 100_000])
def test_unreadable_settings_leave_those_in_force(store, writer, value):
    adopted = []
    follower = SettingsFollower(store, lambda *tree: adopted.append(tree))
    assert follower.refresh().is_ok()
    snapshot = store.read("settings/").ok
    root = snapshot.items[0]
    assert store.commit([Swap(root.key, value, root.revision)]).ok.succeeded
    assert follower.refresh().is_ok()
    assert len(adopted) == 1
    refused = writer.edit("root", {"read_ahead": 1}, [], None, "a").error
    assert refused.kind is ProblemKind.UNAVAILABLE
    assert refused.not_run
