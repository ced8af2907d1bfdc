"""Limits of the ZeroMQ sockets of a process."""

import ipaddress
from typing import Annotated

import msgspec
from msgspec import Meta

__all__ = ["LinkLimits"]


class LinkLimits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits of what others can make the link port of a process hold.

    Attributes:
        network: IPv4 network in CIDR notation whose addresses may connect to
            the link port; others are disconnected at once. None for all.
        max_frame_mb: Maximum size of a frame in MB. It must exceed the largest
            request body, and at entries the largest result. None for a part of
            the memory of the machine, if that is set.
    """

    network: str | None = None
    max_frame_mb: Annotated[int, Meta(ge=1, le=1024)] | None = None

    def __post_init__(self) -> None:
        """Checks the network.

        Raises:
            ValueError: If it is no IPv4 network.
        """
        if self.network is not None:
            ipaddress.IPv4Network(self.network)
