"""Structured logs: one line of key=value pairs for each event."""

import logging
import sys
import time
from collections.abc import Mapping
from typing import Any, TextIO

from pythonjsonlogger.core import RESERVED_ATTRS
from pythonjsonlogger.json import JsonFormatter

__all__ = ["EventLog", "configure_logging", "serialize_key_values"]

_FIELDS = "%(asctime)s %(levelname)s %(message)s"
_RENAMED = {"asctime": "time", "levelname": "level", "message": "event"}
_QUOTED_CHARACTERS = (" ", '"', "=", "\n", "\r", "\t")


def _format_value(value: Any) -> str:
    if value is None:
        return "none"
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, float):
        return f"{value:.6g}"
    text = str(value)
    if text and not any(c in text for c in _QUOTED_CHARACTERS):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    escaped = escaped.replace("\n", "\\n").replace("\r", "\\r")
    return '"' + escaped.replace("\t", "\\t") + '"'


def serialize_key_values(record: Mapping[str, Any], **_options: Any) -> str:
    r"""Writes a log record as key=value pairs.

    Args:
        record: The fields in their order.
        **_options: Options of a JSON serializer, ignored.

    Returns:
        One line; values that hold spaces, quotes or control characters are
        quoted and escaped.

    Examples:
        >>> serialize_key_values({"event": "job_failed", "reason": "no slot"})
        'event=job_failed reason="no slot"'
        >>> serialize_key_values({"a": "x\ny", "ok": True})
        'a="x\\ny" ok=true'
    """
    return " ".join(f"{k}={_format_value(v)}" for k, v in record.items())


def configure_logging(
    level: str = "INFO", stream: TextIO | None = None
) -> None:
    """Sends the package's events to a stream.

    Args:
        level: Name of the lowest level that is written.
        stream: Where to, standard error if not given.
    """
    handler = logging.StreamHandler(stream or sys.stderr)
    formatter = JsonFormatter(
        _FIELDS,
        rename_fields=_RENAMED,
        json_serializer=serialize_key_values,
        reserved_attrs=[*RESERVED_ATTRS, "taskName"],
    )
    formatter.default_msec_format = "%s.%03d"
    formatter.converter = time.gmtime
    handler.setFormatter(formatter)
    logger = logging.getLogger("sardinestair")
    logger.handlers[:] = [handler]
    logger.setLevel(level)
    logger.propagate = False


class EventLog:
    """Writes events with fields that all events of a component share.

    Args:
        component: Name of the component, part of the logger's name.
        **fields: Fields added to each event.
    """

    def __init__(self, component: str, **fields: Any):
        self.logger = logging.getLogger(f"sardinestair.{component}")
        self.fields = fields

    def bind(self, **fields: Any) -> "EventLog":
        """Returns a log that adds more fields to each event."""
        bound = EventLog("", **{**self.fields, **fields})
        bound.logger = self.logger
        return bound

    def debug(self, event: str, **fields: Any) -> None:
        """Writes an event of interest to developers."""
        self._write(logging.DEBUG, event, fields)

    def info(self, event: str, **fields: Any) -> None:
        """Writes an event of normal operation."""
        self._write(logging.INFO, event, fields)

    def warning(self, event: str, **fields: Any) -> None:
        """Writes an event that an operator may want to look at."""
        self._write(logging.WARNING, event, fields)

    def error(self, event: str, **fields: Any) -> None:
        """Writes an event that an operator must look at."""
        self._write(logging.ERROR, event, fields)

    def _write(self, level: int, event: str, fields: dict[str, Any]) -> None:
        if self.logger.isEnabledFor(level):
            self.logger.log(level, event, extra={**self.fields, **fields})
