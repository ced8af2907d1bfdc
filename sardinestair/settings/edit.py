"""Edits nodes of the settings tree and compares trees."""

import difflib
from typing import Any

import msgspec
from expression import Error, Ok, Result

from sardinestair.outcomes import Problem, ProblemKind
from sardinestair.settings.tree import (
    ROOT,
    KindNode,
    Overrides,
    ServiceNode,
    SettingsTree,
    ZoneNode,
)

__all__ = ["difference", "edit_node", "flatten"]

MAX_PATH_PARTS = 4


def flatten(tree: SettingsTree) -> dict[str, Any]:
    """Returns every value that the tree sets, by its path.

    Examples:
        >>> flatten(SettingsTree(set=Overrides(read_ahead=1)))
        {'root:read_ahead': 1}
    """
    flat = _flatten_overrides(ROOT, tree.set)
    for team, limits in tree.teams.items():
        for name, value in msgspec.to_builtins(limits).items():
            flat[f"{ROOT}:teams.{team}.{name}"] = value
    for route, target in tree.routes.items():
        for name, value in msgspec.to_builtins(target).items():
            flat[f"{ROOT}:routes.{route}.{name}"] = value
    for service, node in tree.services.items():
        path = f"{ROOT}/{service}"
        flat[path] = "present"
        flat.update(_flatten_overrides(path, node.set))
        for zone, zone_node in node.zones.items():
            flat.update(_flatten_overrides(f"{path}/{zone}", zone_node.set))
            for kind, kind_node in zone_node.kinds.items():
                flat.update(
                    _flatten_overrides(f"{path}/{zone}/{kind}", kind_node.set)
                )
    return flat


def difference(old: SettingsTree, new: SettingsTree) -> list[str]:
    """Returns the difference between two trees, one line per value.

    Examples:
        >>> difference(
        ...     SettingsTree(), SettingsTree(set=Overrides(read_ahead=1))
        ... )
        ['+ root:read_ahead = 1']
    """
    before, after = flatten(old), flatten(new)
    lines = []
    for path in sorted({*before, *after}):
        if path not in after:
            lines.append(f"- {path} = {before[path]}")
        elif path not in before:
            lines.append(f"+ {path} = {after[path]}")
        elif before[path] != after[path]:
            lines.append(f"~ {path} = {before[path]} -> {after[path]}")
    return lines


def edit_node(
    tree: SettingsTree, path: str, values: dict[str, Any], unset: list[str]
) -> Result[SettingsTree, Problem]:
    """Returns a copy of the tree with one node changed.

    Args:
        tree: The settings tree; not modified.
        path: Path of the node, such as `root/quotes/leinster`; the node is
            created if it does not exist.
        values: Values to set, by name.
        unset: Names of the values to inherit again.

    Returns:
        The changed copy, or the problem if the change is invalid.

    Examples:
        >>> changed = edit_node(
        ...     SettingsTree(), "root/quotes", {"read_ahead": 1}, []
        ... )
        >>> changed.ok.services["quotes"].set.read_ahead
        1
    """
    parts = path.strip("/").split("/")
    if parts[0] != ROOT or len(parts) > MAX_PATH_PARTS or "" in parts:
        message = "path must be root[/service[/zone[/kind]]]"
        return Error(_invalid(f"{message}, got {path!r}", "path"))
    copy = msgspec.json.decode(msgspec.json.encode(tree), type=SettingsTree)
    node = _find_or_create_node(copy, parts[1:])
    return _merge_overrides(node.set, values, unset).map(
        lambda overrides: _with_overrides(copy, node, overrides)
    )


def _with_overrides(tree: SettingsTree, node: Any, overrides: Overrides):
    node.set = overrides
    return tree


def _find_or_create_node(tree: SettingsTree, parts: list[str]) -> Any:
    node: Any = tree
    levels = [("services", ServiceNode), ("zones", ZoneNode)]
    levels.append(("kinds", KindNode))
    for name, (field, node_type) in zip(parts, levels, strict=False):
        node = getattr(node, field).setdefault(name, node_type())
    return node


def _merge_overrides(
    overrides: Overrides, values: dict[str, Any], unset: list[str]
) -> Result[Overrides, Problem]:
    merged = msgspec.to_builtins(overrides)
    merged.update(values)
    names = Overrides.__struct_fields__
    for name in [*values, *unset]:
        if name not in names:
            close = difflib.get_close_matches(name, names, n=1)
            hint = f", did you mean {close[0]}?" if close else ""
            return Error(_invalid(f"unknown setting {name}{hint}", name))
    for name in unset:
        merged.pop(name, None)
    try:
        return Ok(msgspec.convert(merged, Overrides))
    except msgspec.ValidationError as error:
        return Error(_invalid(str(error), None))


def _flatten_overrides(path: str, overrides: Overrides) -> dict[str, Any]:
    values = msgspec.to_builtins(overrides)
    return {f"{path}:{name}": value for name, value in values.items()}


def _invalid(message: str, field: str | None) -> Problem:
    return Problem(ProblemKind.INVALID, message, not_run=True, field=field)
