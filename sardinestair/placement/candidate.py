"""An upstream as placement sees it."""

from sardinestair.ids import Incarnation
from sardinestair.limits.resources import Resources, units_needed

__all__ = ["DEFAULT_RUN_S", "Candidate"]

DEFAULT_RUN_S = 0.3
RUN_DECAY = 0.05
# Tasks at a time that an upstream with a capacity is taken to run before its
# first task has shown how much a task needs.
TYPICAL_TASKS = 8


class Candidate:
    """What an entry knows of one upstream when it places a task.

    Args:
        sidecar: Incarnation of the sidecar beside the upstream.
        service: The upstream's service.
        zone: Its availability zone.
        slots: Credit units of the upstream; tasks that it runs at a time if
            it has no capacity.
        capacity: Its resources, or None if it only counts slots.

    Attributes:
        is_usable: True if the upstream takes work once it has a free slot.
        credits: Credit units that this entry may spend there now.
        outstanding: Tasks that this entry has there.
        speed_: Learned factor of its run times, 1.0 for a typical upstream;
            larger is slower.
        run_s_: Learned mean run time of the tasks there, in seconds.
        task_units_: Learned mean of the units that a task occupies.
    """

    __slots__ = (
        "capacity",
        "credits",
        "is_usable",
        "outstanding",
        "run_s_",
        "service",
        "sidecar",
        "slots",
        "speed_",
        "task_units_",
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
        self.slots = slots
        self.capacity = capacity
        self.task_units_ = 1.0 if capacity is None else slots / TYPICAL_TASKS
        self.is_usable = True
        self.credits = 0
        self.outstanding = 0
        self.speed_ = 1.0
        self.run_s_ = DEFAULT_RUN_S

    @property
    def tasks_at_a_time(self) -> float:
        """Tasks of the usual size that the upstream runs at a time."""
        return self.slots / self.task_units_

    def units(self, need: Resources | None) -> int | None:
        """Returns the credit units of a task, None if it can never fit."""
        return units_needed(need, self.capacity, self.slots)

    def has_room(self, need: Resources | None) -> bool:
        """Tells whether this entry's credits cover a task."""
        units = self.units(need)
        return units is not None and units <= self.credits

    def observe_units(self, units: int) -> None:
        """Learns from one task that is started there."""
        self.task_units_ += RUN_DECAY * (units - self.task_units_)

    def observe(self, run_s: float) -> None:
        """Learns from one task that ended there."""
        self.run_s_ += RUN_DECAY * (run_s - self.run_s_)
