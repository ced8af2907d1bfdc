"""Settings of one process, from its YAML file and the environment."""

import os
from collections.abc import Mapping
from typing import Annotated, TypeVar

import msgspec
from expression import Error, Ok, Result
from msgspec import Meta

from sardinestair.links.timing import LinkTiming
from sardinestair.settings.files import SettingsError, load_yaml
from sardinestair.settings.tree import Overrides

__all__ = [
    "Address",
    "EntryPlatform",
    "EntrySettings",
    "SidecarPlatform",
    "SidecarSettings",
    "StoreSettings",
    "load_process_settings",
    "split_address",
]

T = TypeVar("T", bound=msgspec.Struct)
Port = Annotated[int, Meta(ge=0, le=65535)]
Seconds = Annotated[float, Meta(gt=0, le=3600)]
HostPort = Annotated[str, Meta(pattern=r"^[0-9a-fA-F.:]+:[0-9]+$")]
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


class EntryPlatform(msgspec.Struct, forbid_unknown_fields=True):
    """What an entry needs to know of the users' platform.

    Attributes:
        store_address: The platform's store, host:port.
        client_address: Where clients are served, host:port.
        readiness_address: Where the balancer asks for readiness, host:port.
        seeds: Addresses (host:port) on the machines of other entries; only
            the hosts count.
        client_threads: Clients that can wait for an answer at a time.
        defaults: What the root of the settings tree overrides; the operator's
            configuration knows no such settings.
        leave_s: How long clients are served on after readiness is off, since
            the balancer needs to miss it twice, in seconds.
    """

    store_address: HostPort
    client_address: HostPort
    readiness_address: HostPort
    seeds: list[HostPort] = msgspec.field(default_factory=list)
    client_threads: Annotated[int, Meta(ge=2, le=1024)] = 400
    defaults: Overrides = msgspec.field(default_factory=Overrides)
    leave_s: Annotated[float, Meta(ge=0, le=60)] = 2.5


class SidecarPlatform(msgspec.Struct, forbid_unknown_fields=True):
    """What a sidecar needs to know of the users' platform.

    Attributes:
        store_address: The platform's store, host:port.
        runner_address: Where the runner takes orders, host:port.
        heartbeat_address: Where the runner sends its heartbeats, host:port.
        seeds: Addresses (host:port) on the machines of entries; only the
            hosts count.
        heartbeat_ttl_s: How long a heartbeat holds, in seconds.
    """

    store_address: HostPort
    runner_address: HostPort
    heartbeat_address: HostPort
    seeds: list[HostPort] = msgspec.field(default_factory=list)
    heartbeat_ttl_s: Seconds = 6.0


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
        link: Time limits of links with sidecars.
        platform: The users' platform, if the entry runs there.
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
    link: LinkTiming = msgspec.field(default_factory=LinkTiming)
    platform: EntryPlatform | None = None


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
        link: Time limits of links; as those of the entries.
        platform: The users' platform, if the sidecar runs there.
    """

    entries: list[str]
    address: Address = msgspec.field(default_factory=Address)
    zone: Annotated[str, Meta(min_length=1, max_length=63)] = "default"
    advertise: str | None = None
    max_entries: Annotated[int, Meta(ge=1, le=64)] = 8
    announce_interval_s: Annotated[float, Meta(ge=0.05, le=10)] = 0.5
    drain_timeout_s: Seconds = 60.0
    log_level: str = "INFO"
    link: LinkTiming = msgspec.field(default_factory=LinkTiming)
    platform: SidecarPlatform | None = None

    def __post_init__(self) -> None:
        """Checks that entries can be found.

        Raises:
            ValueError: If there is no way to find any.
        """
        if not self.entries and self.platform is None:
            raise ValueError("entries must name at least one, got none")


def split_address(address: str) -> tuple[str, int]:
    """Returns host and port of an address.

    Examples:
        >>> split_address("10.1.0.13:8161")
        ('10.1.0.13', 8161)
    """
    host, _, port = address.rpartition(":")
    return host, int(port)


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
