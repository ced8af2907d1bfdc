"""Command line of `sardinestair-store-standin`."""

from cleo.commands.command import Command
from cleo.helpers import option

from sardinestair.cli.service import (
    EXIT_OK,
    run_command,
    tune_interpreter,
    wait_for_stop_signal,
)
from sardinestair.observability import configure_logging
from sardinestair.standins.store import StoreStandin

__all__ = ["StoreStandinCommand", "main"]

DEFAULT_PORT = "2379"


class StoreStandinCommand(Command):
    """Serves an in-memory stand-in for the platform's key-value service."""

    name = "sardinestair-store-standin"
    description = "In-memory stand-in for the platform's key-value service."
    help = """\
Examples:
  sardinestair-store-standin --port 2379
  curl -X PUT http://127.0.0.1:2379/standin/faults -d '{{"down": true}}'"""
    options = [
        option("port", "p", "Port.", flag=False, default=DEFAULT_PORT),
    ]

    def handle(self) -> int:
        """Serves until SIGTERM."""
        tune_interpreter()
        configure_logging()
        standin = StoreStandin(int(self.option("port")))
        standin.start()
        wait_for_stop_signal()
        standin.stop()
        return EXIT_OK


def main() -> None:
    """Runs the program."""
    run_command(StoreStandinCommand())
