"""Specification of answers: two jobs of two tasks at one sidecar.

Outcomes arrive in any order and more than once; each caller must get the
whole answer to its own job.
"""

import enum
import itertools
from collections.abc import Iterator
from typing import NamedTuple

from minicheck import Protocol

__all__ = ["AnswerMutant", "make_answers"]

JOBS = ("A", "B")
TASKS = (0, 1)
KEYS = tuple(itertools.product(JOBS, TASKS))


class AnswerMutant(enum.Enum):
    """A rule left out; each must be refuted."""

    MATCHED_BY_ORDER = "outcomes matched by order"
    DUPLICATES_COUNTED = "duplicates counted"


class State(NamedTuple):
    """The system: results are what the answers hold, in order of tasks."""

    started: frozenset = frozenset()
    outcomes: frozenset = frozenset()
    settled: frozenset = frozenset()
    order: tuple = ()
    results: tuple = ((None, None), (None, None))
    counts: tuple = (0, 0)


Step = tuple[str, State]


def make_answers(mutant: AnswerMutant | None = None) -> Protocol:
    """Returns the specification.

    Args:
        mutant: The rule to leave out, if any.
    """
    return Protocol(
        name=mutant.value if mutant else "answers",
        candidate=False,
        fields=State._fields,
        initial=State(),
        transitions=lambda state: list(_steps(State(*state), mutant)),
        invariants={"each caller gets its own whole answer": _is_right},
    )


def _is_right(state: dict) -> bool:
    return all(
        state["results"][number] == tuple((job, i) for i in TASKS)
        for number, job in enumerate(JOBS)
        if state["counts"][number] >= len(TASKS)
    )


def _steps(state: State, mutant: AnswerMutant | None) -> Iterator[Step]:
    for key in KEYS:
        if key not in state.started:
            yield (
                f"start {key}",
                state._replace(
                    started=state.started | {key}, order=(*state.order, key)
                ),
            )
        elif key not in state.outcomes:
            yield f"{key} ends", state._replace(outcomes=state.outcomes | {key})
    for outcome in state.outcomes:
        target = outcome
        if mutant is AnswerMutant.MATCHED_BY_ORDER:
            waiting = [k for k in state.order if k not in state.settled]
            if not waiting:
                continue
            target = waiting[0]
        is_known = target in state.settled
        if is_known and mutant is not AnswerMutant.DUPLICATES_COUNTED:
            continue
        yield f"{outcome} arrives", _record(state, target, outcome)


def _record(state: State, target: tuple, outcome: tuple) -> State:
    number, index = JOBS.index(target[0]), target[1]
    rows = [list(row) for row in state.results]
    rows[number][index] = outcome
    counts = list(state.counts)
    counts[number] = min(counts[number] + 1, len(TASKS))
    return state._replace(
        results=tuple(tuple(row) for row in rows),
        counts=tuple(counts),
        settled=state.settled | {target},
    )
