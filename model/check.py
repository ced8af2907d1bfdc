"""Model-checks all specifications and mutants: `python -m model.check`.

A specification holds only if its whole state space was searched. A mutant
leaves out one rule and must be refuted by a counterexample; otherwise the
invariants would not detect a violation of that rule.
"""

import sys
from collections.abc import Callable

import msgspec
from minicheck import Protocol, check_safety

from model.answers import AnswerMutant, make_answers
from model.claims import ClaimMutant, make_claims
from model.evacuation import EvacuationMutant, make_evacuation
from model.session_lease import LeaseMutant, make_session_lease
from model.start_protocol import StartMutant, make_start_protocol

__all__ = ["CASES", "Case", "CheckResult", "check"]

MAX_STATES = 400_000
MAX_MUTANT_STATES = 60_000
# Mutants whose shortest counterexample is longer than that of the others.
DEEP_MUTANTS = frozenset({EvacuationMutant.EARLIER_REQUEST_STAYS})


class Case(msgspec.Struct, frozen=True):
    """A specification to check.

    Attributes:
        make_protocol: Builds the specification, given the mutant.
        mutant: The rule to leave out, or None.
    """

    make_protocol: Callable
    mutant: (
        StartMutant
        | ClaimMutant
        | AnswerMutant
        | LeaseMutant
        | EvacuationMutant
        | None
    ) = None


class CheckResult(msgspec.Struct, frozen=True):
    """Result of a check.

    Attributes:
        name: Name of the specification or mutant.
        state_count: Number of states that were searched.
        is_exhaustive: True if all reachable states were searched.
        traces: The shortest counterexample to each violated invariant.
    """

    name: str
    state_count: int
    is_exhaustive: bool
    traces: dict[str, list]


CASES = [
    Case(make_start_protocol),
    Case(make_claims),
    Case(make_answers),
    Case(make_session_lease),
    Case(make_evacuation),
    *(Case(make_start_protocol, mutant) for mutant in StartMutant),
    *(Case(make_claims, mutant) for mutant in ClaimMutant),
    *(Case(make_answers, mutant) for mutant in AnswerMutant),
    *(Case(make_session_lease, mutant) for mutant in LeaseMutant),
    *(Case(make_evacuation, mutant) for mutant in EvacuationMutant),
]


def check(case: Case) -> CheckResult:
    """Searches the states of a specification for violated invariants.

    Args:
        case: The specification.

    Returns:
        The result, with a counterexample to each violated invariant.
    """
    protocol: Protocol = case.make_protocol(case.mutant)
    is_deep = case.mutant is None or case.mutant in DEEP_MUTANTS
    max_states = MAX_STATES if is_deep else MAX_MUTANT_STATES
    result = check_safety(protocol, max_states=max_states)
    traces = {
        name: found["counterexample"]
        for name, found in result["properties"].items()
        if found["holds"] is False
    }
    return CheckResult(
        protocol.name,
        result["reachable_states"],
        result["exhaustive"],
        traces,
    )


def is_as_expected(case: Case, result: CheckResult) -> bool:
    """True if a specification holds, or a mutant is refuted."""
    if case.mutant is not None:
        return bool(result.traces)
    return result.is_exhaustive and not result.traces


def main() -> int:
    """Checks all cases; returns 0 if all results are as expected."""
    failures = 0
    for case in CASES:
        result = check(case)
        expected = is_as_expected(case, result)
        failures += not expected
        print(_format_result(case, result, expected), flush=True)
    return 1 if failures else 0


def _format_result(case: Case, result: CheckResult, expected: bool) -> str:
    states = f"{result.state_count:>7} states"
    if case.mutant is None:
        verdict = "holds" if expected else _format_failure(result)
        return f"{result.name:40} {states}  {verdict}"
    if not expected:
        return f"mutant {result.name:33} {states}  NOT REFUTED"
    name, trace = min(result.traces.items(), key=lambda item: len(item[1]))
    return (
        f"mutant {result.name:33} {states}  refuted in {len(trace) - 1} "
        f"steps: {name}"
    )


def _format_failure(result: CheckResult) -> str:
    if not result.traces:
        return "UNDETERMINED: the search did not finish"
    lines = [f"VIOLATED: {name}" for name in result.traces]
    for trace in result.traces.values():
        lines += [f"    {step}" for step in trace]
    return "\n".join(lines)


if __name__ == "__main__":
    sys.exit(main())
