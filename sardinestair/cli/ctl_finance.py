"""The command that forecasts spending."""

import csv
import datetime
import sys

import msgspec
from cleo.helpers import argument, option

from sardinestair.cli.ctl_command import COMMON_OPTIONS
from sardinestair.cli.ctl_settings import SettingsCommand, read_tree_file
from sardinestair.cli.service import EXIT_OK, EXIT_USAGE
from sardinestair.limits.forecast import ForecastRow, forecast

__all__ = ["ForecastCommand"]


class ForecastCommand(SettingsCommand):
    """Forecasts a month's spending."""

    name = "forecast"
    description = "Forecasts a month's spending by team, from the settings."
    arguments = [
        argument("file", "Settings tree in YAML; default the tree in force.",
                 optional=True),
    ]  # fmt: skip
    options = [
        *COMMON_OPTIONS,
        option(
            "month", "m", "Month as YYYY-MM; default next month.", flag=False
        ),
        option("csv", None, "Write CSV."),
    ]
    help = """\
Examples:
  sardinestairctl forecast
  sardinestairctl forecast tree.yaml --month 2027-01 --csv

Amounts are in minor units of the currency. The upper figure is the monthly
budget, which is enforced. A team without a budget has no upper figure, as its
spending is not bounded."""

    def handle(self) -> int:
        """Shows the forecast."""
        try:
            year, month = self._parse_month()
        except ValueError:
            self.line_error("--month must have the form YYYY-MM")
            return EXIT_USAGE
        file = self.argument("file")
        if file:
            read = read_tree_file(file)
            if read.is_error():
                self.line_error(str(read.error))
                return EXIT_USAGE
            tree = read.ok
        else:
            fetched = self.fetch_tree()
            if fetched.is_error():
                return self.show_error(fetched.error)
            tree = fetched.ok[1]
        rows = forecast(tree, year, month)
        if self.option("csv"):
            return _write_csv(rows)
        return self.show_rows([msgspec.structs.asdict(row) for row in rows])

    def _parse_month(self) -> tuple[int, int]:
        text = self.option("month")
        if text:
            chosen = datetime.datetime.strptime(text, "%Y-%m")
            return chosen.year, chosen.month
        now = datetime.datetime.now(datetime.UTC)
        return now.year + now.month // 12, now.month % 12 + 1


def _write_csv(rows: list[ForecastRow]) -> int:
    writer = csv.writer(sys.stdout)
    writer.writerow(ForecastRow.__struct_fields__)
    for row in rows:
        writer.writerow(msgspec.structs.astuple(row))
    return EXIT_OK
