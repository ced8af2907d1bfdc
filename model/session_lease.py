"""Specification of the session lease: one task, its upstream, and a rival.

An entry starts a task through a sidecar. The task may run again elsewhere once
the entry has given it up, or once a caller that lost its entry has submitted
it again. At no time may both runs be active.

Time goes in ticks. Frames, starts and orders to the upstream may be held up
for as long as they like, the entry may die, and the sidecar may freeze at any
moment and wake at any other. The figures keep the inequalities of
`sardinestair.links.timing` with one tick to spare:

    SESSION + LEASE < RESUBMISSION    and    SESSION + LEASE < LOST
"""

import enum
from collections.abc import Iterator
from typing import NamedTuple

from minicheck import Protocol

__all__ = ["LeaseMutant", "make_session_lease"]

SESSION = 3
LEASE = 2
LOST = 6
RESUBMISSION = 6
NEVER = -1
STALE = SESSION + 1
"""Ages of frames beyond it make no difference."""


class LeaseMutant(enum.Enum):
    """A rule left out; each must be refuted."""

    NO_STOP_ON_LOST_ENTRY = "no stop on a lost entry"
    ATTEMPT_AFTER_TIMEOUT = "attempt after a time-out"
    UNANSWERED_START_IS_NOT_RUN = "unanswered start taken as not run"
    SESSION_FROM_ARRIVAL = "session counted from the arrival of a frame"
    STALE_START_TAKEN = "start in a stale frame taken"
    LONG_LEASE = "lease as long as the session and more"


class Order(enum.Enum):
    """The start order to the upstream."""

    NONE = "none"
    PENDING = "pending"
    CARRIED_OUT = "carried out"
    REFUSED = "refused"


class State(NamedTuple):
    """The system; ages and what is left are in ticks.

    Attributes:
        heard: Age of the sidecar's latest frame at the entry; sent and
            received in the same tick, since a later arrival only lets the
            entry wait for longer.
        dead: Time since the entry died, or NEVER.
        start_frame: Age of the echo in the start under way, or NEVER.
        is_start_sent: True once it was sent.
        held_frame: Age of the echo in a heartbeat held up, or NEVER.
        session: Age of what the sidecar counts the session from.
        is_frozen: True while the sidecar stands still.
        order: The start order.
        order_left: Time in which it can be carried out.
        lease_left: Time left of the lease at the upstream.
        is_running: True while the first run is active.
        has_rival: True once the second run may be active.
    """

    heard: int = 0
    dead: int = NEVER
    start_frame: int = NEVER
    is_start_sent: bool = False
    held_frame: int = NEVER
    session: int = 0
    is_frozen: bool = False
    order: Order = Order.NONE
    order_left: int = 0
    lease_left: int = 0
    is_running: bool = False
    has_rival: bool = False


Step = tuple[str, State]


def make_session_lease(mutant: LeaseMutant | None = None) -> Protocol:
    """Returns the specification.

    Args:
        mutant: The rule to leave out, if any.
    """
    return Protocol(
        name=mutant.value if mutant else "session lease",
        candidate=False,
        fields=State._fields,
        initial=State(),
        transitions=lambda state: list(_steps(State(*state), mutant)),
        invariants={
            "one run at a time": lambda state: (
                not (state["is_running"] and state["has_rival"])
            )
        },
    )


def _steps(state: State, mutant: LeaseMutant | None) -> Iterator[Step]:
    yield from _entry_steps(state, mutant)
    yield from _frame_steps(state, mutant)
    yield from _sidecar_steps(state, mutant)
    yield from _upstream_steps(state)
    yield from _time_steps(state, mutant)


def _entry_steps(state: State, mutant: LeaseMutant | None) -> Iterator[Step]:
    if state.dead != NEVER:
        if state.dead >= RESUBMISSION and not state.has_rival:
            yield "the caller submits again", state._replace(has_rival=True)
        return
    yield "the entry dies", state._replace(dead=0, heard=LOST)
    if not state.is_frozen:
        yield "a frame reaches the entry", state._replace(heard=0)
    echo = min(state.heard, STALE)
    if not state.is_start_sent:
        yield (
            "the entry sends the start",
            state._replace(start_frame=echo, is_start_sent=True),
        )
    yield "the entry sends", state._replace(held_frame=echo)
    patience = SESSION if mutant is LeaseMutant.ATTEMPT_AFTER_TIMEOUT else LOST
    if state.is_start_sent and state.heard >= patience:
        yield "the entry starts it elsewhere", state._replace(has_rival=True)


def _frame_steps(state: State, mutant: LeaseMutant | None) -> Iterator[Step]:
    if state.is_frozen:
        return
    from_arrival = mutant is LeaseMutant.SESSION_FROM_ARRIVAL
    if state.held_frame != NEVER:
        seen = 0 if from_arrival else state.held_frame
        yield (
            "a frame reaches the sidecar",
            state._replace(held_frame=NEVER, session=min(state.session, seen)),
        )
    if state.start_frame == NEVER:
        return
    arrived = state._replace(start_frame=NEVER)
    is_fresh = state.start_frame <= SESSION
    if is_fresh or mutant is LeaseMutant.STALE_START_TAKEN:
        seen = 0 if not is_fresh else state.start_frame
        yield (
            "the start reaches the sidecar",
            arrived._replace(
                order=Order.PENDING,
                order_left=_lease(mutant),
                session=min(state.session, seen),
            ),
        )
    else:
        yield "the start is refused", arrived


def _sidecar_steps(state: State, mutant: LeaseMutant | None) -> Iterator[Step]:
    if state.is_frozen:
        yield "the sidecar wakes", state._replace(is_frozen=False)
        return
    yield "the sidecar freezes", state._replace(is_frozen=True)
    if not _must_stop(state, mutant):
        left = max(state.lease_left, _lease(mutant))
        yield "the lease is renewed", state._replace(lease_left=left)
    if state.order is Order.PENDING or state.is_running:
        yield (
            "a stop is answered",
            state._replace(order=Order.REFUSED, is_running=False),
        )
    is_unanswered = state.order is Order.PENDING
    takes_it = mutant is LeaseMutant.UNANSWERED_START_IS_NOT_RUN
    if state.order is Order.REFUSED or (is_unanswered and takes_it):
        yield "told as not run", state._replace(has_rival=True)


def _upstream_steps(state: State) -> Iterator[Step]:
    if state.order is Order.PENDING and state.order_left > 0:
        yield (
            "the start is carried out",
            state._replace(
                order=Order.CARRIED_OUT,
                is_running=True,
                lease_left=max(state.lease_left, state.order_left),
                order_left=0,
            ),
        )


def _time_steps(state: State, mutant: LeaseMutant | None) -> Iterator[Step]:
    """A sidecar that is awake stops what it must before time goes on."""
    if not state.is_frozen and _must_stop(state, mutant):
        return
    lease_left = max(0, state.lease_left - 1)
    yield (
        "time passes",
        state._replace(
            heard=min(state.heard + 1, LOST),
            dead=_older(state.dead, RESUBMISSION),
            start_frame=_older(state.start_frame, STALE),
            held_frame=_older(state.held_frame, STALE),
            session=min(state.session + 1, STALE),
            order_left=max(0, state.order_left - 1),
            lease_left=lease_left,
            is_running=state.is_running and lease_left > 0,
        ),
    )


def _older(age: int, most: int) -> int:
    return NEVER if age == NEVER else min(age + 1, most)


def _must_stop(state: State, mutant: LeaseMutant | None) -> bool:
    if mutant is LeaseMutant.NO_STOP_ON_LOST_ENTRY:
        return False
    is_over = state.session > SESSION
    return is_over and (state.is_running or state.order is Order.PENDING)


def _lease(mutant: LeaseMutant | None) -> int:
    return SESSION + 1 if mutant is LeaseMutant.LONG_LEASE else LEASE
