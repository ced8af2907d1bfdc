"""Specification of claims: one unrepeatable job, two entries, one store.

A write may be lost or arrive late, its answer may be lost, and entries may
crash. After a refusal or a time-out the caller submits the job again, to
either entry. The job must run at most once.
"""

import enum
from collections.abc import Iterator
from typing import NamedTuple

from minicheck import Protocol

__all__ = ["ClaimMutant", "make_claims"]

ENTRIES = (0, 1)
MAX_SUBMISSIONS = 3


class ClaimMutant(enum.Enum):
    """A rule left out of the specification; each mutant must be refuted."""

    UNCONDITIONAL_RETRY = "claim retried blindly"
    SILENCE_TAKEN_AS_SUCCESS = "lost answer taken as success"
    DEAD_CLAIM_TAKEN_OVER = "dead entry's claim taken over"
    NONCE_FORGOTTEN = "nonce forgotten after giving up"


class Phase(enum.Enum):
    """Phase of the job at an entry."""

    IDLE = "idle"
    CLAIMING = "claiming"
    RUNNING = "running"
    DONE = "done"
    CRASHED = "crashed"


class Entry(NamedTuple):
    """An entry.

    Attributes:
        phase: Phase of the job at the entry.
        nonce: Nonce of the claim that the entry writes or can still use, 0 if
            there is none.
    """

    phase: Phase = Phase.IDLE
    nonce: int = 0


class Write(NamedTuple):
    """A claim that an entry writes to the store."""

    entry: int
    nonce: int


class Answer(NamedTuple):
    """The store's answer to a write: who wrote and who holds the claim."""

    entry: int
    nonce: int
    holder: int
    holder_nonce: int


class State(NamedTuple):
    """State of the system.

    Attributes:
        entries: The entries.
        store: The claim in the store, if any.
        writes: All writes sent; each may arrive repeatedly or never.
        answers: All answers sent; each may arrive repeatedly or never.
        nonces: Number of nonces in use.
        submissions: Number of submissions of the job.
        runs: How often the job was run.
        reported_not_run: True if the caller's last answer was "not run" and
            no submission is open.
    """

    entries: tuple[Entry, ...] = (Entry(), Entry())
    store: Write | None = None
    writes: frozenset = frozenset()
    answers: frozenset = frozenset()
    nonces: int = 0
    submissions: int = 0
    runs: int = 0
    reported_not_run: bool = False


Step = tuple[str, State]


def make_claims(mutant: ClaimMutant | None = None) -> Protocol:
    """Builds the specification.

    Args:
        mutant: The rule to leave out, if any.
    """
    return Protocol(
        name=mutant.value if mutant else "claims",
        candidate=False,
        fields=State._fields,
        initial=State(),
        transitions=lambda state: list(_steps(State(*state), mutant)),
        invariants={
            "run at most once": lambda s: s["runs"] <= 1,
            "not run is true": lambda s: (
                not s["reported_not_run"] or not s["runs"]
            ),
            "a resubmission can run": lambda s: _is_recoverable(s, mutant),
        },
    )


def _is_recoverable(state: dict, mutant: ClaimMutant | None) -> bool:
    """True unless a live entry forgot the nonce of its claim in the store.

    Such a claim blocks every later submission, as no entry can use it again.
    """
    store = state["store"]
    if store is None or not state["reported_not_run"]:
        return True
    entry = state["entries"][store.entry]
    return entry.phase is Phase.CRASHED or entry.nonce == store.nonce


def _steps(state: State, mutant: ClaimMutant | None) -> Iterator[Step]:
    for index in ENTRIES:
        yield from _entry_steps(state, index, mutant)
    for write in state.writes:
        yield "write arrives", _apply_write(state, write, mutant)
    for answer in state.answers:
        yield from _receive_answer(state, answer, mutant)


def _entry_steps(
    state: State, index: int, mutant: ClaimMutant | None
) -> Iterator[Step]:
    entry = state.entries[index]
    if entry.phase is Phase.CRASHED:
        return
    yield f"{index} crashes", _set_entry(state, index, Entry(Phase.CRASHED))
    if entry.phase is Phase.IDLE and state.submissions < MAX_SUBMISSIONS:
        yield f"submit to {index}", _submit(state, index)
    if entry.phase is Phase.CLAIMING:
        yield f"{index} gives up", _give_up(state, index, mutant)
        if mutant is ClaimMutant.UNCONDITIONAL_RETRY:
            yield f"{index} retries", _submit(state, index)
        if mutant is ClaimMutant.SILENCE_TAKEN_AS_SUCCESS:
            yield f"{index} assumes success", _run_job(state, index)


def _submit(state: State, index: int) -> State:
    entry = state.entries[index]
    nonce = entry.nonce or state.nonces + 1
    state = state._replace(
        nonces=max(state.nonces, nonce),
        submissions=state.submissions + 1,
        reported_not_run=False,
        writes=state.writes | {Write(index, nonce)},
    )
    return _set_entry(state, index, Entry(Phase.CLAIMING, nonce))


def _give_up(state: State, index: int, mutant: ClaimMutant | None) -> State:
    """Answers "not run" and keeps the nonce for a later submission."""
    nonce = state.entries[index].nonce
    if mutant is ClaimMutant.NONCE_FORGOTTEN:
        nonce = 0
    is_other_open = any(
        e.phase in (Phase.CLAIMING, Phase.RUNNING)
        for i, e in enumerate(state.entries)
        if i != index
    )
    state = _set_entry(state, index, Entry(Phase.IDLE, nonce))
    # While another submission is open, "not run" covers only this one.
    return (
        state
        if is_other_open
        else state._replace(reported_not_run=state.runs == 0)
    )


def _apply_write(
    state: State, write: Write, mutant: ClaimMutant | None
) -> State:
    is_unconditional = mutant is ClaimMutant.UNCONDITIONAL_RETRY
    holder = write if state.store is None or is_unconditional else state.store
    answer = Answer(write.entry, write.nonce, holder.entry, holder.nonce)
    return state._replace(store=holder, answers=state.answers | {answer})


def _receive_answer(
    state: State, answer: Answer, mutant: ClaimMutant | None
) -> Iterator[Step]:
    entry = state.entries[answer.entry]
    if entry.phase is not Phase.CLAIMING or entry.nonce != answer.nonce:
        return
    is_own = (answer.holder, answer.holder_nonce) == (
        answer.entry,
        answer.nonce,
    )
    holder = state.entries[answer.holder]
    is_dead = holder.phase is Phase.CRASHED
    if is_own or (is_dead and mutant is ClaimMutant.DEAD_CLAIM_TAKEN_OVER):
        yield f"{answer.entry} owns the claim", _run_job(state, answer.entry)
    else:
        idle = Entry(Phase.IDLE)
        yield (
            f"{answer.entry} is refused",
            _set_entry(state, answer.entry, idle),
        )


def _run_job(state: State, index: int) -> State:
    nonce = state.entries[index].nonce
    state = _set_entry(state, index, Entry(Phase.DONE, nonce))
    return state._replace(runs=state.runs + 1)


def _set_entry(state: State, index: int, entry: Entry) -> State:
    entries = state.entries[:index] + (entry,) + state.entries[index + 1 :]
    return state._replace(entries=entries)
