"""Command line of `sardinestairctl`."""

import sys

from cleo.application import Application

from sardinestair import __version__
from sardinestair.cli.ctl_evacuate import EvacuateCommand
from sardinestair.cli.ctl_finance import ForecastCommand
from sardinestair.cli.ctl_jobs import (
    CancelCommand,
    JobCommand,
    StatusCommand,
    SubmitCommand,
    UpstreamsCommand,
)
from sardinestair.cli.ctl_review import DroppedCommand
from sardinestair.cli.ctl_settings import (
    ApplyCommand,
    CheckCommand,
    DiffCommand,
    ExplainCommand,
    GetCommand,
    HistoryCommand,
    SetCommand,
)
from sardinestair.cli.ctl_trace import TraceCommand

__all__ = ["main"]

COMMANDS = [
    SubmitCommand,
    JobCommand,
    CancelCommand,
    StatusCommand,
    UpstreamsCommand,
    EvacuateCommand,
    GetCommand,
    SetCommand,
    ApplyCommand,
    DiffCommand,
    ExplainCommand,
    HistoryCommand,
    CheckCommand,
    ForecastCommand,
    DroppedCommand,
    TraceCommand,
]


def main() -> None:
    """Runs the program."""
    application = Application("sardinestairctl", __version__)
    for command in COMMANDS:
        application.add(command())
    sys.exit(application.run())
