"""Records where the time of jobs goes, as a histogram for each part."""

from sardinestair.clock import Clock
from sardinestair.jobs import Job
from sardinestair.links.entry_link import EntryLink
from sardinestair.messages import Outcome
from sardinestair.observability import Metrics

__all__ = ["WayRecorder"]

# Kinds beyond this number share one label, since callers may choose them.
MAX_KINDS = 32
OTHER_KIND = "(other)"
RUN_METRIC = "task_part_s"
ANSWER_METRIC = "job_answer_s"


class WayRecorder:
    """Records the parts of the ways of runs and answers.

    Args:
        clock: The entry's clock.
        metrics: The process's metrics.

    Attributes:
        kinds: The services and kinds that have labels of their own.
    """

    def __init__(self, clock: Clock, metrics: Metrics):
        self.clock = clock
        self.metrics = metrics
        self.kinds: set[tuple[str, str]] = set()

    def record_outcome(
        self, job: Job, link: EntryLink, outcome: Outcome
    ) -> None:
        """Records the parts of the way of a run that has ended."""
        start_s = min(outcome.start_s, outcome.run_s)
        parts = job.way.record_end(
            outcome.task.index,
            self.clock.monotonic(),
            outcome.run_s - start_s,
            link.lag.excess_s,
            link.endpoint,
        )
        labels = self._labels(job)
        observe = self.metrics.observe
        observe(RUN_METRIC, {**labels, "part": "wait"}, parts.wait_s)
        observe(RUN_METRIC, {**labels, "part": "order"}, parts.order_s)
        observe(RUN_METRIC, {**labels, "part": "run"}, parts.run_s)
        observe(RUN_METRIC, {**labels, "part": "report"}, parts.report_s)

    def record_answer(self, job: Job) -> None:
        """Records the time from the end of a job to its first response."""
        if job.way.is_answered:
            return
        job.way.is_answered = True
        answer_s = self.clock.monotonic() - job.ended_s
        self.metrics.observe(ANSWER_METRIC, self._labels(job), answer_s)

    def _labels(self, job: Job) -> dict[str, str]:
        key = (job.service, job.kind)
        if key not in self.kinds:
            if len(self.kinds) >= MAX_KINDS:
                return {"service": job.service, "kind": OTHER_KIND}
            self.kinds.add(key)
        return {"service": job.service, "kind": job.kind}
