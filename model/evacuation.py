"""Specification of evacuations: no start in a zone that is evacuated for long.

The operator evacuates a zone and takes it back, up to twice. An entry reads the
store completely, and the sidecar of the zone reads it in a way that may be
outdated. Both pass their views to each other in messages that may be delayed
for any time and arrive in any order. The entry may restart without a view, and
send starts that arrive at any time.

The bound is not counted in ticks. It is long enough for what the invariant
supposes: since the latest request to evacuate, the sidecar has read the store,
or has received a view of the entry that was sent after the entry had read it.
Whatever else happens, before or after that, the sidecar then starts nothing
until the zone is taken back. Once it has received a view that was read after
that, it starts tasks again.
"""

import enum
from collections.abc import Iterator
from typing import NamedTuple

from minicheck import Protocol

__all__ = ["EvacuationMutant", "make_evacuation"]

MAX_REVISION = 4


class EvacuationMutant(enum.Enum):
    """A rule left out of the specification; each mutant must be refuted."""

    LATEST_MESSAGE_WINS = "latest message wins"
    STALE_READ_IS_COMPLETE = "stale read taken as complete"
    ONLY_ENTRIES_REFUSE = "only entries refuse"
    NO_REQUEST_REVISION = "request without a revision"
    REQUESTS_STAY = "newer read ends no evacuation"


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
        revision: Revision of the store. The zone is evacuated at odd ones.
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
        has_started: True once a task has started although the bound was over.
    """

    revision: int = 0
    entry: View = View()
    sidecar: View = View()
    to_sidecar: View | None = None
    to_entry: View | None = None
    is_start_sent: bool = False
    is_informed: bool = False
    is_news_sent: bool = False
    is_entry_informed: bool = False
    has_started: bool = False


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
        requested_at = max(requested_at, older.requested_at)
    return View(newer.complete_at, requested_at)


def _is_used_again(state: dict) -> bool:
    """Returns False if a sidecar refuses starts although it was informed."""
    sidecar = View(*state["sidecar"])
    is_current = sidecar.complete_at == state["revision"]
    if not is_current or _is_evacuated(state["revision"]):
        return True
    return not sidecar.requested_at


def _is_evacuated(revision: int) -> bool:
    return revision % 2 == 1


def _requested_at(revision: int) -> int:
    return revision if _is_evacuated(revision) else 0


def _steps(state: State, mutant: EvacuationMutant | None) -> Iterator[Step]:
    if state.revision < MAX_REVISION:
        yield (
            "the operator evacuates or takes back",
            state._replace(
                revision=state.revision + 1,
                is_informed=False,
                is_news_sent=False,
                is_entry_informed=False,
            ),
        )
    yield from _entry_steps(state, mutant)
    yield from _sidecar_steps(state, mutant)


def _entry_steps(
    state: State, mutant: EvacuationMutant | None
) -> Iterator[Step]:
    read = View(state.revision, _requested_at(state.revision))
    yield (
        "the entry reads the store",
        state._replace(
            entry=_merge(state.entry, read, mutant), is_entry_informed=True
        ),
    )
    yield (
        "the entry restarts",
        state._replace(entry=View(), is_entry_informed=False),
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
        read = View(state.revision * is_complete, _requested_at(revision))
        yield (
            f"the sidecar reads revision {revision}",
            state._replace(
                sidecar=_merge(state.sidecar, read, mutant),
                is_informed=state.is_informed or revision == state.revision,
            ),
        )
    yield "the sidecar sends its view", state._replace(to_entry=state.sidecar)
    if state.to_sidecar is not None:
        yield (
            "a view reaches the sidecar",
            state._replace(
                sidecar=_merge(state.sidecar, state.to_sidecar, mutant),
                is_informed=state.is_informed or state.is_news_sent,
                to_sidecar=None,
                is_news_sent=False,
            ),
        )
        yield "a view is lost", state._replace(to_sidecar=None)
    if state.is_start_sent:
        yield "the start reaches the sidecar", _start(state, mutant)


def _start(state: State, mutant: EvacuationMutant | None) -> State:
    received = state._replace(is_start_sent=False)
    is_refused = state.sidecar.requested_at > 0
    if is_refused and mutant is not EvacuationMutant.ONLY_ENTRIES_REFUSE:
        return received
    is_late = _is_evacuated(state.revision) and state.is_informed
    return received._replace(has_started=state.has_started or is_late)
