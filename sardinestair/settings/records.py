"""How the settings tree is kept in the store: a record for each node."""

import datetime

import msgspec

from sardinestair.settings.tree import (
    Overrides,
    RouteNode,
    ServiceNode,
    SettingsTree,
    TeamNode,
)
from sardinestair.store.port import ABSENT, Snapshot, Swap

__all__ = ["Change", "Record", "VersionedTree", "read_tree", "swaps_between"]

PREFIX = "settings/"
ROOT_KEY = "settings/root"
SERVICE_PREFIX = "settings/services/"
MAX_HISTORY = 30


class Change(msgspec.Struct, frozen=True):
    """An accepted change of one record.

    Attributes:
        change_id: Random id, by which a lost answer is settled.
        author: Who made it.
        time: When, in UTC.
        difference: What changed, a line for each value.
    """

    change_id: str
    author: str
    time: datetime.datetime
    difference: list[str]


class Record(msgspec.Struct, frozen=True):
    """The value of a settings key.

    Attributes:
        node: The service's node, or the root's overrides as `set`.
        deleted: True once the service is gone; the key stays, so that the
            highest revision of all keys never falls.
        changes: The latest changes, oldest first.
        teams: The teams' limits, in the root's record.
        routes: The routes, in the root's record.
    """

    node: ServiceNode
    deleted: bool
    changes: list[Change]
    teams: dict[str, TeamNode] = {}
    routes: dict[str, RouteNode] = {}


class VersionedTree(msgspec.Struct, frozen=True):
    """The tree as of one moment.

    Attributes:
        tree: The tree.
        revision: Highest revision of all its keys, 0 for an empty store.
        revisions: Revision of each key.
        records: The record of each key.
    """

    tree: SettingsTree
    revision: int
    revisions: dict[str, int]
    records: dict[str, Record]


def read_tree(snapshot: Snapshot) -> VersionedTree:
    """Assembles the tree from its records.

    Args:
        snapshot: All keys with the settings prefix.

    Examples:
        >>> read_tree(Snapshot(7, [])).revision
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
    current: VersionedTree, wanted: SettingsTree, change: Change
) -> list[Swap]:
    """Returns the writes that turn the current tree into the wanted one.

    Args:
        current: The tree that the operator saw.
        wanted: The tree that the operator wants.
        change: Goes into the history of each changed record.
    """
    root = Record(
        ServiceNode(set=wanted.set), False, [], wanted.teams, wanted.routes
    )
    records = {ROOT_KEY: root}
    for service, node in wanted.services.items():
        records[SERVICE_PREFIX + service] = Record(node, False, [])
    for key, record in current.records.items():
        if key not in records and not record.deleted:
            records[key] = Record(ServiceNode(), True, [])
    return [
        _swap(current, key, record, change)
        for key, record in records.items()
        if _differs(current.records.get(key), record)
    ]


def _differs(old: Record | None, new: Record) -> bool:
    return old is None or msgspec.structs.replace(old, changes=[]) != new


def _swap(
    current: VersionedTree, key: str, record: Record, change: Change
) -> Swap:
    old = current.records.get(key)
    history = [*old.changes, change] if old else [change]
    record = msgspec.structs.replace(record, changes=history[-MAX_HISTORY:])
    expected = current.revisions.get(key, ABSENT)
    return Swap(key, msgspec.json.encode(record), expected)
