"""Generates docs/SETTINGS.md from the settings structs.

Run `python -m sardinestair.settings.reference > docs/SETTINGS.md` after a
change of a struct or its docstring; a test checks that the page is up to date.
"""

import inspect
import re
from typing import Any

import msgspec

from sardinestair.links.limits import LinkLimits
from sardinestair.links.timing import LinkTiming
from sardinestair.settings.process import (
    Address,
    EntryPlatform,
    EntrySettings,
    SidecarPlatform,
    SidecarSettings,
    StoreSettings,
)
from sardinestair.settings.tree import Overrides, ServiceSettings, TeamNode
from sardinestair.web.limits import HttpLimits

__all__ = ["make_reference"]

_INTRODUCTION = """\
# Settings

This page is generated from the code: see `sardinestair.settings.reference`.

## The settings tree

`sardinestairctl settings` changes the tree; `sardinestairctl check FILE`
validates a file offline. The levels are root, service, availability zone and
kind of job. Each node sets under `set` only the values that it overrides and
inherits the others. The zone or kind `*` is a wildcard; the node with the
exact name overrides it. `teams` at the root sets the limits of teams.

    set: {deadline_s: 30}
    services:
      quotes:
        set: {deadline_s: 10}
        zones:
          leinster:
            kinds:
              payout:
                set: {deadline_s: 20}
    teams:
      tills: {tasks_per_s: 500}
"""

_PROCESS_INTRODUCTION = """\

## Processes

Each process reads one YAML file; `--check` validates it. Environment variables
override the address and the availability zone: `SARDINESTAIR_HOST`,
`SARDINESTAIR_HTTP_PORT`, `SARDINESTAIR_LINK_PORT`, `SARDINESTAIR_ZONE`.
Two more set limits, if they are not empty: `SARDINESTAIR_MEMORY_MB` for
`memory_mb`, and `SARDINESTAIR_REMOTE_FACTOR` for `platform.remote_factor`.
"""


def make_reference() -> str:
    """Returns the page as Markdown.

    Examples:
        >>> "| `deadline_s` |" in make_reference()
        True
    """
    parts = [
        _INTRODUCTION,
        _table("`set` of a node", ServiceSettings, Overrides),
    ]
    parts.append(_table("Limits of a team", TeamNode, TeamNode))
    parts.append(_PROCESS_INTRODUCTION)
    for title, struct_type in (
        ("Entry", EntrySettings),
        ("Sidecar", SidecarSettings),
        ("`address`", Address),
        ("`store`", StoreSettings),
        ("`http`", HttpLimits),
        ("`link`", LinkTiming),
        ("`link_limits`", LinkLimits),
        ("`platform` of an entry", EntryPlatform),
        ("`platform` of a sidecar", SidecarPlatform),
    ):
        parts.append(_table(title, struct_type, struct_type))
    return "\n".join(parts)


def _table(title: str, documented: type, constrained: type) -> str:
    """Returns a table of a struct's fields.

    Args:
        title: Heading of the table.
        documented: Struct with the descriptions and defaults.
        constrained: Struct with the constraints of the same fields.
    """
    descriptions = _descriptions(documented)
    types = {f.name: f.type for f in msgspec.structs.fields(constrained)}
    rows = [
        f"| `{field.name}` | {_default(field)} "
        f"| {_constraints(types[field.name])} "
        f"| {descriptions.get(field.name, '')} |"
        for field in msgspec.structs.fields(documented)
    ]
    header = (
        "| name | default | constraint | description |\n"
        "| --- | --- | --- | --- |"
    )
    return "\n".join([f"### {title}\n", header, *rows, ""])


def _descriptions(struct_type: type) -> dict[str, str]:
    """Returns the description of each attribute from a class's docstring."""
    text = inspect.getdoc(struct_type) or ""
    section = text.partition("Attributes:\n")[2].partition("\n\n")[0]
    found: dict[str, str] = {}
    for line in section.splitlines():
        start = re.match(r" {4}(\w+): (.*)", line)
        if start:
            name = start.group(1)
            found[name] = start.group(2)
        elif found:
            found[name] += " " + line.strip()
    return found


def _default(field: Any) -> str:
    if field.default is not msgspec.NODEFAULT:
        value = getattr(field.default, "value", field.default)
        return f"`{value}`"
    if field.default_factory is not msgspec.NODEFAULT:
        value = field.default_factory()
        return (
            "see below" if isinstance(value, msgspec.Struct) else f"`{value}`"
        )
    return "required"


def _constraints(type_: Any) -> str:
    """Returns the constraints of a type, such as `number > 0, <= 3600`."""
    schema = msgspec.json.schema(type_)
    options = schema.get("anyOf", [schema])
    options = [o for o in options if o.get("type") != "null"]
    schema = options[0] if options else schema
    if "$ref" in schema:
        name = schema["$ref"].rpartition("/")[2]
        schema = msgspec.json.schema(type_)["$defs"][name]
    if "enum" in schema:
        return ", ".join(f"`{value}`" for value in schema["enum"])
    operators = {
        "minimum": ">=",
        "exclusiveMinimum": ">",
        "maximum": "<=",
        "exclusiveMaximum": "<",
    }
    bounds = [f"{s} {schema[k]:g}" for k, s in operators.items() if k in schema]
    return " ".join([str(schema.get("type", "")), ", ".join(bounds)]).strip()


if __name__ == "__main__":
    print(make_reference(), end="")
