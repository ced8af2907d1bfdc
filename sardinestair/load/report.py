"""Summaries of a load run."""

from collections import Counter
from collections.abc import Callable, Sequence

import msgspec
from hdrh.histogram import HdrHistogram

from sardinestair.load.runner import JobRecord

__all__ = ["LoadReport", "Quantiles", "summarize"]

LARGE_JOB_TASKS = 300
MAX_STRETCH = 100_000
_UNIT = 1000
_DIGITS = 3


class Quantiles(msgspec.Struct, frozen=True):
    """Quantiles of a figure; zero if nothing was counted.

    Attributes:
        count: How many were counted.
        p50: Half are at most this.
        p90: Nine of ten are at most this.
        p99: Ninety-nine of a hundred are at most this.
    """

    count: int
    p50: float
    p90: float
    p99: float


class LoadReport(msgspec.Struct, frozen=True):
    """What a load run showed.

    Attributes:
        jobs: Jobs submitted.
        tasks: Their tasks.
        statuses: Answers by HTTP status.
        not_run: Answers that say that the job did not run.
        stretch: Response time over the ideal, of complete jobs.
        stretch_large: The same of jobs of 300 tasks and more.
        response_s: Response time of complete jobs, in seconds.
        refusal_s: Response time of refused jobs, in seconds.
        lost_before_out: Jobs that could run and failed before the entry
            first took an upstream out; the most of any entry.
        goodput: Seconds of work of complete jobs per second of arrivals.
        good_upstreams_out: Times that an upstream was taken out which does
            not fail everything.
        wasted: Wasted messages by kind.
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
    """Summarizes a run.

    Args:
        records: What `run_load` returned.
        wasted: Wasted messages by kind, from the entries' metrics.
        good_upstreams_out: Good upstreams that were taken out.
        lost_before_out: Jobs lost before an upstream was taken out.

    Examples:
        >>> summarize([], {}).jobs
        0
    """
    complete = [r for r in records if r.status == 200]
    large = [r for r in complete if len(r.job.run_s) >= LARGE_JOB_TASKS]
    refused = [r for r in records if r.status in (429, 503)]
    tasks = sum(len(r.job.run_s) for r in records)
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
        sum(sum(r.job.run_s) for r in complete) / _duration_s(records),
        good_upstreams_out,
        wasted,
        sum(wasted.values()) / max(1, tasks),
    )


def _duration_s(records: Sequence[JobRecord]) -> float:
    return max((r.job.at_s for r in records), default=1.0)


def _quantiles(
    records: Sequence[JobRecord], figure: Callable[[JobRecord], float]
) -> Quantiles:
    histogram = HdrHistogram(1, MAX_STRETCH * _UNIT, _DIGITS)
    for record in records:
        histogram.record_value(max(1, round(figure(record) * _UNIT)))
    values = [
        histogram.get_value_at_percentile(p) / _UNIT if records else 0.0
        for p in (50, 90, 99)
    ]
    return Quantiles(len(records), *values)
