"""The subset of a service's settings that its sidecars use."""

import msgspec

__all__ = ["SidecarPolicy"]


class SidecarPolicy(msgspec.Struct, frozen=True):
    """Effective settings of a sidecar.

    Attributes:
        not_run_statuses: HTTP statuses with which the service reports that a
            task did not begin.
        read_ahead: Credits granted beyond the upstream's slots.
        recall_delay_s: How long tasks must wait before idle credits of other
            entries are recalled, in seconds.
        cold_share: Share of its capacity that an upstream gets when it is
            coldest.
        idle_grant_delay_s: Time without demand after which free capacity is
            granted in advance, in seconds.
    """

    not_run_statuses: list[int] = []
    read_ahead: int = 0
    recall_delay_s: float = 0.0
    cold_share: float = 1.0
    idle_grant_delay_s: float = 0.0
