"""Specification of answers: two jobs of two tasks at one sidecar.

Outcomes may arrive in any order and more than once. Each caller must get
exactly the results of its own job, in the order of the tasks.
"""

import enum
import itertools
from collections.abc import Iterator
from typing import NamedTuple

from minicheck import Protocol

__all__ = ["AnswerMutant", "make_answers"]

JOBS = ("A", "B")
TASKS = (0, 1)
TASK_KEYS = tuple(itertools.product(JOBS, TASKS))


class AnswerMutant(enum.Enum):
    """A rule left out of the specification; each mutant must be refuted."""

    OUTCOMES_MATCHED_BY_ORDER = "outcomes matched by order"
    DUPLICATES_COUNTED = "duplicates counted"


class State(NamedTuple):
    """State of the system.

    Attributes:
        started: Tasks that were started.
        outcomes: Tasks whose outcome was sent; it may arrive repeatedly.
        settled: Tasks whose outcome the entry has recorded.
        start_order: Tasks in the order of their starts.
        results: Outcomes in the answer to each job, in the order of tasks.
        counts: Number of outcomes counted for each job; a job is answered
            once all are counted.
    """

    started: frozenset = frozenset()
    outcomes: frozenset = frozenset()
    settled: frozenset = frozenset()
    start_order: tuple = ()
    results: tuple = ((None, None), (None, None))
    counts: tuple = (0, 0)


Step = tuple[str, State]


def make_answers(mutant: AnswerMutant | None = None) -> Protocol:
    """Builds the specification.

    Args:
        mutant: The rule to leave out, if any.
    """
    return Protocol(
        name=mutant.value if mutant else "answers",
        candidate=False,
        fields=State._fields,
        initial=State(),
        transitions=lambda state: list(_steps(State(*state), mutant)),
        invariants={
            "each caller gets its own whole answer": _is_answered_correctly
        },
    )


def _is_answered_correctly(state: dict) -> bool:
    return all(
        state["results"][number] == tuple((job, i) for i in TASKS)
        for number, job in enumerate(JOBS)
        if state["counts"][number] >= len(TASKS)
    )


def _steps(state: State, mutant: AnswerMutant | None) -> Iterator[Step]:
    for key in TASK_KEYS:
        if key not in state.started:
            yield (
                f"start {key}",
                state._replace(
                    started=state.started | {key},
                    start_order=(*state.start_order, key),
                ),
            )
        elif key not in state.outcomes:
            yield f"{key} ends", state._replace(outcomes=state.outcomes | {key})
    for outcome in state.outcomes:
        target = outcome
        if mutant is AnswerMutant.OUTCOMES_MATCHED_BY_ORDER:
            unsettled = [k for k in state.start_order if k not in state.settled]
            if not unsettled:
                continue
            target = unsettled[0]
        is_settled = target in state.settled
        if is_settled and mutant is not AnswerMutant.DUPLICATES_COUNTED:
            continue
        yield f"{outcome} arrives", _record_outcome(state, target, outcome)


def _record_outcome(state: State, target: tuple, outcome: tuple) -> State:
    number, index = JOBS.index(target[0]), target[1]
    results = [list(row) for row in state.results]
    results[number][index] = outcome
    counts = list(state.counts)
    counts[number] = min(counts[number] + 1, len(TASKS))
    return state._replace(
        results=tuple(tuple(row) for row in results),
        counts=tuple(counts),
        settled=state.settled | {target},
    )
