"""Summarizes the results of a load run."""

from collections import Counter
from collections.abc import Callable, Sequence

import msgspec
from hdrh.histogram import HdrHistogram

from sardinestair.load.runner import JobRecord

__all__ = ["LoadReport", "Quantiles", "summarize"]

LARGE_JOB_TASKS = 300
MAX_STRETCH = 100_000
_STEPS_PER_UNIT = 1000
_SIGNIFICANT_DIGITS = 3


class Quantiles(msgspec.Struct, frozen=True):
    """Quantiles of a metric; zero if there are no samples.

    Attributes:
        count: Number of samples.
        p50: Median.
        p90: 90th percentile.
        p99: 99th percentile.
    """

    count: int
    p50: float
    p90: float
    p99: float


class LoadReport(msgspec.Struct, frozen=True):
    """Results of a load run.

    Attributes:
        jobs: Number of submitted jobs.
        tasks: Number of their tasks.
        statuses: Number of answers by HTTP status, "0" for no answer.
        not_run: Number of answers that say that the job did not run.
        stretch: Response time divided by the ideal, of complete jobs.
        stretch_large: Stretch of complete jobs of 300 tasks or more.
        response_s: Response time of complete jobs, in seconds.
        refusal_s: Response time of refused jobs, in seconds.
        lost_before_out: Number of jobs that could have succeeded and failed
            before the entry first ejected an upstream; the maximum over the
            entries.
        goodput: Work of complete jobs, in seconds on the fastest upstream,
            per second of arrivals.
        good_upstreams_out: Number of ejections of upstreams that don't fail
            every task.
        wasted: Number of wasted messages by kind.
        wasted_per_task: Wasted messages per task.
    """

    jobs: int
    tasks: int
    statuses: dict[str, int]
    not_run: int
    stretch: Quantiles
    stretch_large: Quantiles
    response_s: Quantiles
    refusal_s: Quantiles
    lost_before_out: int
    goodput: float
    good_upstreams_out: int
    wasted: dict[str, float]
    wasted_per_task: float


def summarize(
    records: Sequence[JobRecord],
    wasted: dict[str, float],
    good_upstreams_out: int = 0,
    lost_before_out: int = 0,
) -> LoadReport:
    """Summarizes a load run.

    Args:
        records: The records that `run_load` returned.
        wasted: Number of wasted messages by kind, from the entries' metrics.
        good_upstreams_out: Number of ejections of good upstreams.
        lost_before_out: Number of jobs lost before the first ejection.

    Examples:
        >>> summarize([], {}).jobs
        0
    """
    complete = [r for r in records if r.status == 200]
    large = [r for r in complete if len(r.job.task_run_s) >= LARGE_JOB_TASKS]
    refused = [r for r in records if r.status in (429, 503)]
    tasks = sum(len(r.job.task_run_s) for r in records)
    return LoadReport(
        len(records),
        tasks,
        dict(Counter(str(r.status) for r in records)),
        sum(r.not_run for r in records),
        _quantiles(complete, lambda r: r.stretch),
        _quantiles(large, lambda r: r.stretch),
        _quantiles(complete, lambda r: r.response_s),
        _quantiles(refused, lambda r: r.response_s),
        lost_before_out,
        sum(sum(r.job.task_run_s) for r in complete) / _arrivals_s(records),
        good_upstreams_out,
        wasted,
        sum(wasted.values()) / max(1, tasks),
    )


def _arrivals_s(records: Sequence[JobRecord]) -> float:
    return max((r.job.arrival_s for r in records), default=1.0)


def _quantiles(
    records: Sequence[JobRecord], metric: Callable[[JobRecord], float]
) -> Quantiles:
    histogram = HdrHistogram(
        1, MAX_STRETCH * _STEPS_PER_UNIT, _SIGNIFICANT_DIGITS
    )
    for record in records:
        histogram.record_value(max(1, round(metric(record) * _STEPS_PER_UNIT)))
    values = [
        histogram.get_value_at_percentile(p) / _STEPS_PER_UNIT
        if records
        else 0.0
        for p in (50, 90, 99)
    ]
    return Quantiles(len(records), *values)
