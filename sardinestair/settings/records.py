"""Stores the settings tree as records: one for the root, one per service."""

import datetime

import msgspec

from sardinestair.settings.tree import (
    Overrides,
    RouteNode,
    ServiceNode,
    SettingsTree,
    TeamNode,
)
from sardinestair.store.port import ABSENT_REVISION, Snapshot, Swap

__all__ = ["Change", "Record", "VersionedTree", "decode_tree", "swaps_between"]

SETTINGS_PREFIX = "settings/"
ROOT_KEY = "settings/root"
SERVICE_PREFIX = "settings/services/"
MAX_CHANGES_PER_RECORD = 30


class Change(msgspec.Struct, frozen=True):
    """An accepted change of one record.

    Attributes:
        change_id: Random id; shows whether a write whose answer was lost took
            effect.
        author: Author of the change.
        time: Time of the change, in UTC.
        difference: Changed values, one line per value.
    """

    change_id: str
    author: str
    time: datetime.datetime
    difference: list[str]


class Record(msgspec.Struct, frozen=True):
    """Value of a settings key.

    Attributes:
        node: Node of the service, or the root's overrides as `set`.
        deleted: True if the service was deleted. The record stays as a
            tombstone so that the highest revision of all keys never
            decreases.
        changes: Latest changes, oldest first.
        teams: Limits of teams; only in the root's record.
        routes: Routes; only in the root's record.
    """

    node: ServiceNode
    deleted: bool
    changes: list[Change]
    teams: dict[str, TeamNode] = {}
    routes: dict[str, RouteNode] = {}


class VersionedTree(msgspec.Struct, frozen=True):
    """A consistent snapshot of the settings tree.

    Attributes:
        tree: The settings tree.
        revision: Highest revision of all its keys, 0 for an empty store.
        revisions: Revision by key.
        records: Record by key.
    """

    tree: SettingsTree
    revision: int
    revisions: dict[str, int]
    records: dict[str, Record]


def decode_tree(snapshot: Snapshot) -> VersionedTree:
    """Decodes the settings tree from its records.

    Args:
        snapshot: All keys with the settings prefix.

    Examples:
        >>> decode_tree(Snapshot(7, [])).revision
        0
    """
    records = {
        item.key: msgspec.json.decode(item.value, type=Record)
        for item in snapshot.items
    }
    revisions = {item.key: item.revision for item in snapshot.items}
    root = records.get(ROOT_KEY)
    services = {
        key.removeprefix(SERVICE_PREFIX): record.node
        for key, record in records.items()
        if key.startswith(SERVICE_PREFIX) and not record.deleted
    }
    tree = SettingsTree(
        root.node.set if root else Overrides(),
        services,
        root.teams if root else {},
        root.routes if root else {},
    )
    revision = max(revisions.values(), default=0)
    return VersionedTree(tree, revision, revisions, records)


def swaps_between(
    current: VersionedTree, desired: SettingsTree, change: Change
) -> list[Swap]:
    """Returns the writes that turn the current tree into the desired one.

    Args:
        current: Current tree; each write requires its key to be unchanged
            since.
        desired: New tree.
        change: Entry for the history of each changed record.
    """
    root = Record(
        ServiceNode(set=desired.set), False, [], desired.teams, desired.routes
    )
    records = {ROOT_KEY: root}
    for service, node in desired.services.items():
        records[SERVICE_PREFIX + service] = Record(node, False, [])
    for key, record in current.records.items():
        if key not in records and not record.deleted:
            records[key] = Record(ServiceNode(), True, [])
    return [
        _make_swap(current, key, record, change)
        for key, record in records.items()
        if _differs(current.records.get(key), record)
    ]


def _differs(old: Record | None, new: Record) -> bool:
    """Compares two records without their history."""
    return old is None or msgspec.structs.replace(old, changes=[]) != new


def _make_swap(
    current: VersionedTree, key: str, record: Record, change: Change
) -> Swap:
    old = current.records.get(key)
    history = [*old.changes, change] if old else [change]
    record = msgspec.structs.replace(
        record, changes=history[-MAX_CHANGES_PER_RECORD:]
    )
    expected = current.revisions.get(key, ABSENT_REVISION)
    return Swap(key, msgspec.json.encode(record), expected)
