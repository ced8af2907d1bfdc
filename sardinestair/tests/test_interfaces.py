"""The design notes name all messages with their fields, each once."""

import re
from pathlib import Path

import msgspec
import pytest

from sardinestair import messages

NOTES = Path(__file__).parents[2] / "docs" / "design" / "README.md"
# Parts of messages, which the rows of the messages name.
PARTS = {"EvacuationView", "KindSlowdown", "TaskRef", "UpstreamStatus"}


def rows():
    lines = NOTES.read_text().splitlines()
    return [line for line in lines if line.startswith("| ")]


def fields():
    for name in messages.__all__:
        kind = getattr(messages, name)
        is_struct = isinstance(kind, type) and issubclass(kind, msgspec.Struct)
        if is_struct and name not in PARTS:
            for field in kind.__struct_fields__:
                yield name, field


@pytest.mark.parametrize(("message", "field"), list(fields()))
def test_field_is_named_once(message, field):
    naming = [
        row
        for row in rows()
        if re.search(rf"`{message}\b", row) and re.search(rf"[`.]{field}`", row)
    ]
    assert len(naming) == 1, naming


def test_fields_that_are_named_exist():
    named = re.findall(r"`([A-Z]\w+)\.(\w+)`", "\n".join(rows()))
    for name, field in named:
        kind = getattr(messages, name, None)
        if kind is not None:
            assert field in kind.__struct_fields__, (name, field)
