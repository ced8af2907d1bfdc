"""Command line of `sardinestair-demo`: a complete system in one process."""

import time
from concurrent.futures import ThreadPoolExecutor

import msgspec
from cleo.commands.command import Command
from cleo.helpers import option

from sardinestair.cli.client import ApiClient
from sardinestair.cli.service import (
    EXIT_FAILURE,
    EXIT_OK,
    run_command,
    tune_interpreter,
)
from sardinestair.entry.process import EntryProcess
from sardinestair.ids import format_job_id, new_job_id
from sardinestair.observability import configure_logging
from sardinestair.settings import EntrySettings, SidecarSettings
from sardinestair.settings.process import Address, StoreSettings
from sardinestair.sidecar.process import SidecarProcess
from sardinestair.standins import StoreStandin, UpstreamStandin

__all__ = ["DemoCommand", "main"]

SERVICE = "quotes"
# Run time factors, one per upstream.
SPEEDS = (1.0, 2.0, 4.0)
READY_TIMEOUT_S = 8.0
SETTINGS_TREE = {
    "set": {"deadline_s": 10},
    "services": {SERVICE: {"set": {"price_per_slot_hour": 120}}},
}


class DemoJob(msgspec.Struct):
    """A job of the demo.

    Attributes:
        title: What the job demonstrates.
        tasks: One payload per task.
        unrepeatable: True to run each task at most once, after a claim in the
            store.
        cancel_after_s: Time after which to cancel the job, in seconds, or
            None.
        resubmit: True to submit the job a second time.
    """

    title: str
    tasks: list[dict]
    unrepeatable: bool = False
    cancel_after_s: float | None = None
    resubmit: bool = False


class DemoResult(msgspec.Struct):
    """The outcome of a job, as a row of the table.

    Attributes:
        title: What the job demonstrates.
        state: Final state of the job, or title of the problem.
        response_ms: Time to the answer, in milliseconds.
        detail: Summary of the answer, or the reason for the failure.
    """

    title: str
    state: str
    response_ms: float
    detail: str


JOBS = [
    DemoJob("price check, 1 task", [{"run_s": 0.05, "echo": "12.50"}]),
    DemoJob(
        "valuation, 60 tasks",
        [{"run_s": 0.1, "echo": number} for number in range(60)],
    ),
    DemoJob(
        "payout, unrepeatable, sent twice",
        [{"run_s": 0.1, "echo": "paid"}],
        unrepeatable=True,
        resubmit=True,
    ),
    DemoJob(
        "cancelled after 0.2 s",
        [{"run_s": 0.5} for _ in range(200)],
        cancel_after_s=0.2,
    ),
    DemoJob(
        "one task fails",
        [{"run_s": 0.05}, {"run_s": 0.05, "fail": True}],
    ),
]


class DemoSystem:
    """A store, an entry, and sidecars with upstreams, each run by threads."""

    def __init__(self) -> None:
        any_port = Address(http_port=0, link_port=0)
        self.store = StoreStandin()
        self.store.start()
        self.entry = EntryProcess(
            EntrySettings(
                address=any_port,
                zone="leinster",
                store=StoreSettings([self.store.address]),
            )
        )
        self.entry.start()
        self.sidecars = [
            SidecarProcess(
                SidecarSettings(
                    [self.entry.membership_endpoint],
                    address=any_port,
                    zone="leinster",
                )
            )
            for _ in SPEEDS
        ]
        self.upstreams: list[UpstreamStandin] = []
        for sidecar, speed in zip(self.sidecars, SPEEDS, strict=True):
            sidecar.start()
            url = f"http://127.0.0.1:{sidecar.http.port}"
            upstream = UpstreamStandin(url, SERVICE, slots=8, speed=speed)
            upstream.start()
            self.upstreams.append(upstream)

    @property
    def url(self) -> str:
        """Base URL of the entry."""
        return f"http://127.0.0.1:{self.entry.http.port}"

    def wait_until_ready(self) -> bool:
        """Waits until the entry has settings and the slots of all upstreams.

        Returns:
            False if that took too long.
        """
        deadline_s = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline_s:
            state = self.entry.dispatcher.services.get(SERVICE)
            slots = state.slots if state else 0
            if self.entry.dispatcher.tree and slots == 8 * len(SPEEDS):
                return True
            time.sleep(0.02)
        return False

    def stop(self) -> bool:
        """Stops everything gracefully; returns True if no work was cut off."""
        for upstream in self.upstreams:
            upstream.stop()
        is_graceful = [sidecar.stop() for sidecar in self.sidecars]
        is_graceful.append(self.entry.stop())
        self.store.stop()
        return all(is_graceful)


class DemoCommand(Command):
    """Runs a few jobs through a complete system in one process."""

    name = "sardinestair-demo"
    description = "Runs demo jobs through a complete system, within 20 s."
    help = """\
Examples:
  sardinestair-demo
  sardinestair-demo --logs"""
    options = [option("logs", None, "Also write the logs of all components.")]

    def handle(self) -> int:
        """Runs the demo.

        Returns:
            0, or 1 if the system did not become ready or cut off work when it
            stopped.
        """
        tune_interpreter()
        configure_logging("INFO" if self.option("logs") else "CRITICAL")
        system = DemoSystem()
        client = ApiClient(system.url)
        applied = client.call("POST", "/admin/v1/settings/apply", SETTINGS_TREE)
        if applied.is_error() or not system.wait_until_ready():
            self.line_error(
                "<error>the system did not become ready in time</error>"
            )
            return EXIT_FAILURE
        self.line(
            f"One entry at {system.url}, {len(SPEEDS)} upstreams of 8 slots "
            f"with run times x {', x '.join(map(str, SPEEDS))}."
        )
        with ThreadPoolExecutor(len(JOBS)) as pool:
            rows = list(pool.map(lambda j: _run_job(system.url, j), JOBS))
        self._show(rows)
        stopped = system.stop()
        self.line(
            f"Graceful stop: {'no' if stopped else 'some'} work was cut off."
        )
        return EXIT_OK if stopped else EXIT_FAILURE

    def _show(self, rows: list[DemoResult]) -> None:
        table = self.table()
        table.set_headers(["job", "state", "ms", "answer or reason"])
        table.set_rows(
            [[r.title, r.state, f"{r.response_ms:.0f}", r.detail] for r in rows]
        )
        table.render()


def _run_job(url: str, job: DemoJob) -> DemoResult:
    client = ApiClient(url)
    job_id = format_job_id(new_job_id())
    body = {
        "id": job_id,
        "service": SERVICE,
        "team": "demo",
        "tasks": [{"payload": task} for task in job.tasks],
        "unrepeatable": job.unrepeatable,
    }
    start_s = time.monotonic()
    if job.cancel_after_s is not None:
        client.call("POST", "/v1/jobs", body, ("Prefer: respond-async",))
        time.sleep(job.cancel_after_s)
        client.call("DELETE", f"/v1/jobs/{job_id}")
        result = client.call("GET", f"/v1/jobs/{job_id}")
    else:
        result = client.call("POST", "/v1/jobs", body)
    response_ms = (time.monotonic() - start_s) * 1000
    if result.is_error():
        state = result.error.document.get("title", "error")
        return DemoResult(job.title, state, response_ms, str(result.error))
    count = len(result.ok["results"])
    detail = "1 answer" if count == 1 else f"{count} answers"
    if job.resubmit:
        second_result = client.call("POST", "/v1/jobs", body)
        is_same_answer = second_result.is_ok() and second_result.ok == result.ok
        detail += (
            ", same answer when submitted again"
            if is_same_answer
            else f"; answer when submitted again: {second_result}"
        )
    return DemoResult(job.title, result.ok["state"], response_ms, detail)


def main() -> None:
    """Runs the program."""
    run_command(DemoCommand())
