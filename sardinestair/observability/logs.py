"""Structured logs with one line of key=value pairs per event."""

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
    "RateLimitedHandler",
    "EventLog",
    "configure_logging",
    "flush_logs",
    "serialize_key_values",
]

# Lines queued for a slow reader, about 1 MB.
MAX_QUEUED_LINES = 4000
# Longest wait for queued lines to be written when the process exits.
CLOSE_TIMEOUT_S = 1.0
# Writing a line takes about 0.1 ms, so this limits logging to 2 % of a core.
MAX_LINES_PER_S = 200
_FORMAT = "%(asctime)s %(levelname)s %(message)s"
_FIELD_NAMES = {"asctime": "time", "levelname": "level", "message": "event"}
_writers: list["LogWriter"] = []
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
    r"""Formats a log record as key=value pairs.

    Args:
        record: The fields in output order.
        **_options: Options for a JSON serializer, ignored.

    Returns:
        One line. Values that contain whitespace, quotes or `=` are quoted and
        escaped.

    Examples:
        >>> serialize_key_values({"event": "job_failed", "reason": "no slot"})
        'event=job_failed reason="no slot"'
        >>> serialize_key_values({"a": "x\ny", "ok": True})
        'a="x\\ny" ok=true'
    """
    return " ".join(f"{k}={_format_value(v)}" for k, v in record.items())


def configure_logging(
    level: str = "INFO", stream: TextIO | None = None
) -> "LogWriter":
    """Sends the package's events to a stream.

    A dedicated thread writes the lines. If the reader of the stream is too
    slow, lines are dropped; threads that log never block.

    Args:
        level: Name of the lowest level that is written.
        stream: Output stream; standard error by default.

    Returns:
        The writer, which is closed when the process exits.
    """
    handler = logging.StreamHandler(stream or sys.stderr)
    formatter = JsonFormatter(
        _FORMAT,
        rename_fields=_FIELD_NAMES,
        json_serializer=serialize_key_values,
        reserved_attrs=[*RESERVED_ATTRS, "taskName"],
    )
    formatter.default_msec_format = "%s.%03d"
    formatter.converter = time.gmtime
    handler.setFormatter(formatter)
    rate_limited = RateLimitedHandler(MAX_QUEUED_LINES, MAX_LINES_PER_S)
    writer = LogWriter(rate_limited.records, handler)
    writer.start()
    _writers.append(writer)
    atexit.register(writer.close)
    logger = logging.getLogger("sardinestair")
    logger.handlers[:] = [rate_limited]
    logger.setLevel(level)
    logger.propagate = False
    return writer


def flush_logs() -> None:
    """Writes the queued lines before a process exits without cleanup."""
    for writer in _writers:
        writer.close()


class LogWriter:
    """Writes queued records in a dedicated thread.

    Args:
        records: Queue of records; None stops the thread.
        handler: Formats and writes the records.

    Examples:
        >>> writer = LogWriter(queue.Queue(), logging.NullHandler())
        >>> writer.start()
        >>> writer.close()
        >>> writer.thread.is_alive()
        False
    """

    def __init__(
        self,
        records: queue.Queue[logging.LogRecord | None],
        handler: logging.Handler,
    ):
        self.records = records
        self.handler = handler
        self.thread = threading.Thread(
            target=self._run, name="log", daemon=True
        )

    def start(self) -> None:
        """Starts the thread."""
        self.thread.start()

    def close(self) -> None:
        """Writes the queued lines and stops the thread.

        Gives up if the queue is full or writing takes too long, since the
        reader of the stream may have stopped reading.
        """
        try:
            self.records.put_nowait(None)
        except queue.Full:
            return
        self.thread.join(CLOSE_TIMEOUT_S)

    def _run(self) -> None:
        while (record := self.records.get()) is not None:
            self.handler.handle(record)


class RateLimitedHandler(logging.handlers.QueueHandler):
    """Queues records up to a rate limit and a queue size, and drops the rest.

    Records below WARNING may use only a part of the rate limit, so that they
    can't displace the lines that explain failures.

    Args:
        max_queued_lines: Maximum number of queued lines.
        max_lines_per_s: Maximum number of lines queued per second.

    Attributes:
        dropped_lines: Lines dropped since the last `lines_left_out` event.

    Examples:
        >>> handler = RateLimitedHandler(max_queued_lines=10, max_lines_per_s=4)
        >>> for number in range(6):
        ...     handler.emit(logging.makeLogRecord({"levelno": logging.INFO}))
        >>> handler.queue.qsize(), handler.dropped_lines
        (2, 4)
        >>> handler.emit(logging.makeLogRecord({"levelno": logging.ERROR}))
        >>> handler.queue.qsize()
        3
    """

    # Part of the rate limit that is open to records below WARNING.
    INFO_SHARE = 0.5

    def __init__(self, max_queued_lines: int, max_lines_per_s: int):
        self.records: queue.Queue = queue.Queue(max_queued_lines)
        super().__init__(self.records)
        self.max_lines_per_s = max_lines_per_s
        self.current_second = 0
        self.lines_this_second = 0
        self.dropped_lines = 0

    def prepare(self, record: logging.LogRecord) -> logging.LogRecord:
        """Returns the record unchanged; the writing thread formats it."""
        return record

    def enqueue(self, record: logging.LogRecord) -> None:
        """Queues a record, or drops and counts it."""
        second = int(record.created)
        if second != self.current_second:
            self.current_second, self.lines_this_second = second, 0
            self._report_dropped_lines(record)
        is_warning = record.levelno >= logging.WARNING
        share = 1.0 if is_warning else self.INFO_SHARE
        if self.lines_this_second >= share * self.max_lines_per_s:
            self.dropped_lines += 1
            return
        self.lines_this_second += 1
        self._put(record)

    def _put(self, record: logging.LogRecord) -> None:
        try:
            self.records.put_nowait(record)
        except queue.Full:
            self.dropped_lines += 1

    def _report_dropped_lines(self, record: logging.LogRecord) -> None:
        if not self.dropped_lines:
            return
        count, self.dropped_lines = self.dropped_lines, 0
        report = logging.makeLogRecord(
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
        self._put(report)


class EventLog:
    """Writes events, each with the fields bound to the log.

    Args:
        component: Name of the component, used in the name of the logger.
        **fields: Fields added to every event.
    """

    def __init__(self, component: str, **fields: Any):
        self.logger = logging.getLogger(f"sardinestair.{component}")
        self.fields = fields

    def bind(self, **fields: Any) -> "EventLog":
        """Returns a log that adds further fields to every event."""
        bound = EventLog("", **{**self.fields, **fields})
        bound.logger = self.logger
        return bound

    def debug(self, event: str, **fields: Any) -> None:
        """Logs an event that helps with debugging."""
        self._write(logging.DEBUG, event, fields)

    def info(self, event: str, **fields: Any) -> None:
        """Logs an event of normal operation."""
        self._write(logging.INFO, event, fields)

    def warning(self, event: str, **fields: Any) -> None:
        """Logs an event that may need an operator's attention."""
        self._write(logging.WARNING, event, fields)

    def error(self, event: str, **fields: Any) -> None:
        """Logs an event that needs an operator's attention."""
        self._write(logging.ERROR, event, fields)

    def _write(self, level: int, event: str, fields: dict[str, Any]) -> None:
        if self.logger.isEnabledFor(level):
            self.logger.log(level, event, extra={**self.fields, **fields})
