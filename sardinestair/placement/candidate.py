"""The state of one upstream that placement decides on."""

from sardinestair.ids import Incarnation
from sardinestair.limits.resources import Resources, units_needed

__all__ = ["DEFAULT_RUN_S", "Candidate"]

DEFAULT_RUN_S = 0.3
SMOOTHING_FACTOR = 0.05
# Concurrency assumed for an upstream with a capacity until its first task has
# shown how many units a task needs.
DEFAULT_CONCURRENCY = 8


class Candidate:
    """An upstream to which an entry can send tasks.

    Args:
        sidecar: Incarnation of the upstream's sidecar.
        service: Service that the upstream belongs to.
        zone: Availability zone of the upstream.
        slots: Credit units of the upstream. Without a capacity, one unit is
            one task that runs concurrently with others.
        capacity: Resources of the upstream, or None if it only counts slots.

    Attributes:
        is_usable: True if the upstream accepts tasks when it has free slots.
        credits: Credit units that this entry can spend now.
        outstanding: Number of tasks in flight from this entry.
        slowdown_: Learned run time relative to a typical upstream; 2.0 means
            that tasks take twice as long.
        mean_run_s_: Moving average of the run time of its tasks, in seconds.
        mean_task_units_: Moving average of the units that one task occupies;
            None before the first task.
        mean_task_units: The same, at least one; before the first task a share
            of the capacity in force.
        rack: Its rack, or empty if unknown.
        concurrency: Number of average tasks that the upstream runs
            concurrently; 0 as long as it has no capacity.
        warm_share: Share of the capacity that its sidecar grants while the
            upstream is cold.
    """

    __slots__ = (
        "capacity",
        "concurrency",
        "credits",
        "is_usable",
        "mean_run_s_",
        "mean_task_units",
        "mean_task_units_",
        "outstanding",
        "rack",
        "service",
        "sidecar",
        "slots",
        "slowdown_",
        "warm_share",
        "zone",
    )

    def __init__(
        self,
        sidecar: Incarnation,
        service: str,
        zone: str,
        slots: int,
        capacity: Resources | None = None,
    ):
        self.sidecar = sidecar
        self.service = service
        self.zone = zone
        self.mean_task_units_: float | None = None
        self.resize(slots, capacity)
        self.is_usable = True
        self.rack = ""
        self.credits = 0
        self.outstanding = 0
        self.slowdown_ = 1.0
        self.warm_share = 1.0
        self.mean_run_s_ = DEFAULT_RUN_S

    def resize(self, slots: int, capacity: Resources | None) -> None:
        """Updates the capacity, which may be nothing for a time."""
        self.slots = slots
        self.capacity = capacity
        self._update_concurrency()

    def _update_concurrency(self) -> None:
        if self.mean_task_units_ is not None:
            self.mean_task_units = self.mean_task_units_
        elif self.capacity is None:
            self.mean_task_units = 1.0
        else:
            self.mean_task_units = max(1.0, self.slots / DEFAULT_CONCURRENCY)
        self.concurrency = self.slots / self.mean_task_units

    def units_needed(self, need: Resources | None) -> int | None:
        """Returns the credit units of a task, or None if it never fits."""
        return units_needed(need, self.capacity, self.slots)

    def has_credits_for(self, need: Resources | None) -> bool:
        """Returns True if this entry has enough credits for a task."""
        units = self.units_needed(need)
        return units is not None and units <= self.credits

    def observe_units(self, units: int) -> None:
        """Updates the average units per task with a task that was started."""
        mean_units = self.mean_task_units
        self.mean_task_units_ = mean_units + SMOOTHING_FACTOR * (
            units - mean_units
        )
        self._update_concurrency()

    def observe_run_time(self, run_s: float) -> None:
        """Updates the average run time with a task that ended."""
        self.mean_run_s_ += SMOOTHING_FACTOR * (run_s - self.mean_run_s_)
