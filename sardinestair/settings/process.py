"""Settings of a process, read from its YAML file and the environment."""

import os
from collections.abc import Mapping
from typing import Annotated, TypeVar

import msgspec
from expression import Error, Ok, Result
from msgspec import Meta

from sardinestair.endpoints import check_endpoint
from sardinestair.links.limits import LinkLimits
from sardinestair.links.timing import LinkTiming
from sardinestair.settings.files import SettingsError, load_yaml
from sardinestair.settings.tree import Overrides
from sardinestair.web.limits import HttpLimits

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
MemoryMb = Annotated[int, Meta(ge=16, le=1 << 20)]
Seconds = Annotated[float, Meta(gt=0, le=3600)]
HostPort = Annotated[str, Meta(pattern=r"^[0-9a-fA-F.:]+:[0-9]+$")]
ENVIRONMENT_PREFIX = "SARDINESTAIR_"


class Address(msgspec.Struct, forbid_unknown_fields=True):
    """Listening address of a process.

    Attributes:
        host: IP address.
        http_port: HTTP port for callers and operators, or for the upstream.
        link_port: Port for links between entries and sidecars.
    """

    host: Annotated[str, Meta(pattern=r"^[0-9a-fA-F.:]+$")] = "127.0.0.1"
    http_port: Port = 8080
    link_port: Port = 8081


class StoreSettings(msgspec.Struct, forbid_unknown_fields=True):
    """Connection to the platform's key-value store.

    Attributes:
        endpoints: Base URLs, tried in order.
        prefix: Prefix of all keys.
        timeout_s: Timeout of one call, in seconds.
    """

    endpoints: Annotated[list[str], Meta(min_length=1)]
    prefix: str = "/sardinestair/"
    timeout_s: Seconds = 1.0


class EntryPlatform(msgspec.Struct, forbid_unknown_fields=True):
    """Settings of an entry that runs on the users' platform.

    Attributes:
        store_address: Address of the platform's store, host:port.
        client_address: Address that listens for clients, host:port.
        readiness_address: Address of the readiness check for the load
            balancer, host:port.
        seeds: Addresses (host:port) on the machines of other entries; only
            the hosts are used.
        client_threads: Ignored; clients need no threads any more.
        defaults: Overrides of the settings tree's root, for settings that the
            operator's configuration does not contain.
        leave_s: How long clients are still served after the readiness check
            starts to fail, in seconds; the load balancer only reacts after
            two failed checks.
        remote_factor: Overrides the setting `remote_factor` of the tree's
            root; None leaves it unchanged.
    """

    store_address: HostPort
    client_address: HostPort
    readiness_address: HostPort
    seeds: list[HostPort] = msgspec.field(default_factory=list)
    client_threads: Annotated[int, Meta(ge=2, le=1024)] | None = None
    defaults: Overrides = msgspec.field(default_factory=Overrides)
    leave_s: Annotated[float, Meta(ge=0, le=60)] = 2.5
    remote_factor: Annotated[float, Meta(ge=1, le=100)] | None = None


class SidecarPlatform(msgspec.Struct, forbid_unknown_fields=True):
    """Settings of a sidecar that runs on the users' platform.

    Attributes:
        store_address: Address of the platform's store, host:port.
        runner_address: Address at which the runner accepts requests,
            host:port.
        heartbeat_address: Address that listens for the runner's heartbeats,
            host:port.
        seeds: Addresses (host:port) on the machines of entries; only the
            hosts are used.
        heartbeat_ttl_s: How long a heartbeat remains valid, in seconds.
    """

    store_address: HostPort
    runner_address: HostPort
    heartbeat_address: HostPort
    seeds: list[HostPort] = msgspec.field(default_factory=list)
    heartbeat_ttl_s: Seconds = 6.0


class EntrySettings(msgspec.Struct, forbid_unknown_fields=True):
    """Settings of an entry.

    Attributes:
        address: Listening address.
        zone: Availability zone of the entry.
        store: Key-value store; None runs the entry from `tree_file` alone.
        tree_file: Settings tree to use until the store contains one.
        peers: Membership endpoints (host:port) of other entries.
        http_threads: Ignored; requests need no threads any more.
        http: Limits of HTTP connections and requests.
        memory_mb: Memory of the machine in MB, of which the budget for HTTP
            requests and unread responses is a part; a fixed budget of 64 MB
            if absent.
        max_body_bytes: Maximum size of a request body, in bytes.
        retention_s: How long finished jobs are kept, in seconds.
        claim_wait_s: Longest wait for the store before an unrepeatable job
            is refused, in seconds.
        claim_retention_s: Age from which the id of an unrepeatable job is
            refused and its claim may be deleted, in seconds.
        drain_timeout_s: Timeout of a graceful shutdown, in seconds.
        log_level: Minimum level of logged events.
        link: Timing of the links to sidecars.
        link_limits: Limits of the link port.
        count_own_delay: Whether the delay that the entry adds to a job, because
            it lacks processor time, counts when jobs are admitted.
        platform: Settings for the users' platform; None runs outside of it.
    """

    address: Address = msgspec.field(default_factory=Address)
    zone: Annotated[str, Meta(min_length=1, max_length=63)] = "default"
    store: StoreSettings | None = None
    tree_file: str | None = None
    peers: list[str] = msgspec.field(default_factory=list)
    http_threads: Annotated[int, Meta(ge=2, le=1024)] | None = None
    http: HttpLimits = msgspec.field(default_factory=HttpLimits)
    memory_mb: MemoryMb | None = None
    max_body_bytes: Annotated[int, Meta(ge=1024, le=1 << 28)] = 8 << 20
    retention_s: Seconds = 300.0
    claim_wait_s: Annotated[float, Meta(gt=0, le=30)] = 2.0
    claim_retention_s: Annotated[float, Meta(ge=60, le=864000)] = 86400.0
    drain_timeout_s: Seconds = 60.0
    log_level: str = "INFO"
    link: LinkTiming = msgspec.field(default_factory=LinkTiming)
    link_limits: LinkLimits = msgspec.field(default_factory=LinkLimits)
    count_own_delay: bool = False
    platform: EntryPlatform | None = None

    def __post_init__(self) -> None:
        """Checks the endpoints of the other entries.

        Raises:
            ValueError: If one is not host:port.
        """
        for endpoint in self.peers:
            check_endpoint(endpoint)


class SidecarSettings(msgspec.Struct, forbid_unknown_fields=True):
    """Settings of a sidecar.

    Attributes:
        address: Listening address.
        zone: Availability zone of the sidecar.
        entries: Membership endpoints (host:port) of entries.
        advertise: Endpoint (host:port) at which entries reach the sidecar, if
            it differs from the listening address.
        max_entries: Maximum number of entries to connect to, chosen from the
            known ones by rendezvous hashing.
        announce_interval_s: Time between announcements, in seconds.
        drain_timeout_s: Timeout of a graceful shutdown, in seconds.
        log_level: Minimum level of logged events.
        http: Limits of HTTP connections and requests.
        memory_mb: Memory of the machine in MB, of which the budget for HTTP
            requests and unread responses is a part; a fixed budget of 64 MB
            if absent.
        link: Timing of the links; must match that of the entries.
        link_limits: Limits of the link port.
        platform: Settings for the users' platform; None runs outside of it.
    """

    entries: list[str]
    address: Address = msgspec.field(default_factory=Address)
    zone: Annotated[str, Meta(min_length=1, max_length=63)] = "default"
    advertise: str | None = None
    max_entries: Annotated[int, Meta(ge=1, le=64)] = 8
    announce_interval_s: Annotated[float, Meta(ge=0.05, le=10)] = 0.5
    drain_timeout_s: Seconds = 60.0
    log_level: str = "INFO"
    http: HttpLimits = msgspec.field(default_factory=HttpLimits)
    memory_mb: MemoryMb | None = None
    link: LinkTiming = msgspec.field(default_factory=LinkTiming)
    link_limits: LinkLimits = msgspec.field(default_factory=LinkLimits)
    platform: SidecarPlatform | None = None

    def __post_init__(self) -> None:
        """Checks that the sidecar has a way to find entries.

        Raises:
            ValueError: If neither `entries` nor `platform` is given, or an
                endpoint is not host:port.
        """
        for endpoint in [*self.entries, *filter(None, [self.advertise])]:
            check_endpoint(endpoint)
        if not self.entries and self.platform is None:
            raise ValueError(
                "entries must list at least one endpoint unless platform is set"
            )


def split_address(address: str) -> tuple[str, int]:
    """Splits an address into host and port.

    Examples:
        >>> split_address("10.1.0.13:8161")
        ('10.1.0.13', 8161)
    """
    host, _, port = address.rpartition(":")
    return host, int(port)


_ENVIRONMENT_OVERRIDES = {
    "HOST": ("address", "host", str),
    "HTTP_PORT": ("address", "http_port", int),
    "LINK_PORT": ("address", "link_port", int),
}
# Limits that an orchestrator sets. An empty variable sets nothing.
_ENVIRONMENT_LIMITS = {
    "MEMORY_MB": (None, "memory_mb"),
    "REMOTE_FACTOR": ("platform", "remote_factor"),
}


def load_process_settings(
    file: str,
    settings_type: type[T],
    environment: Mapping[str, str] | None = None,
) -> Result[T, SettingsError]:
    """Loads the settings of a process and applies environment overrides.

    `SARDINESTAIR_HOST`, `SARDINESTAIR_HTTP_PORT` and `SARDINESTAIR_LINK_PORT`
    override the address, and `SARDINESTAIR_ZONE` the availability zone.
    `SARDINESTAIR_MEMORY_MB` and `SARDINESTAIR_REMOTE_FACTOR` override
    `memory_mb` and `platform.remote_factor`, if they are not empty.

    Args:
        file: Path of the YAML file.
        settings_type: `EntrySettings` or `SidecarSettings`.
        environment: Environment variables; defaults to `os.environ`.

    Returns:
        The settings, or the error with its position.
    """
    loaded = load_yaml(file, settings_type)
    if loaded.is_error():
        return loaded
    variables = os.environ if environment is None else environment
    data = msgspec.to_builtins(loaded.ok)
    for name, (section, key, convert) in _ENVIRONMENT_OVERRIDES.items():
        text = variables.get(ENVIRONMENT_PREFIX + name)
        if text is not None:
            is_number = convert is int and text.isdecimal()
            data[section][key] = int(text) if is_number else text
    for name, (parent, field) in _ENVIRONMENT_LIMITS.items():
        text = variables.get(ENVIRONMENT_PREFIX + name)
        if text:
            target = data if parent is None else data[parent]
            target[field] = _parse_number(text)
    data["zone"] = variables.get(ENVIRONMENT_PREFIX + "ZONE", data["zone"])
    try:
        return Ok(msgspec.convert(data, settings_type))
    except msgspec.ValidationError as error:
        return Error(SettingsError("environment", 1, "", str(error)))


def _parse_number(text: str) -> float | int | str:
    """Returns a number, or the text itself, which the schema then rejects."""
    for convert in (int, float):
        try:
            return convert(text)
        except ValueError:
            continue
    return text
