"""Jobs that were refused, failed, cancelled or lost, for the daily review."""

import datetime
import re
from collections import deque
from collections.abc import Iterable, Iterator

import msgspec

__all__ = ["DroppedJob", "DroppedLog", "parse_log", "parse_since"]

MAX_RECORDS = 20_000
_EVENTS = {"job_refused": "refused"}
_PAIR = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')
_SINCE = re.compile(r"^(\d+)([smhd])$")
_UNITS = {"s": 1, "m": 60, "h": 3600, "d": 86400}


class DroppedJob(msgspec.Struct, frozen=True):
    """A job without a complete answer.

    Attributes:
        time: When it ended, in UTC.
        job: Its id.
        service: The service.
        team: The caller's team.
        tasks: Number of its tasks.
        state: `refused`, `failed` or `cancelled`.
        reason: Why.
        not_run: True if none of its tasks ran.
    """

    time: datetime.datetime
    job: str
    service: str
    team: str
    tasks: int
    state: str
    reason: str
    not_run: bool


class DroppedLog:
    """The latest dropped jobs of one entry.

    Args:
        max_records: How many are kept; the oldest go first.

    Attributes:
        records: The records, oldest first.

    Examples:
        >>> log = DroppedLog(max_records=1)
        >>> now = datetime.datetime.now(datetime.UTC)
        >>> for job in ("a", "b"):
        ...     log.add(DroppedJob(now, job, "q", "t", 1, "failed", "", False))
        >>> [record.job for record in log.since(now)]
        ['b']
    """

    def __init__(self, max_records: int = MAX_RECORDS):
        self.max_records = max_records
        self.records: deque[DroppedJob] = deque(maxlen=max_records)

    def add(self, record: DroppedJob) -> None:
        """Adds a record."""
        self.records.append(record)

    def since(self, start: datetime.datetime) -> list[DroppedJob]:
        """Returns the records from a time on, oldest first."""
        return [record for record in list(self.records) if record.time >= start]


def parse_since(text: str) -> datetime.timedelta:
    """Parses a span such as `24h`.

    Raises:
        ValueError: If it is not a number with one of the units s, m, h, d.

    Examples:
        >>> parse_since("24h")
        datetime.timedelta(days=1)
    """
    match = _SINCE.match(text)
    if match is None:
        raise ValueError(
            f"since must be a number with a unit s, m, h or d, got {text!r}"
        )
    seconds = int(match.group(1)) * _UNITS[match.group(2)]
    return datetime.timedelta(seconds=seconds)


def parse_log(lines: Iterable[str]) -> Iterator[DroppedJob]:
    """Reads dropped jobs from the log of an entry that has been replaced.

    Args:
        lines: Lines of key=value pairs; all other events are passed over.

    Yields:
        The dropped jobs, in the order of the log.
    """
    for line in lines:
        pairs = {k: v.strip('"') for k, v in _PAIR.findall(line)}
        state = _EVENTS.get(pairs.get("event", ""), pairs.get("state", ""))
        is_ended = pairs.get("event") == "job_ended" and state != "complete"
        if pairs.get("event") not in _EVENTS and not is_ended:
            continue
        yield DroppedJob(
            _parse_time(pairs["time"]),
            pairs.get("job", ""),
            pairs["service"],
            pairs["team"],
            int(pairs["tasks"]),
            state,
            pairs.get("reason", ""),
            pairs.get("not_run") == "true",
        )


def _parse_time(text: str) -> datetime.datetime:
    parsed = datetime.datetime.strptime(text, "%Y-%m-%d %H:%M:%S.%f")
    return parsed.replace(tzinfo=datetime.UTC)
