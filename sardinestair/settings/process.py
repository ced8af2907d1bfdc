"""Settings of one process, from its YAML file and the environment."""

import os
from collections.abc import Mapping
from typing import Annotated, TypeVar

import msgspec
from expression import Error, Ok, Result
from msgspec import Meta

from sardinestair.settings.files import SettingsError, load_yaml

__all__ = [
    "Address",
    "EntrySettings",
    "SidecarSettings",
    "StoreSettings",
    "load_process_settings",
]

T = TypeVar("T", bound=msgspec.Struct)
Port = Annotated[int, Meta(ge=0, le=65535)]
Seconds = Annotated[float, Meta(gt=0, le=3600)]
ENVIRONMENT_PREFIX = "SARDINESTAIR_"


class Address(msgspec.Struct, forbid_unknown_fields=True):
    """Where a process listens.

    Attributes:
        host: IP number.
        http_port: Port for callers, operators or the upstream.
        link_port: Port for the system's own processes.
    """

    host: Annotated[str, Meta(pattern=r"^[0-9a-fA-F.:]+$")] = "127.0.0.1"
    http_port: Port = 8080
    link_port: Port = 8081


class StoreSettings(msgspec.Struct, forbid_unknown_fields=True):
    """The platform's key-value service.

    Attributes:
        endpoints: Base URLs, tried in order.
        prefix: Prefix of all keys.
        timeout_s: Longest time for one call, in seconds.
    """

    endpoints: Annotated[list[str], Meta(min_length=1)]
    prefix: str = "/sardinestair/"
    timeout_s: Seconds = 1.0


class EntrySettings(msgspec.Struct, forbid_unknown_fields=True):
    """Settings of an entry.

    Attributes:
        address: Where it listens.
        zone: Its availability zone.
        store: The platform's service; None runs from `tree_file` alone.
        tree_file: Settings tree to start from while the store has none.
        peers: Membership endpoints (host:port) of other entries.
        http_threads: Requests that are served at a time.
        max_body_bytes: Bound on a request's body.
        retention_s: How long ended jobs are kept, in seconds.
        claim_wait_s: Longest wait for the store before an unrepeatable job
            is refused, in seconds.
        claim_retention_s: Age at which an unrepeatable job's id is refused
            and its claim may be deleted, in seconds.
        drain_timeout_s: Longest graceful stop, in seconds.
        log_level: Lowest level of events that are written.
    """

    address: Address = msgspec.field(default_factory=Address)
    zone: Annotated[str, Meta(min_length=1, max_length=63)] = "default"
    store: StoreSettings | None = None
    tree_file: str | None = None
    peers: list[str] = msgspec.field(default_factory=list)
    http_threads: Annotated[int, Meta(ge=2, le=1024)] = 128
    max_body_bytes: Annotated[int, Meta(ge=1024, le=1 << 28)] = 8 << 20
    retention_s: Seconds = 300.0
    claim_wait_s: Annotated[float, Meta(gt=0, le=30)] = 2.0
    claim_retention_s: Annotated[float, Meta(ge=60, le=864000)] = 86400.0
    drain_timeout_s: Seconds = 60.0
    log_level: str = "INFO"


class SidecarSettings(msgspec.Struct, forbid_unknown_fields=True):
    """Settings of a sidecar.

    Attributes:
        address: Where it listens.
        zone: Its availability zone.
        entries: Membership endpoints (host:port) of entries.
        advertise: Endpoint (host:port) under which entries reach it, if that
            is not the address it listens on.
        max_entries: Entries that it talks to at most, chosen by rendezvous
            hashing of those that are known.
        announce_interval_s: Time between announcements, in seconds.
        drain_timeout_s: Longest graceful stop, in seconds.
        log_level: Lowest level of events that are written.
    """

    entries: Annotated[list[str], Meta(min_length=1)]
    address: Address = msgspec.field(default_factory=Address)
    zone: Annotated[str, Meta(min_length=1, max_length=63)] = "default"
    advertise: str | None = None
    max_entries: Annotated[int, Meta(ge=1, le=64)] = 8
    announce_interval_s: Annotated[float, Meta(ge=0.05, le=10)] = 0.5
    drain_timeout_s: Seconds = 60.0
    log_level: str = "INFO"


_OVERRIDES = {
    "HOST": ("address", "host", str),
    "HTTP_PORT": ("address", "http_port", int),
    "LINK_PORT": ("address", "link_port", int),
}


def load_process_settings(
    file: str, kind: type[T], environment: Mapping[str, str] | None = None
) -> Result[T, SettingsError]:
    """Reads a process's settings, with overrides from the environment.

    `SARDINESTAIR_HOST`, `SARDINESTAIR_HTTP_PORT` and `SARDINESTAIR_LINK_PORT`
    override the address, and `SARDINESTAIR_ZONE` the availability zone.

    Args:
        file: Name of the YAML file.
        kind: `EntrySettings` or `SidecarSettings`.
        environment: The environment; that of the process by default.

    Returns:
        The settings, or why they can't be used.
    """
    loaded = load_yaml(file, kind)
    if loaded.is_error():
        return loaded
    variables = os.environ if environment is None else environment
    data = msgspec.to_builtins(loaded.ok)
    for name, (section, key, convert) in _OVERRIDES.items():
        text = variables.get(ENVIRONMENT_PREFIX + name)
        if text is not None:
            number = convert is int and text.isdecimal()
            data[section][key] = int(text) if number else text
    data["zone"] = variables.get(ENVIRONMENT_PREFIX + "ZONE", data["zone"])
    try:
        return Ok(msgspec.convert(data, kind))
    except msgspec.ValidationError as error:
        return Error(SettingsError("environment", 1, "", str(error)))
