"""Compares grouped claim writes with single ones, by store latency."""

import threading
import time

from expression import Ok

from benchmarks.measure import percentile
from sardinestair.clock import SystemClock
from sardinestair.ids import new_incarnation, new_job_id
from sardinestair.observability import Metrics
from sardinestair.store.claims import ClaimWriter
from sardinestair.store.port import CommitResult

CLAIM_COUNT = 300
RATE_PER_S = 200.0


class SlowStore:
    """Store whose writes all succeed after a fixed delay.

    Args:
        delay_s: Duration of one write, in seconds.
    """

    def __init__(self, delay_s: float):
        self.delay_s = delay_s
        self.writes = 0

    def commit(self, _swaps):
        """Waits, and reports that the write was applied."""
        self.writes += 1
        time.sleep(self.delay_s)
        return Ok(CommitResult(True, self.writes, []))


def measure_claims(delay_s: float, max_group: int) -> tuple[int, float, float]:
    """Returns the number of writes, and p50 and p99 of claims in ms."""
    store = SlowStore(delay_s)
    writer = ClaimWriter(
        store,  # type: ignore[arg-type]
        new_incarnation(),
        lambda: "http://127.0.0.1:1",
        SystemClock(),
        Metrics(),
        60.0,
        max_group,
    )
    thread = threading.Thread(target=writer.run, daemon=True)
    thread.start()
    latencies_ms: list[float] = []
    for _ in range(CLAIM_COUNT):
        started_s = time.perf_counter()
        writer.submit(
            new_job_id(),
            lambda *_, started_s=started_s: latencies_ms.append(
                (time.perf_counter() - started_s) * 1000
            ),
        )
        time.sleep(1 / RATE_PER_S)
    while len(latencies_ms) < CLAIM_COUNT:
        time.sleep(0.01)
    writer.stop()
    thread.join()
    return (
        store.writes,
        percentile(latencies_ms, 0.5),
        percentile(latencies_ms, 0.99),
    )


def main() -> None:
    """Compares group sizes at several write latencies."""
    print(f"{'write ms':>8} {'group':>6} {'writes':>7} {'p50 ms':>9} "
          f"{'p99 ms':>9}")  # fmt: skip
    for delay_s in (0.003, 0.008, 0.02):
        for max_group in (1, 100):
            writes, p50, p99 = measure_claims(delay_s, max_group)
            print(
                f"{delay_s * 1000:8.0f} {max_group:6d} {writes:7d} {p50:9.1f} "
                f"{p99:9.1f}"
            )


if __name__ == "__main__":
    main()
