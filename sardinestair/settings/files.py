"""Loads YAML into validated types and reports errors with their position."""

import difflib
import re
from typing import Any, TypeVar

import msgspec
import yaml
from expression import Error, Ok, Result

from sardinestair.yaml_loader import YAML_LOADER

__all__ = ["SettingsError", "load_yaml", "parse_yaml"]

T = TypeVar("T")
_UNKNOWN_FIELD = re.compile(r"unknown field `([^`]*)`")
_ERROR_PATH = re.compile(r" - at `(?:key in )?\$([^`]*)`")


class SettingsError(msgspec.Struct, frozen=True):
    """An error in a settings file.

    Attributes:
        file: Name of the file.
        line: Line of the error, starting at 1.
        path: Path of the invalid value, such as `.address.host`, or empty.
        message: Description of the error.
    """

    file: str
    line: int
    path: str
    message: str

    def __str__(self) -> str:
        place = f" at {self.path}" if self.path else ""
        return f"{self.file}:{self.line}: {self.message}{place}"


def load_yaml(file: str, target_type: type[T]) -> Result[T, SettingsError]:
    """Loads a settings file.

    Args:
        file: Path of the file.
        target_type: Type to convert the content to.

    Returns:
        The settings, or the error with its position.
    """
    try:
        with open(file, encoding="utf-8") as stream:
            text = stream.read()
    except (OSError, UnicodeDecodeError) as error:
        return Error(SettingsError(file, 1, "", str(error)))
    return parse_yaml(text, target_type, file)


def parse_yaml(
    text: str, target_type: type[T], file: str = "<text>"
) -> Result[T, SettingsError]:
    r"""Parses settings from YAML text.

    Args:
        text: The YAML text.
        target_type: Type to convert the content to.
        file: File name for error messages.

    Returns:
        The settings, or the error with its position.

    Examples:
        >>> class Size(msgspec.Struct, forbid_unknown_fields=True):
        ...     width: int = 1
        >>> str(parse_yaml("a: 1\nwidht: 2", Size).error)
        '<text>:1: unknown key a'
        >>> str(parse_yaml("widht: 2", Size).error)
        '<text>:1: unknown key widht, did you mean width?'
    """
    try:
        data = _load(text)
        return Ok(msgspec.convert(data or {}, target_type))
    except yaml.MarkedYAMLError as error:
        line = error.problem_mark.line + 1 if error.problem_mark else 1
        return Error(SettingsError(file, line, "", str(error.problem)))
    except yaml.YAMLError as error:
        return Error(SettingsError(file, 1, "", str(error)))
    except msgspec.ValidationError as error:
        return Error(_to_settings_error(str(error), text, target_type, file))


def _load(text: str) -> Any:
    try:
        return yaml.load(text, Loader=YAML_LOADER)
    except yaml.YAMLError:
        # The slower loader gives better positions of errors.
        return yaml.safe_load(text)


def _to_settings_error(
    message: str, text: str, target_type: Any, file: str
) -> SettingsError:
    """Converts a msgspec validation message into an error with its line."""
    found = _ERROR_PATH.search(message)
    path = found.group(1) if found else ""
    description = _ERROR_PATH.sub("", message)
    unknown = _UNKNOWN_FIELD.search(message)
    if unknown:
        name = unknown.group(1)
        description = (
            f"unknown key {name}{_suggestion(name, target_type, path)}"
        )
        path = path + f".{name}" if path else ""
        key_path = path or f".{name}"
    else:
        key_path = path
    line = _find_line(yaml.compose(text), key_path)
    return SettingsError(file, line, path, description)


def _suggestion(name: str, target_type: Any, path: str) -> str:
    """Returns a hint with the field name closest to an unknown key, if any."""
    for key in re.findall(r"\.(\w+)|(\[\.\.\.\])", path):
        target_type = _child_type(target_type, key[0])
    names = getattr(target_type, "__struct_fields__", ())
    close = difflib.get_close_matches(name, names, n=1)
    return f", did you mean {close[0]}?" if close else ""


def _child_type(parent_type: Any, name: str) -> Any:
    """Returns the type of a field, or of the items if the name is empty."""
    if not name:
        arguments = getattr(parent_type, "__args__", (None,))
        return arguments[-1]
    fields = getattr(parent_type, "__struct_fields__", ())
    if name not in fields:
        return None
    child = msgspec.structs.fields(parent_type)[fields.index(name)].type
    options = [a for a in getattr(child, "__args__", ()) if a is not type(None)]
    is_optional = type(None) in getattr(child, "__args__", ())
    return options[0] if is_optional and options else child


def _find_line(node: yaml.Node | None, path: str) -> int:
    """Returns the line of the deepest part of a path that exists in the text.

    Args:
        node: Root of the YAML document.
        path: Path such as `.address.host` or `.entries[0]`.
    """
    if node is None:
        return 1
    parts = re.findall(r"\.([^.\[]+)|\[(\d+|\.\.\.)\]", path)
    return _find_deepest(node, [name or index for name, index in parts])[1] + 1


def _find_deepest(node: yaml.Node, parts: list[str]) -> tuple[int, int]:
    """Returns how many parts of a path exist and the line of the last one.

    The part `...` matches any key; the match with the deepest path wins.
    """
    line = node.start_mark.line
    if not parts:
        return 0, line
    children = _matching_children(node, parts[0])
    found = [
        (depth + 1, deepest if depth else child_line)
        for child_line, child in children
        for depth, deepest in [_find_deepest(child, parts[1:])]
    ]
    return max(found, key=lambda item: item[0], default=(0, line))


def _matching_children(
    node: yaml.Node, part: str
) -> list[tuple[int, yaml.Node]]:
    """Returns the children that match a part of a path, with their lines."""
    if isinstance(node, yaml.MappingNode):
        return [
            (key.start_mark.line, value)
            for key, value in node.value
            if part in ("...", key.value)
        ]
    if isinstance(node, yaml.SequenceNode):
        numbered = enumerate(node.value)
        return [
            (child.start_mark.line, child)
            for number, child in numbered
            if part in ("...", str(number))
        ]
    return []
