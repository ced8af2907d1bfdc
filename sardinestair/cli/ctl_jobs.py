"""Commands about jobs, entries and upstreams."""

import sys

import msgspec
from cleo.helpers import argument, option

from sardinestair.cli.ctl_command import COMMON_OPTIONS, CtlCommand
from sardinestair.cli.service import EXIT_OK, EXIT_USAGE
from sardinestair.ids import format_job_id, new_job_id

__all__ = [
    "CancelCommand",
    "JobCommand",
    "StatusCommand",
    "SubmitCommand",
    "UpstreamsCommand",
]


class SubmitCommand(CtlCommand):
    """Submits a job."""

    name = "submit"
    description = "Submits a job and waits for its answer."
    arguments = [
        argument("payloads", "JSON payloads, one per task.", multiple=True,
                 optional=True),
    ]  # fmt: skip
    options = [
        *COMMON_OPTIONS,
        option("service", "s", "Service.", flag=False),
        option("team", "t", "Team.", flag=False, default="operators"),
        option("kind", "k", "Kind of job.", flag=False, default="default"),
        option("deadline", "d", "Deadline in seconds.", flag=False),
        option("id", None, "UUID version 7; default a new one.", flag=False),
        option("file", "f", "File with one JSON payload per line; - for "
               "standard input.", flag=False),
        option("unrepeatable", "u", "Run each task at most once, even after "
               "failures."),
        option("async", None, "Do not wait for the answer."),
    ]  # fmt: skip
    help = """\
Examples:
  sardinestairctl submit -s quotes '{{"isbn": "9780131103627"}}'
  sardinestairctl submit -s quotes --unrepeatable '{{"pay": 1250}}'
  sardinestairctl submit -s quotes -f payloads.jsonl --async

Exits with 0 for a complete answer, 1 for a failure, 2 for invalid arguments."""

    def handle(self) -> int:
        """Submits the job and shows the answer."""
        payloads = self._read_payloads()
        if payloads is None or not self.option("service"):
            self.line_error("--service and valid JSON payloads are required")
            return EXIT_USAGE
        body = {
            "id": self.option("id") or format_job_id(new_job_id()),
            "service": self.option("service"),
            "team": self.option("team"),
            "kind": self.option("kind"),
            "unrepeatable": bool(self.option("unrepeatable")),
            "tasks": [{"payload": payload} for payload in payloads],
        }
        if self.option("deadline"):
            body["deadline_s"] = float(self.option("deadline"))
        is_async = bool(self.option("async"))
        headers = ("Prefer: respond-async",) if is_async else ()
        result = self.client.call("POST", "/v1/jobs", body, headers)
        if result.is_error():
            return self.show_error(result.error)
        return self.show_json(result.ok)

    def _read_payloads(self) -> list[msgspec.Raw] | None:
        lines = list(self.argument("payloads"))
        file = self.option("file")
        if file == "-":
            lines += sys.stdin.read().splitlines()
        elif file:
            with open(file, encoding="utf-8") as stream:
                lines += stream.read().splitlines()
        try:
            for line in lines:
                msgspec.json.decode(line)
        except msgspec.DecodeError:
            return None
        return [msgspec.Raw(line.encode()) for line in lines if line] or None


class JobCommand(CtlCommand):
    """Shows a job."""

    name = "job"
    description = "Shows a job's answer or progress."
    arguments = [argument("id", "The job's id.")]
    options = [*COMMON_OPTIONS, option("wait", "w", "Wait for the answer.")]
    help = "Example: sardinestairctl job 0193f0a2-7c00-7000-8000-000000000001"

    def handle(self) -> int:
        """Shows the job."""
        query = "?wait=1" if self.option("wait") else ""
        path = f"/v1/jobs/{self.argument('id')}{query}"
        result = self.client.call("GET", path)
        if result.is_error():
            return self.show_error(result.error)
        return self.show_json(result.ok)


class CancelCommand(CtlCommand):
    """Cancels a job."""

    name = "cancel"
    description = "Cancels a job; one that has ended keeps its answer."
    arguments = [argument("id", "The job's id.")]
    help = (
        "Example: sardinestairctl cancel 0193f0a2-7c00-7000-8000-000000000001"
    )

    def handle(self) -> int:
        """Cancels the job."""
        path = f"/v1/jobs/{self.argument('id')}"
        result = self.client.call("DELETE", path)
        if result.is_error():
            return self.show_error(result.error)
        return self.show_json(result.ok)


class StatusCommand(CtlCommand):
    """Shows an entry's state."""

    name = "status"
    description = "Shows an entry's state, settings revision and services."
    help = "Example: sardinestairctl status --entry http://10.0.0.5:8080"

    def handle(self) -> int:
        """Shows the state."""
        result = self.client.call("GET", "/admin/v1/status")
        if result.is_error():
            return self.show_error(result.error)
        status = result.ok
        if self.option("json"):
            return self.show_json(status)
        for name in ("entry", "zone", "draining", "settings_revision"):
            self.line(f"{name}: {status[name]}")
        self.line(f"active_jobs: {status['active_jobs']}")
        zones = ", ".join(status.get("evacuated_zones", []))
        self.line(f"evacuated_zones: {zones or 'none'}")
        self.show_rows(status["services"])
        return EXIT_OK


class UpstreamsCommand(CtlCommand):
    """Shows the upstreams known to an entry."""

    name = "upstreams"
    description = "Shows upstreams with their state, credits and speed."
    help = "Example: sardinestairctl upstreams --json"

    def handle(self) -> int:
        """Shows the upstreams."""
        result = self.client.call("GET", "/admin/v1/upstreams")
        if result.is_error():
            return self.show_error(result.error)
        return self.show_rows(result.ok)
