"""Structured logs: one line of key=value pairs for each event."""

import atexit
import logging
import logging.handlers
import queue
import sys
import threading
import time
from collections.abc import Mapping
from typing import Any, TextIO

from pythonjsonlogger.core import RESERVED_ATTRS
from pythonjsonlogger.json import JsonFormatter

__all__ = [
    "BoundedHandler",
    "EventLog",
    "configure_logging",
    "flush_lines",
    "serialize_key_values",
]

# Lines that wait for a slow reader, about 1 MB.
MAX_LINES = 4000
# Longest wait for a reader when the process ends.
CLOSE_TIMEOUT_S = 1.0
# A line costs about 0.1 ms to write; this bounds it to a fiftieth of a core.
MAX_LINES_PER_S = 200
_FIELDS = "%(asctime)s %(levelname)s %(message)s"
_RENAMED = {"asctime": "time", "levelname": "level", "message": "event"}
_writers: list["LineWriter"] = []
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
) -> "LineWriter":
    """Sends the package's events to a stream.

    A thread of its own writes them, so that a reader that stops reading costs
    lines and never holds up a decision.

    Args:
        level: Name of the lowest level that is written.
        stream: Where to, standard error if not given.

    Returns:
        What writes the lines; it is closed when the process ends.
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
    bounded = BoundedHandler(MAX_LINES, MAX_LINES_PER_S)
    writer = LineWriter(bounded.lines_queue, handler)
    writer.start()
    _writers.append(writer)
    atexit.register(writer.close)
    logger = logging.getLogger("sardinestair")
    logger.handlers[:] = [bounded]
    logger.setLevel(level)
    logger.propagate = False
    return writer


def flush_lines() -> None:
    """Lets the last lines out before a process ends without its usual end."""
    for writer in _writers:
        writer.close()


class LineWriter:
    """Writes queued records in a thread of its own.

    Args:
        lines: The records; None ends the thread.
        handler: Writes them.

    Examples:
        >>> writer = LineWriter(queue.Queue(), logging.NullHandler())
        >>> writer.start()
        >>> writer.close()
        >>> writer.thread.is_alive()
        False
    """

    def __init__(
        self,
        lines: queue.Queue[logging.LogRecord | None],
        handler: logging.Handler,
    ):
        self.lines = lines
        self.handler = handler
        self.thread = threading.Thread(
            target=self._run, name="log", daemon=True
        )

    def start(self) -> None:
        """Starts the thread."""
        self.thread.start()

    def close(self) -> None:
        """Lets the last lines out, unless nobody reads them."""
        try:
            self.lines.put_nowait(None)
        except queue.Full:
            return
        self.thread.join(CLOSE_TIMEOUT_S)

    def _run(self) -> None:
        while (record := self.lines.get()) is not None:
            self.handler.handle(record)


class BoundedHandler(logging.handlers.QueueHandler):
    """Queues records, and leaves out what is too much.

    Lines that explain failures go before lines of normal operation: the
    latter may use only a part of what a second allows.

    Args:
        max_lines: Lines that may wait to be written.
        max_lines_per_s: Lines that may be queued in a second.

    Attributes:
        left_out: Lines left out since the last one that says so.

    Examples:
        >>> handler = BoundedHandler(max_lines=10, max_lines_per_s=4)
        >>> for number in range(6):
        ...     handler.emit(logging.makeLogRecord({"levelno": logging.INFO}))
        >>> handler.queue.qsize(), handler.left_out
        (2, 4)
        >>> handler.emit(logging.makeLogRecord({"levelno": logging.ERROR}))
        >>> handler.queue.qsize()
        3
    """

    # Lines of normal operation get this part of a second's lines.
    USUAL_SHARE = 0.5

    def __init__(self, max_lines: int, max_lines_per_s: int):
        self.lines_queue: queue.Queue = queue.Queue(max_lines)
        super().__init__(self.lines_queue)
        self.max_lines_per_s = max_lines_per_s
        self.second = 0
        self.lines = 0
        self.left_out = 0

    def prepare(self, record: logging.LogRecord) -> logging.LogRecord:
        """Returns the record as it is; it is formatted when written."""
        return record

    def enqueue(self, record: logging.LogRecord) -> None:
        """Queues a record, or counts it as left out."""
        second = int(record.created)
        if second != self.second:
            self.second, self.lines = second, 0
            self._tell_left_out(record)
        is_failure = record.levelno >= logging.WARNING
        share = 1.0 if is_failure else self.USUAL_SHARE
        if self.lines >= share * self.max_lines_per_s:
            self.left_out += 1
            return
        self.lines += 1
        self._put(record)

    def _put(self, record: logging.LogRecord) -> None:
        try:
            self.lines_queue.put_nowait(record)
        except queue.Full:
            self.left_out += 1

    def _tell_left_out(self, record: logging.LogRecord) -> None:
        if not self.left_out:
            return
        count, self.left_out = self.left_out, 0
        told = logging.makeLogRecord(
            {
                "name": record.name,
                "levelno": logging.WARNING,
                "levelname": "WARNING",
                "msg": "lines_left_out",
                "created": record.created,
                "msecs": record.msecs,
                "count": count,
            }
        )
        self._put(told)


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
