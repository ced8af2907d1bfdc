"""Command line of `sardinestair-upstream-standin`."""

from cleo.commands.command import Command
from cleo.helpers import option

from sardinestair.cli.service import (
    EXIT_OK,
    run_command,
    tune_interpreter,
    wait_for_stop_signal,
)
from sardinestair.observability import configure_logging
from sardinestair.standins.upstream import UpstreamStandin

__all__ = ["UpstreamStandinCommand", "main"]


class UpstreamStandinCommand(Command):
    """Serves an upstream whose tasks sleep."""

    name = "sardinestair-upstream-standin"
    description = "Stand-in for an upstream, whose tasks sleep."
    help = """\
Examples:
  sardinestair-upstream-standin --sidecar http://127.0.0.1:9001 \\
      --service quotes --slots 8 --speed 2.5 --start-log starts.log"""
    options = [
        option("sidecar", None, "URL of the sidecar's HTTP API.", flag=False),
        option("service", None, "Service name.", flag=False, default="quotes"),
        option("slots", None, "Number of slots.", flag=False, default="8"),
        option("speed", None, "Run time factor.", flag=False, default="1"),
        option("port", "p", "Port, 0 for any.", flag=False, default="0"),
        option("ttl", None, "Announcement TTL, s.", flag=False, default="3"),
        option("start-log", None, "Log of started tasks.", flag=False),
        option("fails-all", None, "Answer every task with status 500."),
        option("notice", None, "Notice when it stops, s.", flag=False),
    ]

    def handle(self) -> int:
        """Serves until SIGTERM."""
        tune_interpreter()
        configure_logging("WARNING")
        notice = self.option("notice")
        standin = UpstreamStandin(
            self.option("sidecar"),
            self.option("service"),
            int(self.option("slots")),
            float(self.option("speed")),
            int(self.option("port")),
            float(self.option("ttl")),
            self.option("start-log"),
            bool(self.option("fails-all")),
            None if notice is None else float(notice),
        )
        standin.start()
        wait_for_stop_signal()
        standin.stop()
        return EXIT_OK


def main() -> None:
    """Runs the program."""
    run_command(UpstreamStandinCommand())
