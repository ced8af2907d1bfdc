"""Writes docs/SETTINGS.md from the schemas.

Run `python -m sardinestair.settings.reference > docs/SETTINGS.md` after a
change of a schema; a test compares the page.
"""

import inspect
import re
from typing import Any

import msgspec

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

__all__ = ["make_reference"]

_HEAD = """\
# Settings

This page is written from the schemas: see `sardinestair.settings.reference`.

## The tree

`sardinestairctl settings` changes it; `sardinestairctl check FILE` validates
a file offline. A node states only what it overrides, under `set`; the chain
is root, service, availability zone, kind of job. The zone or kind `*` stands
for all and comes before the one named exactly. `teams` at the root names the
teams that have limits.

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

_PROCESS_HEAD = """\

## Processes

Each process reads one YAML file; `--check` validates it. The environment
overrides the place: `SARDINESTAIR_HOST`, `SARDINESTAIR_HTTP_PORT`,
`SARDINESTAIR_LINK_PORT`, `SARDINESTAIR_ZONE`.
"""


def make_reference() -> str:
    """Returns the page.

    Examples:
        >>> "| `deadline_s` |" in make_reference()
        True
    """
    parts = [_HEAD, _table("A node's `set`", ServiceSettings, Overrides)]
    parts.append(_table("A team", TeamNode, TeamNode))
    parts.append(_PROCESS_HEAD)
    for title, kind in (
        ("Entry", EntrySettings),
        ("Sidecar", SidecarSettings),
        ("`address`", Address),
        ("`store`", StoreSettings),
        ("`link`", LinkTiming),
        ("`platform` of an entry", EntryPlatform),
        ("`platform` of a sidecar", SidecarPlatform),
    ):
        parts.append(_table(title, kind, kind))
    return "\n".join(parts)


def _table(title: str, documented: type, checked: type) -> str:
    descriptions = _descriptions(documented)
    rules = {f.name: f.type for f in msgspec.structs.fields(checked)}
    rows = [
        f"| `{field.name}` | {_default(field)} | {_rule(rules[field.name])} "
        f"| {descriptions.get(field.name, '')} |"
        for field in msgspec.structs.fields(documented)
    ]
    head = "| name | default | rule | meaning |\n| --- | --- | --- | --- |"
    return "\n".join([f"### {title}\n", head, *rows, ""])


def _descriptions(kind: type) -> dict[str, str]:
    """Returns what the doc comment says of each attribute."""
    text = inspect.getdoc(kind) or ""
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


def _rule(kind: Any) -> str:
    schema = msgspec.json.schema(kind)
    options = schema.get("anyOf", [schema])
    options = [o for o in options if o.get("type") != "null"]
    schema = options[0] if options else schema
    if "$ref" in schema:
        name = schema["$ref"].rpartition("/")[2]
        schema = msgspec.json.schema(kind)["$defs"][name]
    if "enum" in schema:
        return ", ".join(f"`{value}`" for value in schema["enum"])
    signs = {
        "minimum": ">=",
        "exclusiveMinimum": ">",
        "maximum": "<=",
        "exclusiveMaximum": "<",
    }
    bounds = [f"{s} {schema[k]:g}" for k, s in signs.items() if k in schema]
    return " ".join([str(schema.get("type", "")), ", ".join(bounds)]).strip()


if __name__ == "__main__":
    print(make_reference(), end="")
