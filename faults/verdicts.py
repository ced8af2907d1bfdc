"""Checks of the guarantees against upstreams' logs and callers' answers."""

import glob
from collections import Counter

import msgspec

from faults.callers import JobRecord

__all__ = [
    "Evacuation",
    "Hindrance",
    "TaskStart",
    "Verdict",
    "describe_violations",
    "evacuated_starts",
    "evaluate",
    "read_log",
    "read_starts",
]


# Time after which nothing starts in an evacuated zone, in seconds, from the
# users' specification.
EVACUATION_BOUND_S = 5.0


class TaskStart(msgspec.Struct, frozen=True):
    """A started task, as logged by its upstream.

    Attributes:
        time_s: Wall-clock time of the start, in seconds.
        job_id: Id of the job.
        task_index: Index of the task within the job.
        upstream_port: HTTP port of the upstream.
    """

    time_s: float
    job_id: str
    task_index: int
    upstream_port: int


class Evacuation(msgspec.Struct, frozen=True):
    """An evacuation of a zone.

    Attributes:
        zone: The zone.
        begun_s: Wall-clock time at which its begin was confirmed, in seconds.
        ended_s: Wall-clock time before its end was requested, in seconds.
    """

    zone: str
    begun_s: float
    ended_s: float


class Hindrance(msgspec.Struct, frozen=True):
    """A time in which a program can't do its part.

    Attributes:
        program: Name of the program.
        begun_s: Wall-clock time of its begin, in seconds.
        ended_s: Wall-clock time of its end, in seconds.
    """

    program: str
    begun_s: float
    ended_s: float


class Verdict(msgspec.Struct):
    """Counts of tasks and jobs, and of violated guarantees.

    `doubled`, `untrue_not_run`, `partial`, `lost`, `late_starts`, `cut_off`
    and `reverted` must be 0.

    Attributes:
        tasks: Submitted tasks; a task that is submitted again counts once.
        starts: Starts of tasks, counted by the upstreams.
        complete: Jobs whose results were returned.
        not_run: Jobs refused as not run.
        failed: Jobs that failed otherwise or got no answer.
        doubled: Tasks started more often than submitted, and unrepeatable
            tasks started more than once.
        untrue_not_run: Jobs reported as not run although a task of theirs was
            started and the outcome of every submission is known.
        partial: Successful answers with a wrong or missing result, or one
            that belongs to another job.
        lost: Submissions that got no answer although their connection stayed
            open until long after their deadline.
        late_starts: Starts at an upstream after its leave took effect, or in
            a zone that was evacuated for longer than the bound.
        cut_off: Requests broken off or failed under faults that must not
            interrupt any, and graceful stops that ended with an error.
        reverted: Times that an entry returned to an older settings revision,
            that entries did not agree on one in time, or that they did not use
            all zones and upstreams again in time after the last fault.
    """

    tasks: int = 0
    starts: int = 0
    complete: int = 0
    not_run: int = 0
    failed: int = 0
    doubled: int = 0
    untrue_not_run: int = 0
    partial: int = 0
    lost: int = 0
    late_starts: int = 0
    cut_off: int = 0
    reverted: int = 0

    @property
    def is_clean(self) -> bool:
        """True if no guarantee was violated."""
        return not any(
            (
                self.doubled,
                self.untrue_not_run,
                self.partial,
                self.lost,
                self.late_starts,
                self.cut_off,
                self.reverted,
            )
        )


def read_starts(start_log: str) -> list[TaskStart]:
    """Reads the start logs of all upstreams.

    Args:
        start_log: Path of the logs without the index of the upstream.
    """
    files = glob.glob(f"{start_log}.*")
    return [start for file in files for start in read_log(file)]


def read_log(file: str) -> list[TaskStart]:
    """Reads the start log of one upstream."""
    starts = []
    with open(file, encoding="utf-8") as stream:
        for line in stream:
            time_s, job, index, port = line.split()
            starts.append(TaskStart(float(time_s), job, int(index), int(port)))
    return starts


def evaluate(records: list[JobRecord], starts: list[TaskStart]) -> Verdict:
    """Compares the answers to callers with the tasks that were started."""
    verdict = Verdict(starts=len(starts))
    start_counts = Counter((start.job_id, start.task_index) for start in starts)
    started_jobs = {start.job_id for start in starts}
    for record in records:
        verdict.tasks += record.task_count
        verdict.lost += record.timed_out
        max_starts = 1 if record.unrepeatable else record.submissions
        verdict.doubled += sum(
            start_counts[record.job_id, index] > max_starts
            for index in range(record.task_count)
        )
        _evaluate_answer(
            record, record.job_id in started_jobs, start_counts, verdict
        )
    return verdict


def describe_violations(
    records: list[JobRecord], starts: list[TaskStart]
) -> list[str]:
    """Returns a line for each job for which a guarantee was violated."""
    starts_by_job: dict[str, list[TaskStart]] = {}
    for start in starts:
        starts_by_job.setdefault(start.job_id, []).append(start)
    lines = []
    for record in records:
        job_starts = starts_by_job.get(record.job_id, [])
        if evaluate([record], job_starts).is_clean:
            continue
        times = ",".join(
            f"{s.time_s:.3f}/{s.task_index}/{s.upstream_port}"
            for s in job_starts
        )
        lines.append(
            f"job={record.job_id} unrepeatable={record.unrepeatable} "
            f"submissions={record.submissions} status={record.status} "
            f"ended_s={record.ended_s:.3f} document={record.document}"
            f" starts={times}"
        )
    return lines


def evacuated_starts(
    starts: list[TaskStart],
    evacuation: Evacuation,
    hindrances: list[Hindrance],
) -> list[TaskStart]:
    """Returns the starts in a zone that was evacuated for too long before.

    Args:
        starts: Starts at one upstream of the zone.
        evacuation: The evacuation.
        hindrances: Times that don't count: those of the store, of the upstream
            and of its sidecar.
    """
    return [
        start
        for start in starts
        if start.time_s < evacuation.ended_s
        and start.time_s - evacuation.begun_s
        > EVACUATION_BOUND_S
        + _overlap_s(hindrances, evacuation.begun_s, start.time_s)
    ]


def _overlap_s(
    hindrances: list[Hindrance], begun_s: float, ended_s: float
) -> float:
    """Returns how much of a period any hindrance covers, in seconds."""
    total_s = 0.0
    covered_until_s = begun_s
    for hindrance in sorted(hindrances, key=lambda each: each.begun_s):
        first_s = max(hindrance.begun_s, covered_until_s)
        last_s = min(hindrance.ended_s, ended_s)
        total_s += max(0.0, last_s - first_s)
        covered_until_s = max(covered_until_s, last_s)
    return total_s


def _evaluate_answer(
    record: JobRecord,
    has_started: bool,
    start_counts: Counter,
    verdict: Verdict,
) -> None:
    if record.status == 200:
        verdict.complete += 1
        assert record.document is not None
        expected = [
            f"{record.job_id}/{index}" for index in range(record.task_count)
        ]
        is_complete = record.document["results"] == expected
        all_started = all(
            start_counts[record.job_id, i] for i in range(record.task_count)
        )
        verdict.partial += not (is_complete and all_started)
        return
    if record.not_run_at_s:
        verdict.not_run += 1
        # An earlier submission of unknown outcome may have started the tasks;
        # "not run" covers only the submission that it answers.
        verdict.untrue_not_run += has_started and not record.unknown_outcomes
        return
    verdict.failed += 1
