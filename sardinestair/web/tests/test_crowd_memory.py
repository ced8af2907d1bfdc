"""A crowd takes no more resident memory than its account allows."""

import os
import subprocess
import sys

import pytest

from sardinestair.web.memory import budget_bytes

TIMEOUT_S = 60
# One read, which is charged with the step in which a body grows.
MAX_CHARGE_BYTES = (256 << 10) * 9 // 8


@pytest.mark.skipif(
    not os.path.exists("/proc/self/status"), reason="needs Linux"
)
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_resident_memory_keeps_to_the_account(seed):
    """Holes in the heap took half as much again; no account, 14 times it.

    What the C library keeps of released bodies has to fit into the budget, of
    which these callers have seven eighths.
    """
    command = [sys.executable, "-m", "sardinestair.web.tests.crowd_memory"]
    output = subprocess.run(
        [*command, str(seed)],
        check=True,
        capture_output=True,
        timeout=TIMEOUT_S,
    ).stdout
    grown, limit, peak, sent = map(int, output.split()[-4:])
    assert sent > 2 * limit
    assert limit / 2 < peak <= limit + MAX_CHARGE_BYTES
    assert grown <= budget_bytes(160)
