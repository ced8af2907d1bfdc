"""Shared parts of the command lines, mainly of long-running programs."""

import faulthandler
import os
import signal
import sys
import threading
from collections.abc import Callable
from typing import Generic, Protocol, TypeVar

import msgspec
from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import option
from cleo.io.inputs.argv_input import ArgvInput

from sardinestair import __version__
from sardinestair.launch import SETTINGS_VARIABLE, LaunchContext
from sardinestair.observability import EventLog, configure_logging
from sardinestair.settings.process import load_process_settings

__all__ = [
    "EXIT_FAILURE",
    "EXIT_OK",
    "EXIT_USAGE",
    "DaemonCommand",
    "run_command",
    "wait_for_stop_signal",
]

EXIT_OK = 0
EXIT_FAILURE = 1
EXIT_USAGE = 2

THREAD_STACK_BYTES = 512 << 10
SETTINGS_POLL_INTERVAL_S = 1.0

S = TypeVar("S", bound=msgspec.Struct)
T_contra = TypeVar("T_contra", contravariant=True)


class Daemon(Protocol[T_contra]):
    """A program that runs until it receives a signal to stop."""

    def start(self) -> None:
        """Starts all threads."""

    def stop(self) -> bool:
        """Stops gracefully; returns True if no work was cut off."""
        ...

    def reload(self, settings: T_contra) -> None:
        """Applies those changed settings that can change at run time."""

    def report_usage(self) -> None:
        """Reports the resource usage; called every second."""


def wait_for_stop_signal(
    poll_settings: Callable[[], object] | None = None,
) -> None:
    """Waits for SIGTERM or SIGINT.

    Args:
        poll_settings: Called on SIGHUP and every `SETTINGS_POLL_INTERVAL_S`
            seconds, to check for changed settings.
    """
    stop_requested = threading.Event()
    wakeup = threading.Event()

    def request_stop(*_signal: object) -> None:
        stop_requested.set()
        wakeup.set()

    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, request_stop)
    signal.signal(signal.SIGHUP, lambda *_: wakeup.set())
    while not stop_requested.is_set():
        wakeup.wait(SETTINGS_POLL_INTERVAL_S)
        wakeup.clear()
        if poll_settings is not None and not stop_requested.is_set():
            poll_settings()


def tune_interpreter() -> None:
    """Limits the stacks of threads.

    Also enables a dump of all thread stacks to standard error if native code
    crashes.
    """
    faulthandler.enable()
    threading.stack_size(THREAD_STACK_BYTES)


class SettingsWatcher(Generic[S]):
    """Reloads a settings file when its content changes.

    Invalid settings are logged, and the settings in force are kept.

    Args:
        file: Name of the settings file.
        settings_type: Type of the settings.
        settings: The settings in force.
        on_change: Called with changed settings.
    """

    def __init__(
        self,
        file: str,
        settings_type: type[S],
        settings: S,
        on_change: Callable[[S], None],
    ):
        self.file = file
        self.settings_type = settings_type
        self.settings = settings
        self.on_change = on_change
        self.content = self._read_file()
        self.log = EventLog("settings", file=file)

    def reload_if_changed(self) -> bool:
        """Checks the file; returns True if changed settings were applied."""
        content = self._read_file()
        if content == self.content:
            return False
        self.content = content
        loaded = load_process_settings(self.file, self.settings_type)
        if loaded.is_error():
            self.log.error("settings_refused", reason=str(loaded.error))
            return False
        changed = [
            name
            for name in self.settings_type.__struct_fields__
            if getattr(loaded.ok, name) != getattr(self.settings, name)
        ]
        self.log.info("settings_reloaded", changed=",".join(changed))
        self.settings = loaded.ok
        self.on_change(loaded.ok)
        return True

    def _read_file(self) -> bytes:
        try:
            with open(self.file, "rb") as stream:
                return stream.read()
        except OSError as error:
            # The file is missing, maybe only while it is being replaced. The
            # settings in force are kept.
            EventLog("settings").warning(
                "settings_unreadable", file=self.file, reason=str(error)
            )
            return b""


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

    def create_daemon(self, settings: S) -> Daemon:
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
        return self._run_daemon(file, loaded.ok)

    def _run_daemon(self, file: str, settings) -> int:
        tune_interpreter()
        configure_logging(settings.log_level, sys.stdout)
        daemon = self.create_daemon(settings)
        daemon.start()
        watcher = SettingsWatcher(
            file, self.settings_type, settings, daemon.reload
        )

        def poll() -> None:
            watcher.reload_if_changed()
            daemon.report_usage()

        wait_for_stop_signal(poll)
        return EXIT_OK if daemon.stop() else EXIT_FAILURE


def run_command(command: Command) -> None:
    """Runs a program that has a single command, and exits."""
    name = command.name or ""
    application = Application(name, __version__)
    application.add(command)
    # cleo takes the name of the command from the first argument.
    sys.exit(application.run(ArgvInput([name, name, *sys.argv[1:]])))
