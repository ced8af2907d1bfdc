"""Urgency classes that the settings of a service define."""

import msgspec

from sardinestair.placement import OrderPolicy
from sardinestair.settings.tree import (
    WILDCARD,
    ServiceSettings,
    SettingsTree,
    resolve_settings,
)

__all__ = ["priorities", "resolve_service"]


def priorities(
    tree: SettingsTree, service: str, zone: str = WILDCARD
) -> set[int]:
    """Returns the priorities of the kinds of job of a service.

    Args:
        tree: The settings tree.
        service: Name of the service.
        zone: Name of the availability zone.

    Examples:
        >>> priorities(SettingsTree(), "quotes")
        {0}
    """
    node = tree.services.get(service)
    zones = node.zones if node else {}
    kinds = {
        kind
        for name in (WILDCARD, zone)
        if name in zones
        for kind in zones[name].kinds
    }
    return {
        resolve_settings(tree, service, zone, kind).priority
        for kind in kinds or {WILDCARD}
    }


def resolve_service(
    tree: SettingsTree, service: str, zone: str = WILDCARD
) -> ServiceSettings:
    """Returns the settings of a service, with the order that applies.

    With a single priority there are no classes to protect, and the order
    `urgent_first` is `least_slack`.
    """
    settings = resolve_settings(tree, service, zone)
    has_classes = len(priorities(tree, service, zone)) > 1
    if settings.order is OrderPolicy.URGENT_FIRST and not has_classes:
        return msgspec.structs.replace(settings, order=OrderPolicy.LEAST_SLACK)
    return settings
