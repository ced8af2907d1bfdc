"""Endpoints of other processes, as they arrive from outside."""

import re
from collections.abc import Iterable

__all__ = ["check_endpoint", "is_endpoint", "select_endpoints"]

MAX_PORT = 65535
# A host is an IPv4 address or a name.
_ENDPOINT = re.compile(r"[A-Za-z0-9](?:[A-Za-z0-9.-]{0,253}):([0-9]{1,5})")


def is_endpoint(text: str) -> bool:
    """Returns True for host:port, to which a socket can be connected.

    Examples:
        >>> is_endpoint("10.1.0.13:7101")
        True
        >>> is_endpoint("10.1.0.13")
        False
    """
    match = _ENDPOINT.fullmatch(text)
    return match is not None and 1 <= int(match.group(1)) <= MAX_PORT


def check_endpoint(text: str) -> None:
    """Checks that a socket can be connected to an endpoint.

    Raises:
        ValueError: If it is not host:port.
    """
    if not is_endpoint(text):
        raise ValueError(
            f"endpoint must be host:port with a port of 1 to {MAX_PORT}, "
            f"got {text!r}"
        )


def select_endpoints(texts: Iterable[str]) -> list[str]:
    """Returns the valid ones of the endpoints that another process named."""
    return [text for text in texts if is_endpoint(text)]
