"""Command line of `sardinestair-load`."""

import msgspec
from cleo.commands.command import Command
from cleo.helpers import argument, option

from sardinestair.cli.service import EXIT_OK, EXIT_USAGE, run_command
from sardinestair.load import Deployment, generate_jobs, run_load, summarize
from sardinestair.load.report import LoadReport, Quantiles
from sardinestair.load.scrape import read_wasted
from sardinestair.settings import load_yaml

__all__ = ["LoadCommand", "main"]


class LoadCommand(Command):
    """Runs an open-loop load test against a running system."""

    name = "sardinestair-load"
    description = (
        "Runs an open-loop load test and compares responses to the ideal."
    )
    arguments = [argument("deployment", "Deployment file in YAML.")]
    options = [
        option("entry", "e", "URL of an entry; may be repeated.", flag=False,
               multiple=True),
        option("load", "l", "Offered load as a fraction of capacity.",
               flag=False, default="0.7"),
        option("duration", "d", "Duration in seconds.", flag=False,
               default="30"),
        option("seed", "s", "Random seed.", flag=False, default="1"),
        option("json", None, "Write JSON."),
    ]  # fmt: skip
    help = """\
Examples:
  sardinestair-load examples/buyback.yaml -e http://127.0.0.1:8080 -l 0.3
  sardinestair-load examples/trails.yaml -e http://127.0.0.1:8080 --json"""

    def handle(self) -> int:
        """Runs the load test and shows the report."""
        loaded = load_yaml(self.argument("deployment"), Deployment)
        if loaded.is_error():
            self.line_error(str(loaded.error))
            return EXIT_USAGE
        urls = self.option("entry") or ["http://127.0.0.1:8080"]
        deployment = loaded.ok
        jobs = generate_jobs(
            deployment,
            float(self.option("load")),
            float(self.option("duration")),
            int(self.option("seed")),
        )
        before = read_wasted(urls)
        records = run_load(urls, deployment, jobs)
        after = read_wasted(urls)
        wasted = {kind: n - before.get(kind, 0) for kind, n in after.items()}
        self._show(summarize(records, wasted))
        return EXIT_OK

    def _show(self, report: LoadReport) -> None:
        if self.option("json"):
            text = msgspec.json.format(msgspec.json.encode(report), indent=2)
            self.line(text.decode())
            return
        self.line(f"jobs {report.jobs}, tasks {report.tasks}")
        self.line(f"answers by status {report.statuses}")
        self.line(f"not run {report.not_run}")
        for name in ("stretch", "stretch_large", "response_s", "refusal_s"):
            self.line(_format_quantiles(name, getattr(report, name)))
        self.line(
            f"wasted messages per task {report.wasted_per_task:.4f} "
            f"{report.wasted}"
        )


def _format_quantiles(name: str, quantiles: Quantiles) -> str:
    return (
        f"{name:14} n {quantiles.count:6}  p50 {quantiles.p50:8.3f}  "
        f"p90 {quantiles.p90:8.3f}  p99 {quantiles.p99:8.3f}"
    )


def main() -> None:
    """Runs the program."""
    run_command(LoadCommand())
