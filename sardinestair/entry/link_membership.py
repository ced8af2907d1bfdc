"""The links of an entry to the sidecars that announce themselves."""

from typing import Protocol

import zmq

from sardinestair.clock import Clock
from sardinestair.entry.departure import DepartureMonitor
from sardinestair.entry.service_state import ServiceState
from sardinestair.ids import Incarnation
from sardinestair.links.entry_link import EntryLink, LinkOwner, LinkState
from sardinestair.links.timing import LinkTiming
from sardinestair.messages import Announce

__all__ = ["LinkMembership", "MembershipOwner"]


class MembershipOwner(LinkOwner, Protocol):
    """The entry, as its links depend on it; its lock is held.

    Attributes:
        incarnation: The entry's incarnation.
        clock: The clock.
        context: The ZeroMQ context for links.
        timing: Timeouts of links.
        services: State of each service, by name.
        links: Links by sidecar.
        departures: Moves tasks off upstreams that are about to leave.
    """

    incarnation: Incarnation
    clock: Clock
    context: zmq.Context
    timing: LinkTiming
    services: dict[str, ServiceState]
    links: dict[Incarnation, EntryLink]
    departures: DepartureMonitor

    def service_state(self, service: str) -> ServiceState:
        """Returns the state of a service; creates it on first use."""
        ...


class LinkMembership:
    """Opens, updates and removes links as sidecars announce themselves.

    Args:
        owner: The entry.
    """

    def __init__(self, owner: MembershipOwner):
        self.owner = owner

    def handle_announcement(self, announce: Announce) -> EntryLink | None:
        """Opens, updates or removes the link to an announced sidecar.

        Args:
            announce: The sidecar's announcement.

        Returns:
            A new link that the caller must add to the `LinkLoop`, or None if
            no link was opened.
        """
        link = self.owner.links.get(announce.sidecar)
        is_leaving = announce.leaving or not announce.service
        if link is not None and link.state is not LinkState.CLOSED:
            state = self.owner.services[link.candidate.service]
            now_s = self.owner.clock.monotonic()
            self.owner.departures.observe(state, link, announce, now_s)
            state.observe_warmth(link, announce.status, now_s)
            if is_leaving and not link.outstanding:
                self.remove_sidecar(announce.sidecar)
            else:
                self._update_slots(link, announce)
                self._adopt_status(link, announce)
            return None
        if is_leaving:
            return None
        link = EntryLink(
            self.owner,
            self.owner.incarnation,
            announce,
            self.owner.timing,
            self.owner.clock,
            self.owner.context,
        )
        self.owner.links[announce.sidecar] = link
        state = self.owner.service_state(announce.service)
        state.links[announce.sidecar] = link
        state.observe_warmth(
            link, announce.status, self.owner.clock.monotonic()
        )
        self._adopt_status(link, announce)
        return link

    def remove_sidecar(self, sidecar: Incarnation) -> None:
        """Removes a sidecar and closes the link to it."""
        link = self.owner.links.pop(sidecar, None)
        if link is None:
            return
        link.close()
        state = self.owner.services[link.candidate.service]
        state.links.pop(sidecar, None)
        state.speeds.remove(sidecar)
        state.crash_avoidance.forget(sidecar)
        state.health.remove(sidecar)
        self.owner.place_waiting()

    def _update_slots(self, link: EntryLink, announce: Announce) -> None:
        candidate = link.candidate
        offered = (announce.slots, announce.capacity)
        if offered != (candidate.slots, candidate.capacity):
            candidate.resize(*offered)
            self.owner.on_link_changed(link)

    def _adopt_status(self, link: EntryLink, announce: Announce) -> None:
        candidate = link.candidate
        slowdown = candidate.slowdown_
        state = self.owner.services[candidate.service]
        rack = announce.status.rack if announce.status else ""
        if rack != candidate.rack:
            state.policy.remove(candidate)
            candidate.rack = rack
            self.owner.on_link_changed(link)
        state.speeds.adopt(candidate, announce.status)
        if candidate.slowdown_ != slowdown:
            self.owner.on_link_changed(link)
