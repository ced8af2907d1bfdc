"""Runs all fault scenarios and prints a table: `python -m faults.run`."""

import argparse
import sys
import time

import msgspec

from faults.scenarios import FAULTS, draw_pairs, run_scenario
from faults.verdicts import Verdict

MIN_TASKS = 20_000
DEFAULT_PAIRS = 6
NAME_COLUMN_WIDTH = 44


def main() -> int:
    """Runs the scenarios; returns 0 if no guarantee was violated."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--pairs", type=int, default=DEFAULT_PAIRS)
    parser.add_argument("--only", help="name of a fault, or of two joined by +")
    options = parser.parse_args()
    cases = [(name,) for name in FAULTS] + draw_pairs(
        options.seed, options.pairs
    )
    if options.only:
        cases = [tuple(options.only.split("+"))]
    columns = Verdict.__struct_fields__
    print(f"{'fault':{NAME_COLUMN_WIDTH}}", *columns, "seconds", flush=True)
    total = Verdict()
    for names in cases:
        started_s = time.monotonic()
        verdict = run_scenario(names, options.seed)
        _add_counts(total, verdict)
        _print_row(" + ".join(names), verdict, time.monotonic() - started_s)
    _print_row("total", total, 0.0)
    is_large_enough = bool(options.only) or total.tasks >= MIN_TASKS
    print("clean" if total.is_clean and is_large_enough else "BROKEN")
    return 0 if total.is_clean and is_large_enough else 1


def _add_counts(total: Verdict, verdict: Verdict) -> None:
    for name in Verdict.__struct_fields__:
        setattr(total, name, getattr(total, name) + getattr(verdict, name))


def _print_row(name: str, verdict: Verdict, seconds: float) -> None:
    columns = msgspec.structs.asdict(verdict)
    cells = [f"{value:{len(title)}d}" for title, value in columns.items()]
    print(f"{name:{NAME_COLUMN_WIDTH}}", *cells, f"{seconds:7.1f}", flush=True)


if __name__ == "__main__":
    sys.exit(main())
