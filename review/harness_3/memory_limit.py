"""Enforces the memory limit of machines, as the platform does."""

import threading
import time

from harness_3.deployment import Deployment, Program

CHECK_INTERVAL_S = 0.02
# A process that was killed is started again after a short delay.
RESTART_S = 0.7


class MemoryLimit:
    """Kills processes that exceed their memory, and starts them again.

    Args:
        system: The deployment.
        programs: The programs that are watched.
        limit_mb: Memory of their machines.

    Attributes:
        kills: Number of kills by name of the program.
        peak_mb: Largest resident memory seen, by name of the program.
    """

    def __init__(
        self, system: Deployment, programs: list[Program], limit_mb: float
    ):
        self.system = system
        self.limit_mb = limit_mb
        self.kills = {program.name: 0 for program in programs}
        self.peak_mb = {program.name: 0.0 for program in programs}
        self.stopping = threading.Event()
        self.threads = [
            threading.Thread(target=self._watch, args=(program,), daemon=True)
            for program in programs
        ]
        for thread in self.threads:
            thread.start()

    def stop(self) -> None:
        """Ends the watch."""
        self.stopping.set()
        for thread in self.threads:
            thread.join()

    def _watch(self, program: Program) -> None:
        while not self.stopping.wait(CHECK_INTERVAL_S):
            used_mb = program.resident_mb()
            name = program.name
            self.peak_mb[name] = max(self.peak_mb[name], used_mb)
            if used_mb <= self.limit_mb:
                continue
            self.kills[name] += 1
            self.system.record(
                "killed_for_memory",
                program=name,
                resident_mb=round(used_mb, 1),
                limit_mb=self.limit_mb,
            )
            program.kill()
            time.sleep(RESTART_S)
            program.start()
