"""Counts the upstreams that have crashed under each task."""

from collections import OrderedDict

import msgspec

from sardinestair.ids import Incarnation, JobId
from sardinestair.messages import TaskRef

__all__ = ["CrashHistory", "TaskCrashes"]

# How much the ages of two runs may differ if both ended with a crash of one
# cause: a slow upstream takes longer, and a busy sidecar notices it late.
AGE_FACTOR = 1.5
AGE_TOLERANCE_S = 0.02
# A task may crash its upstream before its start is answered, so that these runs
# must be bounded too.
MAX_UNCONFIRMED = 2


class TaskCrashes(msgspec.Struct):
    """Crashes under one task.

    Attributes:
        runs: Sidecar and attempt of each run that ended with a crash.
        unconfirmed: How many of these may not have begun.
        suspected: Number of consecutive crashes that the task may have caused,
            up to the latest one.
        age_s: Age of the latest of these runs at the crash, in seconds.
        recorded_s: When the latest one was recorded.
    """

    runs: set[tuple[Incarnation, int]]
    unconfirmed: int
    suspected: int
    age_s: float
    recorded_s: float

    @property
    def probation_s(self) -> float:
        """Age at which a further run shows that the task crashes nothing.

        A task that causes a crash does so at about the same age in each run.
        """
        return AGE_FACTOR * self.age_s + AGE_TOLERANCE_S

    def add(
        self,
        run: tuple[Incarnation, int],
        age_s: float,
        now_s: float,
        is_confirmed: bool,
    ) -> None:
        """Adds a run that ended with a crash."""
        self.runs.add(run)
        self.recorded_s = now_s
        if not is_confirmed:
            self.unconfirmed += 1
            return
        shorter_s, longer_s = sorted((age_s, self.age_s))
        if longer_s > AGE_FACTOR * shorter_s + AGE_TOLERANCE_S:
            # At least one of the two crashes had another cause.
            self.suspected = 0
        self.suspected += 1
        self.age_s = age_s


class CrashHistory:
    """Crashes of upstreams by the task that was running.

    A crash ends all runs of the upstream, and it is unknown which of them
    caused it. A task is the likely cause if several upstreams have crashed
    under it at about the same age. Sidecars report a crash to all their
    entries, and may repeat it, so each run counts once.

    Args:
        retention_s: How long a task is remembered after its latest crash, in
            seconds.
        max_tasks: Maximum number of tasks; the oldest are evicted first.

    Attributes:
        tasks: The crashes by job and index, in the order of the latest one.

    Examples:
        >>> history = CrashHistory()
        >>> job, sidecar = JobId(bytes(16)), Incarnation(bytes(16))
        >>> history.record(TaskRef(job, 0, 1), sidecar, 0.01, now_s=0.0)
        True
        >>> history.record(TaskRef(job, 0, 1), sidecar, 0.01, now_s=0.1)
        False
        >>> history.count(job, 0), history.count(job, 1)
        (1, 0)
        >>> history.is_exhausted(job, 0, limit=2)
        False
    """

    def __init__(self, retention_s: float = 300.0, max_tasks: int = 10_000):
        self.retention_s = retention_s
        self.max_tasks = max_tasks
        self.tasks: OrderedDict[tuple[JobId, int], TaskCrashes] = OrderedDict()

    def record(
        self,
        ref: TaskRef,
        sidecar: Incarnation,
        age_s: float,
        now_s: float,
        is_confirmed: bool = True,
    ) -> bool:
        """Records that an upstream has crashed while a task was running.

        Args:
            ref: The attempt that was running.
            sidecar: Sidecar of the upstream.
            age_s: Age of the run at the crash, in seconds.
            now_s: Current time in seconds.
            is_confirmed: True if the run has certainly begun.

        Returns:
            False if this run is known already.
        """
        key = (ref.job, ref.index)
        crashes = self.tasks.get(key)
        if crashes is None:
            crashes = self.tasks[key] = TaskCrashes(set(), 0, 0, age_s, now_s)
        run = (sidecar, ref.attempt)
        if run in crashes.runs:
            return False
        crashes.add(run, age_s, now_s, is_confirmed)
        self.tasks.move_to_end(key)
        while len(self.tasks) > self.max_tasks:
            self.tasks.popitem(last=False)
        return True

    def find(self, job: JobId, index: int) -> TaskCrashes | None:
        """Returns the crashes under a task, or None if there are none."""
        return self.tasks.get((job, index))

    def count(self, job: JobId, index: int) -> int:
        """Returns the number of upstreams that have crashed under a task."""
        crashes = self.find(job, index)
        return len(crashes.runs) if crashes else 0

    def is_exhausted(self, job: JobId, index: int, limit: int) -> bool:
        """Returns True if a task must not be started again.

        Args:
            job: The task's job.
            index: Position of the task in the job.
            limit: Number of crashes that it may have caused. One more is
                allowed whatever the cause, and two more with runs that may not
                have begun.
        """
        crashes = self.find(job, index)
        if crashes is None:
            return False
        confirmed = len(crashes.runs) - crashes.unconfirmed
        return (
            crashes.suspected >= limit
            or confirmed > limit
            or len(crashes.runs) > limit + MAX_UNCONFIRMED
        )

    def evict(self, now_s: float) -> None:
        """Evicts the tasks whose retention is over."""
        while self.tasks:
            key, crashes = next(iter(self.tasks.items()))
            if now_s - crashes.recorded_s < self.retention_s:
                return
            del self.tasks[key]
