"""The command that lists jobs without a complete answer."""

import datetime

import msgspec
from cleo.helpers import option

from sardinestair.cli.ctl_command import COMMON_OPTIONS, CtlCommand
from sardinestair.cli.service import EXIT_USAGE
from sardinestair.observability.dropped import (
    DroppedJob,
    parse_dropped_jobs,
    parse_time_span,
)

__all__ = ["DroppedCommand"]


class DroppedCommand(CtlCommand):
    """Lists jobs that were refused, failed, cancelled or lost."""

    name = "dropped"
    description = (
        "Lists jobs without a complete answer, from one or more entries."
    )
    options = [
        *COMMON_OPTIONS,
        option("also", "a", "URL of another entry; may be repeated.",
               flag=False, multiple=True),
        option("log", "l", "Log file of an entry that has been replaced; may "
               "be repeated.", flag=False, multiple=True),
        option("since", None, "Time span such as 24h.", flag=False,
               default="24h"),
    ]  # fmt: skip
    help = """\
Examples:
  sardinestairctl dropped --since 24h
  sardinestairctl dropped -e http://10.0.0.5:8080 -a http://10.0.0.6:8080 \\
      --log old-entry.log --json

Each entry keeps its latest 20,000 records; its log also contains older ones."""

    def handle(self) -> int:
        """Lists the jobs, oldest first."""
        try:
            span = parse_time_span(self.option("since"))
        except ValueError as error:
            self.line_error(str(error))
            return EXIT_USAGE
        path = f"/admin/v1/dropped?since={self.option('since')}"
        records: list[DroppedJob] = []
        for url in (None, *self.option("also")):
            result = self.create_client(url).call("GET", path)
            if result.is_error():
                return self.show_error(result.error)
            records += msgspec.convert(result.ok, list[DroppedJob])
        start = datetime.datetime.now(datetime.UTC) - span
        for file in self.option("log"):
            with open(file, encoding="utf-8") as stream:
                records += [
                    r for r in parse_dropped_jobs(stream) if r.time >= start
                ]
        unique = {(r.job, r.state): r for r in records}
        ordered = sorted(unique.values(), key=lambda record: record.time)
        return self.show_rows([msgspec.to_builtins(r) for r in ordered])
