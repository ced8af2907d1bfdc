"""Shared parts of the command lines, mainly of long-running programs."""

import os
import signal
import sys
import threading
from typing import Generic, TypeVar

import msgspec
from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import option
from cleo.io.inputs.argv_input import ArgvInput

from sardinestair import __version__
from sardinestair.daemon import (
    EXIT_FAILURE,
    EXIT_OK,
    EXIT_USAGE,
    Daemon,
    run_daemon,
    tune_interpreter,
)
from sardinestair.event_loop import EventLoop
from sardinestair.launch import SETTINGS_VARIABLE, LaunchContext
from sardinestair.settings.process import load_process_settings

__all__ = [
    "EXIT_FAILURE",
    "EXIT_OK",
    "EXIT_USAGE",
    "DaemonCommand",
    "run_command",
    "tune_interpreter",
    "wait_for_stop_signal",
]

S = TypeVar("S", bound=msgspec.Struct)


def wait_for_stop_signal() -> None:
    """Waits for SIGTERM or SIGINT."""
    stop_requested = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stop_requested.set())
    stop_requested.wait()


class DaemonCommand(Command, Generic[S]):
    """Runs a program with a settings file until SIGTERM or SIGINT.

    Args:
        launched: Start time and early listener of the program, or None.

    Attributes:
        settings_type: Type of the settings; set by subclasses.
    """

    options = [
        option(
            "settings",
            "s",
            "Settings file in YAML; default $SARDINESTAIR_SETTINGS.",
            flag=False,
        ),
        option("check", None, "Check the settings and exit."),
    ]
    settings_type: type[S]

    def __init__(self, launched: LaunchContext | None = None):
        super().__init__()
        self.launched = launched

    def create_daemon(self, settings: S, event_loop: EventLoop) -> Daemon:
        """Returns the program to run with validated settings."""
        raise NotImplementedError

    def handle(self) -> int:
        """Runs the command.

        Returns:
            0 after a graceful stop, 1 if work was cut off, 2 if the settings
            are missing or invalid.
        """
        file = self.option("settings") or os.environ.get(SETTINGS_VARIABLE)
        if not file:
            self.line_error("<error>--settings FILE is required</error>")
            return EXIT_USAGE
        loaded = load_process_settings(file, self.settings_type)
        if loaded.is_error():
            self.line_error(f"<error>{loaded.error}</error>")
            return EXIT_USAGE
        if self.option("check"):
            self.line(f"{file}: settings are valid")
            return EXIT_OK
        return run_daemon(file, loaded.ok, self.create_daemon)


def run_command(command: Command) -> None:
    """Runs a program that has a single command, and exits."""
    name = command.name or ""
    application = Application(name, __version__)
    application.add(command)
    # cleo takes the name of the command from the first argument.
    sys.exit(application.run(ArgvInput([name, name, *sys.argv[1:]])))
