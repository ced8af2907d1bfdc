"""Specification of the session lease: two runs of one task never overlap.

An entry starts a task through a sidecar, which holds a lease on the run at
its upstream. A second run may start elsewhere once the entry considers the
first lost, or once a caller whose entry died has submitted the job again. The
two runs must never be active at the same time.

Time is counted in ticks. Frames and start orders may be delayed for any time,
stops may take any time, the entry may die, and the sidecar may freeze and wake
at any time. The durations keep the inequalities of
`sardinestair.links.timing`, with one tick to spare:

    SESSION_TICKS + LEASE_TICKS < RESUBMISSION_TICKS
    SESSION_TICKS + LEASE_TICKS < LOST_TICKS
"""

import enum
from collections.abc import Iterator
from typing import NamedTuple

from minicheck import Protocol

__all__ = ["LeaseMutant", "make_session_lease"]

SESSION_TICKS = 3
LEASE_TICKS = 2
LOST_TICKS = 6
RESUBMISSION_TICKS = 6
NEVER = -1
STALE_TICKS = SESSION_TICKS + 1
"""Ages of echoes and sessions are capped here; older ones behave alike."""


class LeaseMutant(enum.Enum):
    """A rule left out of the specification; each mutant must be refuted."""

    NO_STOP_ON_LOST_ENTRY = "no stop on a lost entry"
    ATTEMPT_AFTER_TIMEOUT = "attempt after a time-out"
    UNANSWERED_START_IS_NOT_RUN = "unanswered start taken as not run"
    SESSION_FROM_ARRIVAL = "session counted from the arrival of a frame"
    STALE_START_TAKEN = "start in a stale frame taken"
    LEASE_RENEWED_DURING_STOP = "lease renewed while a stop takes long"
    LONG_LEASE = "lease as long as the session and more"


class StartOrder(enum.Enum):
    """State of the sidecar's order to the upstream to start the run."""

    NONE = "none"
    PENDING = "pending"
    CARRIED_OUT = "carried out"
    REFUSED = "refused"


class State(NamedTuple):
    """State of the system; ages and remaining times are in ticks.

    An echo is the time at which the sidecar sent the latest frame that the
    entry has received. The entry returns it in its own frames, and the sidecar
    counts its session from it.

    Attributes:
        silent_for: Time since the entry received a frame of the sidecar. Such
            frames arrive in the tick in which they are sent, since a delay
            would only let the entry wait longer.
        dead_for: Time since the entry died, or NEVER.
        start_echo_age: Age of the echo in the start in flight, or NEVER.
        is_start_sent: True once the start was sent.
        heartbeat_echo_age: Age of the echo in a heartbeat in flight, or NEVER.
        session_age: Age of the latest echo that the sidecar has received.
        is_frozen: True while the sidecar is frozen.
        order: State of the start order.
        order_left: Remaining time in which the order can be carried out.
        lease_left: Remaining time of the lease at the upstream.
        is_running: True while the first run is active.
        has_second_run: True once the second run may be active.
    """

    silent_for: int = 0
    dead_for: int = NEVER
    start_echo_age: int = NEVER
    is_start_sent: bool = False
    heartbeat_echo_age: int = NEVER
    session_age: int = 0
    is_frozen: bool = False
    order: StartOrder = StartOrder.NONE
    order_left: int = 0
    lease_left: int = 0
    is_running: bool = False
    has_second_run: bool = False


Step = tuple[str, State]


def make_session_lease(mutant: LeaseMutant | None = None) -> Protocol:
    """Builds the specification.

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
                not (state["is_running"] and state["has_second_run"])
            )
        },
    )


def _steps(state: State, mutant: LeaseMutant | None) -> Iterator[Step]:
    yield from _entry_steps(state, mutant)
    yield from _frame_steps(state, mutant)
    yield from _sidecar_steps(state, mutant)
    yield from _upstream_steps(state)
    yield from _time_steps(state)


def _entry_steps(state: State, mutant: LeaseMutant | None) -> Iterator[Step]:
    if state.dead_for != NEVER:
        if state.dead_for >= RESUBMISSION_TICKS and not state.has_second_run:
            yield (
                "the caller submits again",
                state._replace(has_second_run=True),
            )
        return
    yield "the entry dies", state._replace(dead_for=0, silent_for=LOST_TICKS)
    if not state.is_frozen:
        yield "a frame reaches the entry", state._replace(silent_for=0)
    echo_age = min(state.silent_for, STALE_TICKS)
    if not state.is_start_sent:
        yield (
            "the entry sends the start",
            state._replace(start_echo_age=echo_age, is_start_sent=True),
        )
    yield "the entry sends", state._replace(heartbeat_echo_age=echo_age)
    timeout_ticks = (
        SESSION_TICKS
        if mutant is LeaseMutant.ATTEMPT_AFTER_TIMEOUT
        else LOST_TICKS
    )
    if state.is_start_sent and state.silent_for >= timeout_ticks:
        yield (
            "the entry starts it elsewhere",
            state._replace(has_second_run=True),
        )


def _frame_steps(state: State, mutant: LeaseMutant | None) -> Iterator[Step]:
    if state.is_frozen:
        return
    from_arrival = mutant is LeaseMutant.SESSION_FROM_ARRIVAL
    if state.heartbeat_echo_age != NEVER:
        echo_age = 0 if from_arrival else state.heartbeat_echo_age
        yield (
            "a frame reaches the sidecar",
            state._replace(
                heartbeat_echo_age=NEVER,
                session_age=min(state.session_age, echo_age),
            ),
        )
    if state.start_echo_age == NEVER:
        return
    received = state._replace(start_echo_age=NEVER)
    is_fresh = state.start_echo_age <= SESSION_TICKS
    if is_fresh or mutant is LeaseMutant.STALE_START_TAKEN:
        echo_age = 0 if not is_fresh else state.start_echo_age
        yield (
            "the start reaches the sidecar",
            received._replace(
                order=StartOrder.PENDING,
                order_left=_lease_length(mutant),
                session_age=min(state.session_age, echo_age),
            ),
        )
    else:
        yield "the sidecar refuses the start", received


def _sidecar_steps(state: State, mutant: LeaseMutant | None) -> Iterator[Step]:
    if state.is_frozen:
        yield "the sidecar wakes", state._replace(is_frozen=False)
        return
    yield "the sidecar freezes", state._replace(is_frozen=True)
    is_renewed_anyway = mutant is LeaseMutant.LEASE_RENEWED_DURING_STOP
    if not _must_stop_run(state, mutant) or is_renewed_anyway:
        left = max(state.lease_left, _lease_length(mutant))
        yield "the lease is renewed", state._replace(lease_left=left)
    if state.order is StartOrder.PENDING or state.is_running:
        yield (
            "the upstream confirms a stop",
            state._replace(order=StartOrder.REFUSED, is_running=False),
        )
    is_unanswered = state.order is StartOrder.PENDING
    is_taken_as_not_run = mutant is LeaseMutant.UNANSWERED_START_IS_NOT_RUN
    if state.order is StartOrder.REFUSED or (
        is_unanswered and is_taken_as_not_run
    ):
        yield "the entry learns not run", state._replace(has_second_run=True)


def _upstream_steps(state: State) -> Iterator[Step]:
    if state.order is StartOrder.PENDING and state.order_left > 0:
        yield (
            "the upstream starts the run",
            state._replace(
                order=StartOrder.CARRIED_OUT,
                is_running=True,
                lease_left=max(state.lease_left, state.order_left),
                order_left=0,
            ),
        )


def _time_steps(state: State) -> Iterator[Step]:
    lease_left = max(0, state.lease_left - 1)
    yield (
        "time passes",
        state._replace(
            silent_for=min(state.silent_for + 1, LOST_TICKS),
            dead_for=_advance(state.dead_for, RESUBMISSION_TICKS),
            start_echo_age=_advance(state.start_echo_age, STALE_TICKS),
            heartbeat_echo_age=_advance(state.heartbeat_echo_age, STALE_TICKS),
            session_age=min(state.session_age + 1, STALE_TICKS),
            order_left=max(0, state.order_left - 1),
            lease_left=lease_left,
            is_running=state.is_running and lease_left > 0,
        ),
    )


def _advance(age: int, max_age: int) -> int:
    return NEVER if age == NEVER else min(age + 1, max_age)


def _must_stop_run(state: State, mutant: LeaseMutant | None) -> bool:
    if mutant is LeaseMutant.NO_STOP_ON_LOST_ENTRY:
        return False
    is_over = state.session_age > SESSION_TICKS
    return is_over and (state.is_running or state.order is StartOrder.PENDING)


def _lease_length(mutant: LeaseMutant | None) -> int:
    return (
        SESSION_TICKS + 1 if mutant is LeaseMutant.LONG_LEASE else LEASE_TICKS
    )
