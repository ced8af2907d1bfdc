"""Opens a program's listening socket before the other modules are imported.

The imports take 0.25 s of processor time. Connections made meanwhile wait in
the listener's backlog; otherwise they would be refused, and their callers
would retry much later.
"""

import os
import socket
from typing import NamedTuple

from sardinestair.clock import SystemClock

__all__ = [
    "LISTEN_BACKLOG",
    "SETTINGS_VARIABLE",
    "LaunchContext",
    "prepare_launch",
]

LISTEN_BACKLOG = 1024
SETTINGS_VARIABLE = "SARDINESTAIR_SETTINGS"


class LaunchContext(NamedTuple):
    """Start time and early listener of a program.

    Attributes:
        process_start_s: Time at or shortly after the start of the process, on
            `SystemClock`; an earlier process on the machine had ended by then.
        listener: The socket that already listens on the program's platform
            address, or None.
    """

    process_start_s: float
    listener: socket.socket | None = None


def prepare_launch(section: str, key: str) -> LaunchContext:
    """Listens on an address from the settings file, if it is set.

    Args:
        section: Section of the settings.
        key: Key in the section that contains the address, as host:port.

    Examples:
        >>> os.environ.pop(SETTINGS_VARIABLE, None) and None
        >>> prepare_launch("platform", "client_address").listener is None
        True
    """
    return LaunchContext(SystemClock().monotonic(), _listen(section, key))


def _listen(section: str, key: str) -> socket.socket | None:
    """Returns a listener, or None if reading settings or binding fails.

    Errors are ignored here because the program repeats both and reports them.
    """
    # Slow to import, after the start of the process has been noted.
    import yaml

    from sardinestair.yaml_loader import YAML_LOADER

    try:
        with open(os.environ[SETTINGS_VARIABLE], encoding="utf-8") as stream:
            settings = yaml.load(stream, Loader=YAML_LOADER)
        host, _, port = settings[section][key].rpartition(":")
        return socket.create_server((host, int(port)), backlog=LISTEN_BACKLOG)
    except (
        AttributeError,
        KeyError,
        OSError,
        OverflowError,
        TypeError,
        ValueError,
        yaml.YAMLError,
    ):
        return None
