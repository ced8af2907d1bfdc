"""What a program does before the rest of it is loaded.

Loading takes a quarter of a second of processor time. Connections that come
meanwhile wait in the listener's backlog; they would be refused otherwise, and
their callers come back much later.
"""

import os
import socket
import time
from typing import NamedTuple

import yaml

__all__ = ["LISTEN_BACKLOG", "SETTINGS_VARIABLE", "Launch", "launch"]

LISTEN_BACKLOG = 1024
SETTINGS_VARIABLE = "SARDINESTAIR_SETTINGS"


class Launch(NamedTuple):
    """How a program was launched.

    Attributes:
        began_s: When its process began or shortly after, on the steady clock;
            an earlier process on the machine ended before.
        listener: What listens already for those whom the program serves on
            the platform, or None.
    """

    began_s: float
    listener: socket.socket | None = None


def launch(section: str, key: str) -> Launch:
    """Listens on an address of the settings file, if it names one.

    Args:
        section: Section of the settings.
        key: Its key that holds the address, as host:port.

    Examples:
        >>> os.environ.pop(SETTINGS_VARIABLE, None) and None
        >>> launch("platform", "client_address").listener is None
        True
    """
    return Launch(time.monotonic(), _listen(section, key))


def _listen(section: str, key: str) -> socket.socket | None:
    """Listens, unless the settings can't be read or the address be bound.

    Both are left to the program, which checks them and reports what is wrong.
    """
    try:
        with open(os.environ[SETTINGS_VARIABLE], encoding="utf-8") as stream:
            settings = yaml.safe_load(stream)
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
