"""An upstream as placement sees it."""

from sardinestair.ids import Incarnation

__all__ = ["DEFAULT_RUN_S", "Candidate"]

DEFAULT_RUN_S = 0.3
RUN_DECAY = 0.05


class Candidate:
    """What an entry knows of one upstream when it places a task.

    Args:
        sidecar: Incarnation of the sidecar beside the upstream.
        service: The upstream's service.
        zone: Its availability zone.
        slots: Tasks that it runs at a time.

    Attributes:
        is_usable: True if the upstream takes work once it has a free slot.
        credits: Tasks that this entry may start there now.
        outstanding: Tasks that this entry has there.
        speed_: Learned factor of its run times, 1.0 for a typical upstream;
            larger is slower.
        run_s_: Learned mean run time of the tasks there, in seconds.
    """

    __slots__ = (
        "credits",
        "is_usable",
        "outstanding",
        "run_s_",
        "service",
        "sidecar",
        "slots",
        "speed_",
        "zone",
    )

    def __init__(
        self, sidecar: Incarnation, service: str, zone: str, slots: int
    ):
        self.sidecar = sidecar
        self.service = service
        self.zone = zone
        self.slots = slots
        self.is_usable = True
        self.credits = 0
        self.outstanding = 0
        self.speed_ = 1.0
        self.run_s_ = DEFAULT_RUN_S

    def observe(self, run_s: float) -> None:
        """Learns from one task that ended there."""
        self.run_s_ += RUN_DECAY * (run_s - self.run_s_)
