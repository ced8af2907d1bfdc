"""What the command lines of all long-running programs share."""

import signal
import sys
import threading
from typing import Generic, Protocol, TypeVar

import msgspec
from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import option
from cleo.io.inputs.argv_input import ArgvInput

from sardinestair import __version__
from sardinestair.observability import configure_logging
from sardinestair.settings.process import load_process_settings

__all__ = [
    "EXIT_FAILURE",
    "EXIT_OK",
    "EXIT_USAGE",
    "ServiceCommand",
    "run_command",
    "wait_for_stop",
]

EXIT_OK = 0
EXIT_FAILURE = 1
EXIT_USAGE = 2

# The interpreter's default of 5 ms would be paid at each hand-over of a task.
SWITCH_INTERVAL_S = 0.0005
THREAD_STACK_BYTES = 512 << 10

S = TypeVar("S", bound=msgspec.Struct)


class Service(Protocol):
    """A program that runs until it is told to stop."""

    def start(self) -> None:
        """Starts all threads."""

    def stop(self) -> bool:
        """Stops gracefully; returns True if nothing was cut off."""
        ...


def wait_for_stop() -> None:
    """Waits for SIGTERM or SIGINT."""
    stopping = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stopping.set())
    stopping.wait()


def tune_interpreter() -> None:
    """Sets the interpreter up for many short hand-overs between threads."""
    sys.setswitchinterval(SWITCH_INTERVAL_S)
    threading.stack_size(THREAD_STACK_BYTES)


class ServiceCommand(Command, Generic[S]):
    """Runs a service from a settings file until SIGTERM."""

    options = [
        option("settings", "s", "Settings file in YAML.", flag=False),
        option("check", None, "Check the settings and exit."),
    ]
    kind: type[S]

    def make(self, settings: S) -> Service:
        """Returns the service for checked settings."""
        raise NotImplementedError

    def handle(self) -> int:
        """Runs the command.

        Returns:
            0 after a graceful stop, 1 if work was cut off, 2 if the settings
            can't be used.
        """
        file = self.option("settings")
        if not file:
            self.line_error("<error>--settings FILE is required</error>")
            return EXIT_USAGE
        loaded = load_process_settings(file, self.kind)
        if loaded.is_error():
            self.line_error(f"<error>{loaded.error}</error>")
            return EXIT_USAGE
        if self.option("check"):
            self.line(f"{file}: settings are valid")
            return EXIT_OK
        return self._serve(loaded.ok)

    def _serve(self, settings) -> int:
        tune_interpreter()
        configure_logging(settings.log_level)
        service = self.make(settings)
        service.start()
        wait_for_stop()
        return EXIT_OK if service.stop() else EXIT_FAILURE


def run_command(command: Command) -> None:
    """Runs a program that consists of one command, and exits."""
    name = command.name or ""
    application = Application(name, __version__)
    application.add(command)
    # The program's own name stands for the command's.
    sys.exit(application.run(ArgvInput([name, name, *sys.argv[1:]])))
