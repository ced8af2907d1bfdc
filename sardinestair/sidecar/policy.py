"""The part of a service's settings that its sidecars need."""

import msgspec

__all__ = ["SidecarPolicy"]


class SidecarPolicy(msgspec.Struct, frozen=True):
    """Effective settings of a sidecar.

    Attributes:
        not_run_statuses: HTTP statuses that say that a task did not begin.
        read_ahead: Credits beyond the upstream's slots.
    """

    not_run_statuses: list[int] = []
    read_ahead: int = 0
