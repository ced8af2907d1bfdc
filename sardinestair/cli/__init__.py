"""Command-line interfaces of the programs."""

from sardinestair.cli.service import DaemonCommand, run_command

__all__ = ["DaemonCommand", "run_command"]
