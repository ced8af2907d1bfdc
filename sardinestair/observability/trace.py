"""Collects the log lines of many processes that concern one request."""

import datetime
import re
from collections.abc import Iterable, Iterator

import msgspec

__all__ = ["LogLine", "parse_lines", "trace_request"]

_PAIR = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')
_REQUIRED_FIELDS = frozenset({"time", "level", "event"})
_WARNING_LEVELS = frozenset({"WARNING", "ERROR", "CRITICAL"})
# Warnings this long before and after a request's own lines may explain them.
CONTEXT_BEFORE = datetime.timedelta(seconds=2)
CONTEXT_AFTER = datetime.timedelta(milliseconds=200)


class LogLine(msgspec.Struct, frozen=True):
    """A parsed log line.

    Attributes:
        time: When it was written, in UTC.
        source: Name of the log file.
        level: The log level.
        event: Name of the event.
        fields: All other fields in the order of the line.
    """

    time: datetime.datetime
    source: str
    level: str
    event: str
    fields: dict[str, str]


def parse_lines(lines: Iterable[str], source: str) -> Iterator[LogLine]:
    """Parses log lines, ignoring any prefix that a log collector added.

    Args:
        lines: Lines of key=value pairs; other lines are skipped.
        source: Name of the log file.

    Yields:
        The lines that could be parsed, in the given order.

    Examples:
        >>> text = '1.5 vm-1 time="2026-01-02 03:04:05.678" level=INFO event=x'
        >>> next(parse_lines([text + " job=0a"], "vm-1")).fields
        {'job': '0a'}
    """
    for line in lines:
        pairs = {k: _unquote(v) for k, v in _PAIR.findall(line)}
        if not pairs.keys() >= _REQUIRED_FIELDS:
            continue
        try:
            time = datetime.datetime.strptime(
                pairs["time"], "%Y-%m-%d %H:%M:%S.%f"
            )
        except ValueError:
            continue  # Written by another program.
        fields = {k: v for k, v in pairs.items() if k not in _REQUIRED_FIELDS}
        yield LogLine(
            time.replace(tzinfo=datetime.UTC),
            source,
            pairs["level"],
            pairs["event"],
            fields,
        )


def trace_request(lines: Iterable[LogLine], job: str) -> list[LogLine]:
    """Returns the log lines that concern one request, ordered by time.

    Args:
        lines: Lines of all processes.
        job: Id of the request as its caller wrote it.

    Returns:
        The lines that name the request, and the warnings from around the same
        time that name no request, such as the loss of an upstream. Empty if no
        line names the request.
    """
    ordered = sorted(lines, key=lambda line: line.time)
    matching = [line for line in ordered if line.fields.get("job") == job]
    if not matching:
        return []
    start, end = (
        matching[0].time - CONTEXT_BEFORE,
        matching[-1].time + CONTEXT_AFTER,
    )
    return [
        line
        for line in ordered
        if line.fields.get("job") == job
        or (start <= line.time <= end and _is_unattributed_warning(line))
    ]


def _is_unattributed_warning(line: LogLine) -> bool:
    return line.level in _WARNING_LEVELS and "job" not in line.fields


def _unquote(text: str) -> str:
    if not text.startswith('"'):
        return text
    return text[1:-1].replace('\\"', '"').replace("\\\\", "\\")
