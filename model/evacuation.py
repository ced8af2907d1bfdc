"""Specification of evacuations: no start in a zone that is evacuated for long.

The operator evacuates a zone and takes it back, up to twice, also before anyone
has read of it, and meanwhile evacuates another zone or takes it back. An entry
reads the store completely, and the sidecar of the zone reads it in a way that
may be outdated. Both pass their views to each other in messages that may be
delayed for any time and arrive in any order. The store may be unavailable for
any time, and the history that the entry follows may be dropped. The entry may
restart without a view or with that of an earlier read, and send starts that
arrive at any time. The upstream may drain, and serve again, at any time.

The bound is not counted in ticks. It is long enough for what the invariant
supposes: since the latest request to evacuate, the sidecar has read the store,
or has received a view of the entry that was sent after the entry had read it.
Whatever else happens, before or after that, the sidecar then starts nothing
until the zone is taken back. Once it has received a view that was read after
that, it starts tasks again. While the upstream drains it starts nothing either.
"""

import enum
from collections.abc import Iterator
from typing import NamedTuple

from minicheck import Protocol

__all__ = ["EvacuationMutant", "make_evacuation"]

MAX_REVISION = 4
# Changes of the other zone among them, which may overlap with both evacuations.
MAX_OTHER_CHANGES = 1


class EvacuationMutant(enum.Enum):
    """A rule left out of the specification; each mutant must be refuted."""

    LATEST_MESSAGE_WINS = "latest message wins"
    STALE_READ_IS_COMPLETE = "stale read taken as complete"
    ONLY_ENTRIES_REFUSE = "only entries refuse"
    NO_REQUEST_REVISION = "request without a revision"
    REQUESTS_STAY = "newer read ends no evacuation"
    DROPPED_HISTORY_IS_READ = "dropped history taken as read"
    OLD_VIEW_IS_CURRENT = "view before a restart taken as current"
    EARLIER_REQUEST_STAYS = "earlier of two requests kept"
    LATEST_CHANGE_ONLY = "latest change taken for all zones"
    RETURN_ENDS_DRAIN = "return ends a drain"
    SERVING_ENDS_EVACUATION = "end of a drain ends an evacuation"


class View(NamedTuple):
    """What a process has read or received about the zone.

    Attributes:
        complete_at: Revision of the latest complete read that it rests on.
        requested_at: Revision of the request to evacuate, 0 if there is none.
    """

    complete_at: int = 0
    requested_at: int = 0


class State(NamedTuple):
    """State of the system.

    Attributes:
        requests: Revision of the request that evacuates the zone, 0 if there is
            none, by revision of the store.
        entry: View of the entry.
        sidecar: View of the sidecar.
        to_sidecar: View in a message to the sidecar, or None.
        to_entry: View in a message to the entry, or None.
        is_start_sent: True while a start is on its way to the sidecar.
        is_informed: True once what the bound supposes has happened since the
            latest request.
        is_news_sent: True if the message to the sidecar was sent after the
            entry had read the latest request.
        is_entry_informed: True once the entry has read the latest request.
        is_draining: True while the upstream drains.
        is_drain_observed: True while the sidecar refuses starts for it.
        has_started: True once a task has started although the bound was over.
        has_started_in_drain: True once a task has started in a drain.
    """

    requests: tuple[int, ...] = (0,)
    entry: View = View()
    sidecar: View = View()
    to_sidecar: View | None = None
    to_entry: View | None = None
    is_start_sent: bool = False
    is_informed: bool = False
    is_news_sent: bool = False
    is_entry_informed: bool = False
    is_draining: bool = False
    is_drain_observed: bool = False
    has_started: bool = False
    has_started_in_drain: bool = False

    @property
    def revision(self) -> int:
        """Revision of the store."""
        return len(self.requests) - 1

    @property
    def is_evacuated(self) -> bool:
        """True while the zone is evacuated."""
        return self.requests[-1] > 0


Step = tuple[str, State]


def make_evacuation(mutant: EvacuationMutant | None = None) -> Protocol:
    """Builds the specification.

    Args:
        mutant: The rule to leave out, if any.
    """
    return Protocol(
        name=mutant.value if mutant else "evacuation",
        candidate=False,
        fields=State._fields,
        initial=State(),
        transitions=lambda state: list(_steps(State(*state), mutant)),
        invariants={
            "no start after the bound": lambda state: not state["has_started"],
            "no start in a drain": lambda state: (
                not state["has_started_in_drain"]
            ),
            "zone is used again": _is_used_again,
        },
    )


def _merge(view: View, received: View, mutant: EvacuationMutant | None) -> View:
    """Merges views as `sardinestair.membership.evacuation` does."""
    if mutant is EvacuationMutant.LATEST_MESSAGE_WINS:
        return received
    older, newer = sorted((view, received))
    requested_at = newer.requested_at
    if mutant is EvacuationMutant.NO_REQUEST_REVISION:
        return View(newer.complete_at, requested_at)
    if mutant is EvacuationMutant.REQUESTS_STAY:
        latest = max(older.requested_at, requested_at)
        return View(newer.complete_at, latest)
    if older.requested_at > newer.complete_at:
        later = max(requested_at, older.requested_at)
        if mutant is EvacuationMutant.EARLIER_REQUEST_STAYS:
            later = requested_at or older.requested_at
        requested_at = later
    return View(newer.complete_at, requested_at)


def _is_used_again(state: dict) -> bool:
    """Returns False if a sidecar refuses starts although it was informed."""
    sidecar = View(*state["sidecar"])
    requests = state["requests"]
    is_current = sidecar.complete_at == len(requests) - 1
    if not is_current or requests[-1]:
        return True
    return not sidecar.requested_at


def _read(state: State, revision: int, mutant: EvacuationMutant | None) -> View:
    """Returns what a complete read at a revision shows."""
    requested_at = state.requests[revision]
    if mutant is EvacuationMutant.LATEST_CHANGE_ONLY and revision:
        has_changed = requested_at != state.requests[revision - 1]
        requested_at *= has_changed
    return View(revision, requested_at)


def _steps(state: State, mutant: EvacuationMutant | None) -> Iterator[Step]:
    if state.revision < MAX_REVISION:
        yield from _operator_steps(state)
    yield from _entry_steps(state, mutant)
    yield from _sidecar_steps(state, mutant)
    yield from _upstream_steps(state, mutant)


def _operator_steps(state: State) -> Iterator[Step]:
    requests, revision = state.requests, state.revision + 1
    requested_at = 0 if state.is_evacuated else revision
    yield (
        "the operator evacuates or takes back",
        state._replace(
            requests=(*requests, requested_at),
            is_informed=False,
            is_news_sent=False,
            is_entry_informed=False,
        ),
    )
    others = sum(
        requests[number] == requests[number - 1]
        for number in range(1, revision)
    )
    if others < MAX_OTHER_CHANGES:
        yield (
            "the operator changes another zone",
            state._replace(requests=(*requests, requests[-1])),
        )


def _entry_steps(
    state: State, mutant: EvacuationMutant | None
) -> Iterator[Step]:
    read = _read(state, state.revision, mutant)
    yield (
        "the entry reads the store",
        state._replace(
            entry=_merge(state.entry, read, mutant), is_entry_informed=True
        ),
    )
    if mutant is EvacuationMutant.DROPPED_HISTORY_IS_READ:
        # By the rule it has to read the store before its view is complete.
        yield (
            "the history is dropped",
            state._replace(
                entry=state.entry._replace(complete_at=state.revision)
            ),
        )
    yield (
        "the entry restarts",
        state._replace(entry=View(), is_entry_informed=False),
    )
    for revision in range(1, state.revision):
        old = _read(state, revision, mutant)
        if mutant is EvacuationMutant.OLD_VIEW_IS_CURRENT:
            old = old._replace(complete_at=state.revision)
        yield (
            f"the entry restarts with its view of revision {revision}",
            state._replace(entry=old, is_entry_informed=False),
        )
    yield (
        "the entry sends its view",
        state._replace(
            to_sidecar=state.entry, is_news_sent=state.is_entry_informed
        ),
    )
    if state.to_entry is not None:
        yield (
            "a view reaches the entry",
            state._replace(
                entry=_merge(state.entry, state.to_entry, mutant),
                to_entry=None,
            ),
        )
    if not state.entry.requested_at:
        yield "the entry sends a start", state._replace(is_start_sent=True)


def _sidecar_steps(
    state: State, mutant: EvacuationMutant | None
) -> Iterator[Step]:
    for revision in range(state.revision + 1):
        # The revision that the store returns may be newer than the items.
        is_complete = mutant is EvacuationMutant.STALE_READ_IS_COMPLETE
        read = _read(state, revision, mutant)._replace(
            complete_at=state.revision * is_complete
        )
        yield (
            f"the sidecar reads revision {revision}",
            _observe(state, read, mutant)._replace(
                is_informed=state.is_informed or revision == state.revision,
            ),
        )
    yield "the sidecar sends its view", state._replace(to_entry=state.sidecar)
    if state.to_sidecar is not None:
        yield (
            "a view reaches the sidecar",
            _observe(state, state.to_sidecar, mutant)._replace(
                is_informed=state.is_informed or state.is_news_sent,
                to_sidecar=None,
                is_news_sent=False,
            ),
        )
        yield "a view is lost", state._replace(to_sidecar=None)
    if state.is_start_sent:
        yield "the start reaches the sidecar", _start(state, mutant)


def _observe(
    state: State, received: View, mutant: EvacuationMutant | None
) -> State:
    """Merges a view into that of the sidecar."""
    merged = _merge(state.sidecar, received, mutant)
    has_returned = bool(state.sidecar.requested_at and not merged.requested_at)
    is_reopened = mutant is EvacuationMutant.RETURN_ENDS_DRAIN and has_returned
    return state._replace(
        sidecar=merged,
        is_drain_observed=state.is_drain_observed and not is_reopened,
    )


def _upstream_steps(
    state: State, mutant: EvacuationMutant | None
) -> Iterator[Step]:
    if not state.is_draining:
        yield (
            "the upstream drains",
            state._replace(is_draining=True, is_drain_observed=True),
        )
        return
    sidecar = state.sidecar
    if mutant is EvacuationMutant.SERVING_ENDS_EVACUATION:
        sidecar = sidecar._replace(requested_at=0)
    yield (
        "the upstream serves again",
        state._replace(
            sidecar=sidecar, is_draining=False, is_drain_observed=False
        ),
    )


def _start(state: State, mutant: EvacuationMutant | None) -> State:
    received = state._replace(is_start_sent=False)
    is_refused = (
        state.sidecar.requested_at > 0
        and mutant is not EvacuationMutant.ONLY_ENTRIES_REFUSE
    )
    if is_refused or state.is_drain_observed:
        return received
    is_late = state.is_evacuated and state.is_informed
    return received._replace(
        has_started=state.has_started or is_late,
        has_started_in_drain=state.has_started_in_drain or state.is_draining,
    )
