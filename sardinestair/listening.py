"""Listens for connections before the rest of a program is loaded.

Loading takes a quarter of a second of processor time. Connections that come
meanwhile wait in the listener's backlog; they would be refused otherwise, and
their callers come back much later.
"""

import os
import socket

import yaml

__all__ = ["LISTEN_BACKLOG", "SETTINGS_VARIABLE", "listen_early"]

LISTEN_BACKLOG = 1024
SETTINGS_VARIABLE = "SARDINESTAIR_SETTINGS"


def listen_early(section: str, key: str) -> socket.socket | None:
    """Listens on an address of the settings file, if it names one.

    Settings that can't be read, and addresses that can't be bound, are left
    to the program, which checks all of them and reports what is wrong.

    Args:
        section: Section of the settings.
        key: Its key that holds the address, as host:port.

    Returns:
        The listener, or None.

    Examples:
        >>> os.environ.pop(SETTINGS_VARIABLE, None) and None
        >>> listen_early("platform", "client_address") is None
        True
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
