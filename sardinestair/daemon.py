"""Runs a program: settings file, event loop, signals and exit code.

It needs no command line, whose library takes a fifth of the time of a start.
"""

import ctypes
import faulthandler
import gc
import os
import signal
import sys
import threading
from collections.abc import Callable
from typing import Generic, Protocol, TypeVar

import msgspec

from sardinestair.event_loop import EventLoop
from sardinestair.launch import SETTINGS_VARIABLE
from sardinestair.observability import (
    EventLog,
    configure_logging,
    flush_logs,
)
from sardinestair.settings.process import load_process_settings

__all__ = [
    "EXIT_FAILURE",
    "EXIT_OK",
    "EXIT_USAGE",
    "Daemon",
    "run_daemon",
    "run_without_arguments",
    "tune_interpreter",
]

EXIT_OK = 0
EXIT_FAILURE = 1
EXIT_USAGE = 2

THREAD_STACK_BYTES = 512 << 10
SETTINGS_POLL_INTERVAL_S = 1.0
# Of <malloc.h>.
M_TRIM_THRESHOLD = -1
M_MMAP_THRESHOLD = -3
MMAP_THRESHOLD_BYTES = 64 << 10
TRIM_THRESHOLD_BYTES = 1 << 20
# New objects between two collections of the youngest generation. Most objects
# of a request are freed without the collector.
GC_THRESHOLD = 10_000

S = TypeVar("S", bound=msgspec.Struct)
T_contra = TypeVar("T_contra", contravariant=True)


class Daemon(Protocol[T_contra]):
    """A program that runs until it receives a signal to stop."""

    def start(self) -> None:
        """Starts to serve; called in a thread beside the event loop's."""

    def stop(self) -> bool:
        """Stops gracefully, likewise; returns True if no work was cut off."""
        ...

    def reload(self, settings: T_contra) -> None:
        """Applies those changed settings that can change at run time."""

    def report_usage(self) -> None:
        """Reports the resource usage; called every second."""


def tune_interpreter() -> None:
    """Limits the stacks of threads, and collects garbage less often.

    Also enables a dump of all thread stacks to standard error if native code
    crashes.
    """
    faulthandler.enable()
    threading.stack_size(THREAD_STACK_BYTES)
    gc.set_threshold(GC_THRESHOLD)
    # Modules live as long as the process: full collections skip them.
    gc.freeze()
    gc.enable()
    _limit_fragmentation()


def _limit_fragmentation() -> None:
    """Keeps large blocks out of the heap, so that they return to the system.

    The C library raises its threshold with the blocks that are released. Bodies
    that grow side by side would then leave holes in the heap.
    """
    try:
        mallopt = ctypes.CDLL(None).mallopt
    except (AttributeError, OSError):
        # Not every C library has it.
        return
    mallopt(M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES)
    mallopt(M_TRIM_THRESHOLD, TRIM_THRESHOLD_BYTES)


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


class DaemonRunner:
    """Runs the event loop of a program in the main thread.

    Starting and stopping wait for events of the loop, so each runs in a thread
    that ends with it.

    Args:
        daemon: The program.
        event_loop: The program's event loop.
        poll_settings: Called every `SETTINGS_POLL_INTERVAL_S` seconds and on
            SIGHUP, to check for changed settings.

    Attributes:
        exit_code: The exit code, once the program has stopped.
    """

    def __init__(
        self,
        daemon: Daemon,
        event_loop: EventLoop,
        poll_settings: Callable[[], object],
    ):
        self.daemon = daemon
        self.event_loop = event_loop
        self.poll_settings = poll_settings
        self.exit_code = EXIT_FAILURE
        self.is_started = False
        self.is_stop_requested = False
        self.is_stopping = False
        self.log = EventLog("program")

    def run(self) -> int:
        """Runs the program until SIGTERM or SIGINT; returns the exit code."""
        self.event_loop.loop.call_soon(self._begin)
        self.event_loop.run()
        return self.exit_code

    def _begin(self) -> None:
        # A signal that came between the registration of its handler and the
        # start of the loop would be lost.
        loop = self.event_loop.loop
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._request_stop)
        loop.add_signal_handler(signal.SIGHUP, self._poll)
        self._run_in_thread(self._start)

    def _run_in_thread(self, function: Callable[[], None]) -> None:
        def run() -> None:
            try:
                function()
            except Exception:
                self.log.logger.exception("program_failed")
                flush_logs()
                # Open sockets would hold up an orderly exit.
                os._exit(EXIT_FAILURE)

        threading.Thread(target=run, name="control").start()

    def _start(self) -> None:
        self.daemon.start()
        self.event_loop.call_soon(self._handle_started)

    def _stop(self) -> None:
        self.exit_code = EXIT_OK if self.daemon.stop() else EXIT_FAILURE
        self.event_loop.stop()

    def _handle_started(self) -> None:
        self.is_started = True
        self._stop_if_requested()
        self._poll_periodically()

    def _request_stop(self) -> None:
        self.is_stop_requested = True
        self._stop_if_requested()

    def _stop_if_requested(self) -> None:
        is_due = self.is_started and self.is_stop_requested
        if is_due and not self.is_stopping:
            self.is_stopping = True
            self._run_in_thread(self._stop)

    def _poll_periodically(self) -> None:
        if not self.is_stopping:
            # Before the poll, so that an error in it doesn't end the polls.
            self.event_loop.loop.call_later(
                SETTINGS_POLL_INTERVAL_S, self._poll_periodically
            )
            self._poll()

    def _poll(self) -> None:
        if self.is_started and not self.is_stopping:
            self.poll_settings()
            self.daemon.report_usage()


def run_daemon(
    file: str,
    settings: S,
    create_daemon: Callable[[S, EventLoop], Daemon],
) -> int:
    """Runs a program until SIGTERM or SIGINT.

    Args:
        file: Name of the settings file.
        settings: Its validated content.
        create_daemon: Creates the program.

    Returns:
        The exit code: 0 after a graceful stop, 1 if work was cut off.
    """
    tune_interpreter()
    configure_logging(getattr(settings, "log_level", "INFO"), sys.stdout)
    event_loop = EventLoop()
    daemon = create_daemon(settings, event_loop)
    watcher = SettingsWatcher(file, type(settings), settings, daemon.reload)
    return DaemonRunner(daemon, event_loop, watcher.reload_if_changed).run()


def run_without_arguments(
    settings_type: type[S], create_daemon: Callable[[S, EventLoop], Daemon]
) -> int:
    """Runs a program whose settings file the environment names.

    Args:
        settings_type: Type of the settings.
        create_daemon: Creates the program.

    Returns:
        The exit code, 2 if the settings are missing or invalid.
    """
    file = os.environ.get(SETTINGS_VARIABLE)
    if not file:
        print(
            f"--settings FILE or ${SETTINGS_VARIABLE} is required",
            file=sys.stderr,
        )
        return EXIT_USAGE
    loaded = load_process_settings(file, settings_type)
    if loaded.is_error():
        print(loaded.error, file=sys.stderr)
        return EXIT_USAGE
    return run_daemon(file, loaded.ok, create_daemon)
