"""Where the time of a job goes, from its acceptance to its answer."""

import msgspec

__all__ = ["JobWay", "RunParts"]


class RunParts(msgspec.Struct, frozen=True):
    """Parts of the way of one run, in seconds.

    Each is a difference of two times on one clock.

    Attributes:
        wait_s: From the acceptance of the job, or the end of the task's
            earlier run, until the task was placed.
        order_s: From its placement until the upstream had taken the start.
        run_s: From then until the sidecar had received its end.
        report_s: Delay of the frame with its outcome, from the sidecar to its
            handling by the entry, beyond that of the fastest frames.
        endpoint: Endpoint of the sidecar that ran it.
    """

    wait_s: float
    order_s: float
    run_s: float
    report_s: float
    endpoint: str

    @property
    def overhead_s(self) -> float:
        """The time that the task was neither waiting nor running."""
        return self.order_s + self.report_s


class JobWay:
    """Collects the parts of the ways of a job's runs.

    Args:
        accepted_s: When the job was accepted, on the entry's clock.

    Attributes:
        placed_s: When each task was placed last, by index.
        ready_s: When the last run of a task ended, by index.
        longest_wait_s: The longest wait of a task, in seconds.
        longest_overhead_s: The longest overhead of a run, in seconds.
        longest_run: The run that took longest, or None.
        last_run: The run that ended last, or None.
        is_answered: True once a caller has been sent the answer.

    Examples:
        >>> way = JobWay(accepted_s=10.0)
        >>> way.record_placement(0, 10.5)
        >>> way.record_end(0, 11.0, 0.25, 0.125, "a:1").order_s
        0.125
    """

    __slots__ = (
        "accepted_s",
        "is_answered",
        "last_run",
        "longest_overhead_s",
        "longest_run",
        "longest_wait_s",
        "placed_s",
        "ready_s",
    )

    def __init__(self, accepted_s: float):
        self.accepted_s = accepted_s
        self.placed_s: dict[int, float] = {}
        self.ready_s: dict[int, float] = {}
        self.longest_wait_s = 0.0
        self.longest_overhead_s = 0.0
        self.longest_run: RunParts | None = None
        self.last_run: RunParts | None = None
        self.is_answered = False

    def record_placement(self, index: int, now_s: float) -> None:
        """Records that a task has been placed."""
        self.placed_s[index] = now_s

    def record_end(
        self,
        index: int,
        now_s: float,
        run_s: float,
        report_s: float,
        endpoint: str,
    ) -> RunParts:
        """Records the outcome of a run.

        Args:
            index: Index of the task.
            now_s: When the outcome was handled, on the entry's clock.
            run_s: Run time on the upstream, in seconds.
            report_s: Delay of the outcome, in seconds.
            endpoint: Endpoint of the sidecar.

        Returns:
            The parts of its way.
        """
        placed_s = self.placed_s.pop(index, now_s)
        wait_s = placed_s - self.ready_s.get(index, self.accepted_s)
        self.ready_s[index] = now_s
        order_s = max(0.0, now_s - placed_s - run_s - report_s)
        parts = RunParts(wait_s, order_s, run_s, report_s, endpoint)
        self.longest_wait_s = max(self.longest_wait_s, wait_s)
        self.longest_overhead_s = max(self.longest_overhead_s, parts.overhead_s)
        if self.longest_run is None or run_s > self.longest_run.run_s:
            self.longest_run = parts
        self.last_run = parts
        return parts
