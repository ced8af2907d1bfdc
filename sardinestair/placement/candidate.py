"""An upstream as placement sees it."""

from sardinestair.ids import Incarnation

__all__ = ["Candidate"]


class Candidate:
    """What an entry knows of one upstream when it places a task.

    Args:
        sidecar: Incarnation of the sidecar beside the upstream.
        service: The upstream's service.
        zone: Its availability zone.
        slots: Tasks that it runs at a time.

    Attributes:
        credits: Tasks that this entry may start there now.
        outstanding: Tasks that this entry has there.
        speed_: Learned factor of its run times, 1.0 for a typical upstream;
            larger is slower.
    """

    __slots__ = (
        "credits",
        "outstanding",
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
        self.credits = 0
        self.outstanding = 0
        self.speed_ = 1.0
