"""The operators' settings tree: root, service, availability zone, job kind.

Each node sets only the values that it overrides and inherits the others from
its parent. A zone or kind named `*` is a wildcard: it applies to all of them,
and the node with the exact name overrides it.
"""

import enum
from collections.abc import Iterator
from typing import Annotated, Any

import msgspec
from expression import Error, Ok, Result
from msgspec import UNSET, Meta, UnsetType

from sardinestair.placement.policies import PolicyName
from sardinestair.placement.queue import OrderPolicy
from sardinestair.settings.files import SettingsError, parse_yaml

__all__ = [
    "ExpectedUse",
    "Explanation",
    "Favour",
    "Overrides",
    "RouteNode",
    "ServiceSettings",
    "SettingsTree",
    "TeamNode",
    "check_tree",
    "explain",
    "parse_tree",
    "resolve_settings",
]

MAX_CACHED_SETTINGS = 1024
WILDCARD = "*"
ROOT = "root"

Seconds = Annotated[float, Meta(gt=0, le=3600)]
Count = Annotated[int, Meta(ge=1, le=10_000_000)]
Share = Annotated[float, Meta(ge=0, le=1)]
NonSuccessStatus = Annotated[int, Meta(ge=300, le=599)]


class Favour(enum.Enum):
    """Whether a service favours short response times or few messages."""

    RESPONSE = "response"
    MESSAGES = "messages"


class ServiceSettings(msgspec.Struct, frozen=True):
    """Effective settings at one node of the tree.

    Attributes:
        deadline_s: Deadline of a job if the caller sets none, in seconds
            after it is submitted.
        max_deadline_s: Longest deadline that a caller may set, in seconds.
        max_task_s: Longest run time of one task at an upstream, in seconds;
            also bounds what the task can cost.
        max_tasks: Maximum number of tasks in one job.
        max_queued_tasks: Maximum number of tasks waiting at one entry.
        max_queued_bytes: Maximum total payload of the tasks waiting at one
            entry, in bytes.
        favour: Whether to favour short response times or few messages.
        policy: Policy that chooses the upstream for a task.
        order: Order in which waiting jobs get slots.
        wait_margin: Wait for a slot at a faster upstream if the task is then
            expected to finish within this fraction of its run time at the
            best free upstream; 0 never waits.
        tail_aware: Choose upstreams by the run-time-weighted mean of run
            times instead of the plain mean, so that slow upstreams are
            avoided if a few tasks run much longer than most.
        read_ahead: Credits granted beyond an upstream's slots.
        retry_ratio: Retries after NOT_RUN allowed per first attempt.
        not_run_statuses: HTTP statuses by which an upstream reports that it
            did not start the task.
        max_outage_share: Maximum share of a service's upstreams that may be
            taken out for failing at the same time.
        price_per_slot_hour: Price of one slot for an hour, in minor currency
            units.
        objective_share: Share of jobs that must meet the response time
            objective.
        objective_s: Response time objective, in seconds; 0 together with an
            `objective_stretch` of 0 accepts any time within the job's
            deadline.
        max_attempts: Failed runs after which a task counts as failed; with 1,
            a task that has started is never started again, unless
            `repeat_interrupted` is set.
        repeat_interrupted: Whether a run that was interrupted, for example by
            a crash, is repeated with a `max_attempts` of 1; with more it is
            in any case. It is not for unrepeatable jobs.
        max_crashes: Crashes of upstreams that a task may have caused before
            its job fails; one more is allowed in all, whatever the cause.
        priority: Priority of jobs when slots are scarce; 0 goes before 1. With
            the order `least_slack` it decides between entries, not inside one;
            with `urgent_first` it is the class of the jobs.
        useful_factor: An answer is useful until this many times its objective;
            with 0, until the deadline.
        objective_stretch: Adds this many times the expected run time of a
            task to `objective_s`.
        cold_share: Share of its capacity that an upstream gets when it is
            coldest, just after its start; it rises evenly until the upstream
            is warm.
        move_before_departure: Whether tasks that are not expected to end before
            their upstream leaves are stopped and started elsewhere, if their
            job may run again.
        shared_backlog: Whether admission with `urgent_first` counts the work
            that waits at all entries, and not only at the one that decides.
        shared_speeds: Whether the speed of an upstream is taken from what its
            sidecar has seen of the runs of all entries.
        remote_factor: Factor by which a task takes longer on other racks than
            the one that its job names; 1 ignores racks.
        idle_grant_delay_s: Time without demand at an upstream, in seconds,
            after which its free capacity is granted in advance to all entries.
            More than 0 saves recalls, at the cost of a round trip before a
            start.
    """

    deadline_s: float = 30.0
    max_deadline_s: float = 300.0
    max_task_s: float = 60.0
    max_tasks: int = 930
    max_queued_tasks: int = 50_000
    max_queued_bytes: int = 64 << 20
    favour: Favour = Favour.RESPONSE
    policy: PolicyName = PolicyName.LEAST_EXPECTED_FINISH
    order: OrderPolicy = OrderPolicy.SMALL_FIRST
    wait_margin: float = 0.8
    tail_aware: bool = True
    read_ahead: int = 0
    retry_ratio: float = 0.2
    not_run_statuses: list[int] = []
    max_outage_share: float = 0.34
    price_per_slot_hour: int = 0
    objective_share: float = 0.99
    objective_s: float = 0.0
    max_attempts: int = 1
    repeat_interrupted: bool = False
    max_crashes: int = 2
    priority: int = 0
    useful_factor: float = 0.0
    objective_stretch: float = 0.0
    cold_share: float = 1.0
    move_before_departure: bool = False
    shared_backlog: bool = False
    shared_speeds: bool = False
    remote_factor: float = 1.0
    idle_grant_delay_s: float = 0.0


class Overrides(msgspec.Struct, forbid_unknown_fields=True, omit_defaults=True):
    """Values that a node of the tree sets; fields as in `ServiceSettings`."""

    deadline_s: Seconds | UnsetType = UNSET
    max_deadline_s: Seconds | UnsetType = UNSET
    max_task_s: Seconds | UnsetType = UNSET
    max_tasks: Annotated[int, Meta(ge=1, le=930)] | UnsetType = UNSET
    max_queued_tasks: Count | UnsetType = UNSET
    max_queued_bytes: Annotated[int, Meta(ge=1024)] | UnsetType = UNSET
    favour: Favour | UnsetType = UNSET
    policy: PolicyName | UnsetType = UNSET
    order: OrderPolicy | UnsetType = UNSET
    wait_margin: Annotated[float, Meta(ge=0, le=4)] | UnsetType = UNSET
    tail_aware: bool | UnsetType = UNSET
    read_ahead: Annotated[int, Meta(ge=0, le=100_000)] | UnsetType = UNSET
    retry_ratio: Share | UnsetType = UNSET
    not_run_statuses: list[NonSuccessStatus] | UnsetType = UNSET
    max_outage_share: Share | UnsetType = UNSET
    price_per_slot_hour: Annotated[int, Meta(ge=0)] | UnsetType = UNSET
    objective_share: Annotated[float, Meta(ge=0, lt=1)] | UnsetType = UNSET
    objective_s: Annotated[float, Meta(ge=0, le=3600)] | UnsetType = UNSET
    max_attempts: Annotated[int, Meta(ge=1, le=100)] | UnsetType = UNSET
    repeat_interrupted: bool | UnsetType = UNSET
    max_crashes: Annotated[int, Meta(ge=1, le=100)] | UnsetType = UNSET
    priority: Annotated[int, Meta(ge=0, le=100)] | UnsetType = UNSET
    useful_factor: Annotated[float, Meta(ge=0, le=1000)] | UnsetType = UNSET
    objective_stretch: Annotated[float, Meta(ge=0, le=100)] | UnsetType = UNSET
    cold_share: Annotated[float, Meta(gt=0, le=1)] | UnsetType = UNSET
    move_before_departure: bool | UnsetType = UNSET
    shared_backlog: bool | UnsetType = UNSET
    shared_speeds: bool | UnsetType = UNSET
    remote_factor: Annotated[float, Meta(ge=1, le=100)] | UnsetType = UNSET
    idle_grant_delay_s: Annotated[float, Meta(ge=0, le=60)] | UnsetType = UNSET


class KindNode(msgspec.Struct, forbid_unknown_fields=True):
    """Overrides for one kind of job."""

    set: Overrides = msgspec.field(default_factory=Overrides)


class ZoneNode(msgspec.Struct, forbid_unknown_fields=True):
    """Overrides for one availability zone and its kinds of job."""

    set: Overrides = msgspec.field(default_factory=Overrides)
    kinds: dict[str, KindNode] = msgspec.field(default_factory=dict)


class ServiceNode(msgspec.Struct, forbid_unknown_fields=True):
    """Overrides for one service and its availability zones."""

    set: Overrides = msgspec.field(default_factory=Overrides)
    zones: dict[str, ZoneNode] = msgspec.field(default_factory=dict)


class ExpectedUse(msgspec.Struct, forbid_unknown_fields=True):
    """Expected use of one service by a team.

    Attributes:
        tasks_per_day: Tasks per day.
        task_s: Run time of one task, in seconds.
    """

    tasks_per_day: Annotated[float, Meta(ge=0)]
    task_s: Annotated[float, Meta(gt=0, le=3600)]


class TeamNode(msgspec.Struct, forbid_unknown_fields=True):
    """Limits of one team.

    Attributes:
        tasks_per_s: Maximum rate of submitted tasks per second, over all
            entries.
        monthly_budget: Spending limit per month, in minor currency units.
        expected: Expected use by service; only read by forecasts.
    """

    tasks_per_s: Annotated[float, Meta(gt=0, le=1e6)] | None = None
    monthly_budget: Annotated[int, Meta(ge=0)] | None = None
    expected: dict[str, ExpectedUse] = msgspec.field(default_factory=dict)


class RouteNode(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Maps requests by host and path prefix to a service and kind of job.

    Attributes:
        host: Host of the request.
        prefix: Path prefix; the longest matching prefix wins.
        service: Service that runs the jobs.
        kind: Kind of the jobs.
    """

    host: str
    prefix: str
    service: str
    kind: str


class SettingsTree(msgspec.Struct, forbid_unknown_fields=True):
    """Root of the settings tree.

    Attributes:
        set: Overrides of the root.
        services: Services by name; a job for any other service is refused.
        teams: Teams with limits, by name.
        routes: Routes by name.
    """

    set: Overrides = msgspec.field(default_factory=Overrides)
    services: dict[str, ServiceNode] = msgspec.field(default_factory=dict)
    teams: dict[str, TeamNode] = msgspec.field(default_factory=dict)
    routes: dict[str, RouteNode] = msgspec.field(default_factory=dict)


class Explanation(msgspec.Struct, frozen=True):
    """An effective value and the node that sets it.

    Attributes:
        name: Name of the setting.
        value: Effective value.
        source: Path of the node that sets the value, or `default`.
    """

    name: str
    value: Any
    source: str


def parse_tree(
    text: str, file: str = "<tree>"
) -> Result[SettingsTree, SettingsError]:
    """Parses and validates a settings tree in YAML.

    Args:
        text: The YAML text.
        file: File name for error messages.

    Returns:
        The tree, or the error with its position.

    Examples:
        >>> tree = parse_tree("services: {quotes: {set: {deadline_s: 2}}}").ok
        >>> resolve_settings(tree, "quotes").deadline_s
        2.0
        >>> str(parse_tree("set: {deadline_s: -1}").error)
        '<tree>:1: Expected `float` > 0.0 at .set.deadline_s'
    """
    parsed = parse_yaml(text, SettingsTree, file)
    if parsed.is_error():
        return parsed
    return check_tree(parsed.ok, file)


def resolve_settings(
    tree: SettingsTree, service: str, zone: str = WILDCARD, kind: str = WILDCARD
) -> ServiceSettings:
    """Resolves the effective settings for a service, zone and kind of job.

    Args:
        tree: The settings tree.
        service: Name of the service.
        zone: Name of the availability zone.
        kind: Kind of job.

    Returns:
        The settings with all overrides applied.
    """
    values: dict[str, Any] = {}
    for _, overrides in _override_chain(tree, service, zone, kind):
        values.update(_explicit_values(overrides))
    return ServiceSettings(**values)


class SettingsCache:
    """Resolves settings, and keeps the results for the latest tree.

    Examples:
        >>> cache = SettingsCache()
        >>> tree = parse_tree("services: {quotes: {set: {deadline_s: 2}}}").ok
        >>> cache.resolve(tree, "quotes") is cache.resolve(tree, "quotes")
        True
    """

    def __init__(self) -> None:
        self.tree: SettingsTree | None = None
        self.resolved: dict[tuple[str, str, str], ServiceSettings] = {}

    def resolve(
        self,
        tree: SettingsTree,
        service: str,
        zone: str = WILDCARD,
        kind: str = WILDCARD,
    ) -> ServiceSettings:
        """Returns the effective settings; see `resolve_settings`."""
        if tree is not self.tree or len(self.resolved) > MAX_CACHED_SETTINGS:
            self.tree = tree
            self.resolved.clear()
        key = (service, zone, kind)
        settings = self.resolved.get(key)
        if settings is None:
            settings = resolve_settings(tree, service, zone, kind)
            self.resolved[key] = settings
        return settings


def explain(
    tree: SettingsTree, service: str, zone: str = WILDCARD, kind: str = WILDCARD
) -> list[Explanation]:
    """Returns each effective value with the node that sets it.

    Examples:
        >>> tree = parse_tree("set: {read_ahead: 1}").ok
        >>> [e.source for e in explain(tree, "q") if e.name == "read_ahead"]
        ['root']
    """
    sources: dict[str, str] = {}
    for path, overrides in _override_chain(tree, service, zone, kind):
        sources.update(dict.fromkeys(_explicit_values(overrides), path))
    settings = resolve_settings(tree, service, zone, kind)
    return [
        Explanation(name, getattr(settings, name), sources.get(name, "default"))
        for name in ServiceSettings.__struct_fields__
    ]


def check_tree(
    tree: SettingsTree, file: str = "<tree>"
) -> Result[SettingsTree, SettingsError]:
    """Validates constraints between values.

    Args:
        tree: A tree in which each single value is valid.
        file: File name for error messages.

    Returns:
        The tree, or the first violated constraint.
    """
    for service, node in tree.services.items():
        for zone in dict.fromkeys((WILDCARD, *node.zones)):
            settings = resolve_settings(tree, service, zone)
            if settings.deadline_s > settings.max_deadline_s:
                message = (
                    f"deadline_s must be <= max_deadline_s "
                    f"({settings.max_deadline_s} s), got "
                    f"{settings.deadline_s} s"
                )
                path = f".services.{service}"
                return Error(SettingsError(file, 1, path, message))
    return Ok(tree)


def _override_chain(
    tree: SettingsTree, service: str, zone: str, kind: str
) -> Iterator[tuple[str, Overrides]]:
    """Yields the path and overrides of each node, from the root down."""
    yield ROOT, tree.set
    service_node = tree.services.get(service)
    if service_node is None:
        return
    path = f"{ROOT}/{service}"
    yield path, service_node.set
    for zone_name in dict.fromkeys((WILDCARD, zone)):
        zone_node = service_node.zones.get(zone_name)
        if zone_node is None:
            continue
        yield f"{path}/{zone_name}", zone_node.set
        for kind_name in dict.fromkeys((WILDCARD, kind)):
            if kind_name in zone_node.kinds:
                node = zone_node.kinds[kind_name]
                yield f"{path}/{zone_name}/{kind_name}", node.set


def _explicit_values(overrides: Overrides) -> dict[str, Any]:
    """Returns the values that a node sets itself."""
    values = {n: getattr(overrides, n) for n in overrides.__struct_fields__}
    return {n: v for n, v in values.items() if v is not UNSET}
