"""Command line of `sardinestair-burn`."""

import datetime

import msgspec
from cleo.commands.command import Command
from cleo.helpers import option

from sardinestair.cli.client import ApiClient
from sardinestair.cli.service import EXIT_FAILURE, EXIT_OK, run_command
from sardinestair.observability.burn import (
    SECONDS_PER_MINUTE,
    WINDOW_MINUTES,
    ServiceBurn,
    burn_rate,
    merge_reports,
)
from sardinestair.observability.burn_page import render_page

__all__ = ["BurnCommand", "main"]

DEFAULT_ENTRY = "http://127.0.0.1:8080"


class BurnCommand(Command):
    """Reports the burn rates of the error budgets."""

    name = "sardinestair-burn"
    description = "Reports the burn rates of service-level error budgets."
    options = [
        option("entry", "e", "URL of an entry; repeat it to name all entries.",
               flag=False, multiple=True),
        option("json", None, "Write JSON."),
        option("html", None, "Write an HTML page to a file.", flag=False),
    ]  # fmt: skip
    help = """\
Examples:
  sardinestair-burn -e http://10.0.0.5:8080 -e http://10.0.0.6:8080
  sardinestair-burn --html burn.html

Objectives are `objective_share` and `objective_s` in the settings tree. Each
entry counts only its own jobs, and its counts are lost when it stops."""

    def handle(self) -> int:
        """Shows the report."""
        reports: list[ServiceBurn] = []
        for url in self.option("entry") or [DEFAULT_ENTRY]:
            result = ApiClient(url, 10.0).call("GET", "/admin/v1/burn")
            if result.is_error():
                self.line_error(f"error: {result.error}")
                return EXIT_FAILURE
            reports += msgspec.convert(result.ok, list[ServiceBurn])
        merged = merge_reports(reports)
        now = datetime.datetime.now(datetime.UTC)
        if self.option("html"):
            with open(self.option("html"), "w", encoding="utf-8") as stream:
                stream.write(render_page(merged, now))
            self.line(f"wrote {self.option('html')}")
            return EXIT_OK
        self._show(merged, int(now.timestamp()) // SECONDS_PER_MINUTE)
        return EXIT_OK

    def _show(self, reports: list[ServiceBurn], now_minute: int) -> None:
        rows = [
            {
                "service": report.service,
                "objective": report.objective_share,
                "within_s": report.objective_s or "deadline",
                "window": name,
                "jobs": count.total,
                "missed": count.bad,
                "burn_rate": burn_rate(count, report.objective_share),
            }
            for report in reports
            for name, minutes in WINDOW_MINUTES.items()
            for count in [report.sum_window(minutes, now_minute)]
        ]
        if self.option("json"):
            text = msgspec.json.format(msgspec.json.encode(rows), indent=2)
            self.line(text.decode())
        elif not rows:
            self.line("no service has received a job yet")
        else:
            table = self.table()
            table.set_headers(list(rows[0]))
            table.set_rows([[str(v) for v in row.values()] for row in rows])
            table.render()


def main() -> None:
    """Runs the program."""
    run_command(BurnCommand())
