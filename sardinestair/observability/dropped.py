"""Records of jobs without a complete answer, for the daily review.

These jobs were refused, failed, were cancelled or were lost.
"""

import datetime
import re
from collections import deque
from collections.abc import Iterable, Iterator

import msgspec

__all__ = [
    "DroppedJob",
    "DroppedJobBuffer",
    "parse_dropped_jobs",
    "parse_time_span",
]

MAX_RECORDS = 20_000
_STATE_BY_EVENT = {"job_refused": "refused"}
_PAIR = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')
_TIME_SPAN = re.compile(r"^(\d+)([smhd])$")
_UNIT_SECONDS = {"s": 1, "m": 60, "h": 3600, "d": 86400}


class DroppedJob(msgspec.Struct, frozen=True):
    """A job without a complete answer.

    Attributes:
        time: When it ended, in UTC.
        job: Id of the job.
        service: The service.
        team: The caller's team.
        tasks: Number of tasks.
        state: `refused`, `failed` or `cancelled`.
        reason: Why the job was dropped.
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


class DroppedJobBuffer:
    """A bounded buffer of the latest dropped jobs of one entry.

    Args:
        max_records: Number of records kept; the oldest are evicted first.

    Attributes:
        records: The records, oldest first.

    Examples:
        >>> log = DroppedJobBuffer(max_records=1)
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
        """Returns the records of jobs that ended at or after a time."""
        return [record for record in list(self.records) if record.time >= start]


def parse_time_span(text: str) -> datetime.timedelta:
    """Parses a time span such as `24h`.

    Raises:
        ValueError: If the text isn't a number followed by s, m, h or d.

    Examples:
        >>> parse_time_span("24h")
        datetime.timedelta(days=1)
    """
    match = _TIME_SPAN.match(text)
    if match is None:
        raise ValueError(
            f"since must be a number with a unit (s, m, h or d), got {text!r}"
        )
    seconds = int(match.group(1)) * _UNIT_SECONDS[match.group(2)]
    return datetime.timedelta(seconds=seconds)


def parse_dropped_jobs(lines: Iterable[str]) -> Iterator[DroppedJob]:
    """Reads dropped jobs from the log of an entry.

    An entry keeps its records in memory only, so the log is all that is left
    once it has been replaced.

    Args:
        lines: Lines of key=value pairs; other events are skipped.

    Yields:
        The dropped jobs in the order of the log.
    """
    for line in lines:
        pairs = {k: v.strip('"') for k, v in _PAIR.findall(line)}
        state = _STATE_BY_EVENT.get(
            pairs.get("event", ""), pairs.get("state", "")
        )
        is_ended = pairs.get("event") == "job_ended" and state != "complete"
        if pairs.get("event") not in _STATE_BY_EVENT and not is_ended:
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
