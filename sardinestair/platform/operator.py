"""Converts the operator's configuration into a settings tree."""

import msgspec

from sardinestair.messages import DECODE_ERRORS
from sardinestair.observability import EventLog
from sardinestair.platform.wire import (
    Configuration,
    ConfiguredRoute,
)
from sardinestair.settings.records import VersionedTree
from sardinestair.settings.tree import (
    WILDCARD,
    KindNode,
    Overrides,
    RouteNode,
    ServiceNode,
    SettingsTree,
    ZoneNode,
)
from sardinestair.store.port import Snapshot

__all__ = [
    "CONFIGURATION_KEY",
    "EVACUATION_PREFIX",
    "OPERATOR_PREFIX",
    "read_configuration",
    "to_tree",
]

OPERATOR_PREFIX = "op/"
CONFIGURATION_KEY = "op/config"
EVACUATION_PREFIX = "op/evacuate/"
MS_PER_S = 1000.0

_log = EventLog("operator")


def read_configuration(snapshot: Snapshot) -> VersionedTree | None:
    """Decodes the configuration in a snapshot of the store.

    Args:
        snapshot: Items whose keys start with `OPERATOR_PREFIX`.

    Returns:
        The settings tree with the configuration's version, or None if the
        configuration is missing or can't be decoded.
    """
    for item in snapshot.items:
        if item.key != CONFIGURATION_KEY:
            continue
        try:
            configuration = msgspec.json.decode(item.value, type=Configuration)
        except DECODE_ERRORS as error:
            _log.error(
                "configuration_unreadable",
                revision=item.revision,
                reason=str(error),
            )
            return None
        return VersionedTree(
            to_tree(configuration), configuration.version, {}, {}
        )
    return None


def to_tree(configuration: Configuration) -> SettingsTree:
    """Converts a configuration into a settings tree.

    Each route becomes a kind of job of its service. Routes whose service is
    not configured are skipped.
    """
    services = {
        service.name: ServiceNode(zones={WILDCARD: ZoneNode()})
        for service in configuration.services
    }
    routes = {}
    for route in configuration.routes:
        node = services.get(route.service)
        if node is None:
            _log.warning(
                "route_without_service",
                route=route.name,
                service=route.service,
                version=configuration.version,
            )
            continue
        node.zones[WILDCARD].kinds[route.name] = KindNode(_to_overrides(route))
        routes[route.name] = RouteNode(
            route.host, route.prefix, route.service, route.name
        )
    return SettingsTree(services=services, routes=routes)


def _to_overrides(route: ConfiguredRoute) -> Overrides:
    return Overrides(
        deadline_s=route.timeout_ms / MS_PER_S,
        max_attempts=route.max_attempts,
        # Only runs that end as failed are attempts.
        repeat_interrupted=True,
        priority=route.priority,
        objective_stretch=route.objective_stretch,
        objective_s=route.objective_ms / MS_PER_S,
    )
