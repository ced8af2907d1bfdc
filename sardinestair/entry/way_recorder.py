"""Records where the time of jobs goes, as a histogram for each part."""

from sardinestair.clock import Clock
from sardinestair.jobs import Job
from sardinestair.links.entry_link import EntryLink
from sardinestair.messages import Outcome
from sardinestair.observability import Metrics
from sardinestair.observability.metrics import Distribution

__all__ = ["WayRecorder"]

# Kinds beyond this number share one label, since callers may choose them.
MAX_KINDS = 32
OTHER_KIND = "(other)"
RUN_METRIC = "task_part_s"
ANSWER_METRIC = "job_answer_s"


class _KindHistograms:
    """The histograms of one kind of job."""

    __slots__ = ("answer", "order", "report", "run", "wait")

    def __init__(self, metrics: Metrics, labels: dict[str, str]):
        def make(part: str) -> Distribution:
            return metrics.distribution(RUN_METRIC, {**labels, "part": part})

        self.wait = make("wait")
        self.order = make("order")
        self.run = make("run")
        self.report = make("report")
        self.answer = metrics.distribution(ANSWER_METRIC, labels)


class WayRecorder:
    """Records the parts of the ways of runs and answers.

    Args:
        clock: The entry's clock.
        metrics: The process's metrics.

    Attributes:
        histograms: The histograms by service and kind.
    """

    def __init__(self, clock: Clock, metrics: Metrics):
        self.clock = clock
        self.metrics = metrics
        self.histograms: dict[tuple[str, str], _KindHistograms] = {}

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
        histograms = self._histograms(job)
        histograms.wait.observe(parts.wait_s)
        histograms.order.observe(parts.order_s)
        histograms.run.observe(parts.run_s)
        histograms.report.observe(parts.report_s)

    def record_answer(self, job: Job) -> None:
        """Records the time from the end of a job to its first response."""
        if job.way.is_answered:
            return
        job.way.is_answered = True
        answer_s = self.clock.monotonic() - job.ended_s
        self._histograms(job).answer.observe(answer_s)

    def _histograms(self, job: Job) -> _KindHistograms:
        key = (job.service, job.kind)
        found = self.histograms.get(key)
        if found is None and len(self.histograms) >= MAX_KINDS:
            key = (job.service, OTHER_KIND)
            found = self.histograms.get(key)
        if found is None:
            labels = {"service": key[0], "kind": key[1]}
            found = _KindHistograms(self.metrics, labels)
            self.histograms[key] = found
        return found
