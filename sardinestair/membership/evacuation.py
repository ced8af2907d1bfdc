"""Availability zones that operators have evacuated."""

from sardinestair.messages import EvacuationView
from sardinestair.observability import EventLog
from sardinestair.store.port import Snapshot

__all__ = ["EvacuationRegister", "merge_views", "read_view"]


def merge_views(
    first: EvacuationView, second: EvacuationView
) -> EvacuationView:
    """Combines what two views state.

    The view that was read at the higher revision decides, except about zones
    whose evacuation was requested after it was read. The result is the same in
    any order, and however often a view is merged.

    Examples:
        >>> old = EvacuationView(5, {"leinster": 4})
        >>> merge_views(old, EvacuationView(7)).zones
        {}
        >>> merge_views(old, EvacuationView(7, {"munster": 9})).zones
        {'munster': 9}
    """
    older, newer = sorted((first, second), key=lambda view: view.revision)
    later = {
        zone: revision
        for zone, revision in older.zones.items()
        if revision > newer.revision
    }
    zones = newer.zones | later
    for zone in later:
        zones[zone] = max(later[zone], newer.zones.get(zone, 0))
    return EvacuationView(newer.revision, zones)


def read_view(
    snapshot: Snapshot, prefix: str, may_be_stale: bool = False
) -> EvacuationView:
    """Returns the evacuations in a snapshot of the store.

    Args:
        snapshot: Items of the store, including all whose key is `prefix` and a
            zone.
        prefix: Prefix of the keys of evacuated zones.
        may_be_stale: Whether the snapshot may be outdated. It then shows that
            a zone was evacuated, but not that another is not.
    """
    zones = {
        item.key.removeprefix(prefix): item.revision
        for item in snapshot.items
        if item.key.startswith(prefix)
    }
    return EvacuationView(0 if may_be_stale else snapshot.revision, zones)


class EvacuationRegister:
    """The evacuated zones as far as this process has been informed.

    Views come from the store, from other entries and from sidecars, in any
    order. An older view never replaces a newer one. The last accepted view
    stays in force until a newer one arrives.

    Attributes:
        view: All views so far, merged.

    Examples:
        >>> register = EvacuationRegister()
        >>> register.observe(EvacuationView(5, {"leinster": 4}))
        True
        >>> register.observe(EvacuationView(3))
        False
        >>> sorted(register.zones)
        ['leinster']
    """

    def __init__(self) -> None:
        self.view = EvacuationView()
        self.log = EventLog("evacuation")

    @property
    def zones(self) -> frozenset[str]:
        """The zones that are evacuated."""
        return frozenset(self.view.zones)

    def observe(self, view: EvacuationView) -> bool:
        """Merges a view.

        Returns:
            True if this has changed which zones are evacuated.
        """
        before = self.view.zones
        self.view = merge_views(self.view, view)
        began = sorted(self.view.zones.keys() - before.keys())
        ended = sorted(before.keys() - self.view.zones.keys())
        for zone in began:
            self.log.warning(
                "zone_evacuated",
                evacuated_zone=zone,
                revision=self.view.zones[zone],
            )
        for zone in ended:
            self.log.info(
                "zone_returned",
                evacuated_zone=zone,
                revision=self.view.revision,
            )
        return bool(began or ended)

    def is_outdated_by(self, snapshot: EvacuationView) -> bool:
        """Returns True if a stale read lacks a zone that is evacuated here.

        The evacuation may have ended since; only a read that is not stale can
        confirm that.
        """
        return bool(self.view.zones.keys() - snapshot.zones.keys())
