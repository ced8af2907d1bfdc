"""The operators' settings tree: root, service, availability zone, job kind.

Each node states only what it overrides; the rest it inherits from its
parent. A zone or kind named `*` stands for all of them and comes before the
one named exactly.
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
    "effective",
    "explain",
    "parse_tree",
]

ANY = "*"
ROOT = "root"

Seconds = Annotated[float, Meta(gt=0, le=3600)]
Count = Annotated[int, Meta(ge=1, le=10_000_000)]
Share = Annotated[float, Meta(ge=0, le=1)]
Status = Annotated[int, Meta(ge=300, le=599)]


class Favour(enum.Enum):
    """Which of the two measures weighs more for a service."""

    RESPONSE = "response"
    MESSAGES = "messages"


class ServiceSettings(msgspec.Struct, frozen=True):
    """Effective settings at one node of the tree.

    Attributes:
        deadline_s: When an answer is due if the caller names no deadline.
        max_deadline_s: Longest deadline that a caller may name.
        max_task_s: Longest time that one task may take at an upstream; the
            most that it can cost follows from it.
        max_tasks: Tasks of one job at most.
        max_queued_tasks: Tasks that may wait at one entry.
        max_queued_bytes: Their payloads in bytes.
        favour: Which of the two measures weighs more.
        policy: How an upstream is chosen.
        order: How waiting jobs are ordered.
        wait_margin: Wait for a faster slot if that ends in less than this
            share of the time; 0 never waits.
        tail_aware: Weigh run times by themselves, so that slow upstreams are
            avoided where a few tasks take much longer than most.
        read_ahead: Credits beyond an upstream's slots.
        retry_ratio: Repeats after NOT_RUN, per first attempt.
        not_run_statuses: HTTP statuses that say that a task did not begin.
        max_outage_share: Share of a service's upstreams that may be out for
            failing.
        price_per_slot_hour: Price in minor units of money.
        objective_share: Share of jobs that must be answered in time.
        objective_s: When an answer is in time, in seconds; 0 for any time
            within the job's deadline.
        max_attempts: Runs of a task that may fail before the task has failed;
            with 1, a task that has started is never started again.
        priority: Which jobs come first when slots are short; 0 before 1. With
            the order `least_slack` only the slack counts.
        useful_factor: An answer is of use until this many times its objective;
            0 for until the deadline.
        objective_stretch: An answer is in time up to this many times the
            expected run time of a task, plus `objective_s`.
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
    priority: int = 0
    useful_factor: float = 0.0
    objective_stretch: float = 0.0


class Overrides(msgspec.Struct, forbid_unknown_fields=True, omit_defaults=True):
    """What a node of the tree overrides; fields as in `ServiceSettings`."""

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
    not_run_statuses: list[Status] | UnsetType = UNSET
    max_outage_share: Share | UnsetType = UNSET
    price_per_slot_hour: Annotated[int, Meta(ge=0)] | UnsetType = UNSET
    objective_share: Annotated[float, Meta(ge=0, lt=1)] | UnsetType = UNSET
    objective_s: Annotated[float, Meta(ge=0, le=3600)] | UnsetType = UNSET
    max_attempts: Annotated[int, Meta(ge=1, le=100)] | UnsetType = UNSET
    priority: Annotated[int, Meta(ge=0, le=100)] | UnsetType = UNSET
    useful_factor: Annotated[float, Meta(ge=0, le=1000)] | UnsetType = UNSET
    objective_stretch: Annotated[float, Meta(ge=0, le=100)] | UnsetType = UNSET


class KindNode(msgspec.Struct, forbid_unknown_fields=True):
    """Settings of one kind of job."""

    set: Overrides = msgspec.field(default_factory=Overrides)


class ZoneNode(msgspec.Struct, forbid_unknown_fields=True):
    """Settings of one availability zone."""

    set: Overrides = msgspec.field(default_factory=Overrides)
    kinds: dict[str, KindNode] = msgspec.field(default_factory=dict)


class ServiceNode(msgspec.Struct, forbid_unknown_fields=True):
    """Settings of one service."""

    set: Overrides = msgspec.field(default_factory=Overrides)
    zones: dict[str, ZoneNode] = msgspec.field(default_factory=dict)


class ExpectedUse(msgspec.Struct, forbid_unknown_fields=True):
    """What a team is expected to use of one service.

    Attributes:
        tasks_per_day: Tasks in a day.
        task_s: Run time of a task, in seconds.
    """

    tasks_per_day: Annotated[float, Meta(ge=0)]
    task_s: Annotated[float, Meta(gt=0, le=3600)]


class TeamNode(msgspec.Struct, forbid_unknown_fields=True):
    """Limits of one team.

    Attributes:
        tasks_per_s: Tasks that it may submit per second, over all entries.
        monthly_budget: What it may spend in a month, in minor units of money.
        expected: What it is expected to use of each service; for forecasts
            only.
    """

    tasks_per_s: Annotated[float, Meta(gt=0, le=1e6)] | None = None
    monthly_budget: Annotated[int, Meta(ge=0)] | None = None
    expected: dict[str, ExpectedUse] = msgspec.field(default_factory=dict)


class RouteNode(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Where callers hand jobs in by host and path.

    Attributes:
        host: Host that requests name.
        prefix: Path that theirs begins with; the longest that fits counts.
        service: The service that answers the jobs.
        kind: Their kind.
    """

    host: str
    prefix: str
    service: str
    kind: str


class SettingsTree(msgspec.Struct, forbid_unknown_fields=True):
    """The whole tree.

    Attributes:
        set: What the root overrides.
        services: The services by name; a job for another is refused.
        teams: The teams that have limits, by name.
        routes: The routes by name.
    """

    set: Overrides = msgspec.field(default_factory=Overrides)
    services: dict[str, ServiceNode] = msgspec.field(default_factory=dict)
    teams: dict[str, TeamNode] = msgspec.field(default_factory=dict)
    routes: dict[str, RouteNode] = msgspec.field(default_factory=dict)


class Explanation(msgspec.Struct, frozen=True):
    """Where an effective value comes from.

    Attributes:
        name: Name of the setting.
        value: Its value.
        source: Path of the node that states it, or `default`.
    """

    name: str
    value: Any
    source: str


def parse_tree(
    text: str, file: str = "<tree>"
) -> Result[SettingsTree, SettingsError]:
    """Reads and checks a tree in YAML.

    Args:
        text: The YAML text.
        file: Name for error messages.

    Returns:
        The tree, or where and why it can't be used.

    Examples:
        >>> tree = parse_tree("services: {quotes: {set: {deadline_s: 2}}}").ok
        >>> effective(tree, "quotes").deadline_s
        2.0
        >>> str(parse_tree("set: {deadline_s: -1}").error)
        '<tree>:1: Expected `float` > 0.0 at .set.deadline_s'
    """
    parsed = parse_yaml(text, SettingsTree, file)
    if parsed.is_error():
        return parsed
    return check_tree(parsed.ok, file)


def effective(
    tree: SettingsTree, service: str, zone: str = ANY, kind: str = ANY
) -> ServiceSettings:
    """Returns the settings that apply at a place.

    Args:
        tree: The tree.
        service: Name of the service.
        zone: The availability zone.
        kind: The kind of job.

    Returns:
        The inherited and overridden values.
    """
    values: dict[str, Any] = {}
    for _, overrides in _chain(tree, service, zone, kind):
        values.update(_stated(overrides))
    return ServiceSettings(**values)


def explain(
    tree: SettingsTree, service: str, zone: str = ANY, kind: str = ANY
) -> list[Explanation]:
    """Returns each effective value with the node that states it.

    Examples:
        >>> tree = parse_tree("set: {read_ahead: 1}").ok
        >>> [e.source for e in explain(tree, "q") if e.name == "read_ahead"]
        ['root']
    """
    sources: dict[str, str] = {}
    for path, overrides in _chain(tree, service, zone, kind):
        sources.update(dict.fromkeys(_stated(overrides), path))
    settings = effective(tree, service, zone, kind)
    return [
        Explanation(name, getattr(settings, name), sources.get(name, "default"))
        for name in ServiceSettings.__struct_fields__
    ]


def check_tree(
    tree: SettingsTree, file: str = "<tree>"
) -> Result[SettingsTree, SettingsError]:
    """Checks the rules that concern more than one value.

    Args:
        tree: A tree whose values are each in their range.
        file: Name for error messages.

    Returns:
        The tree, or the rule that it breaks.
    """
    for service, node in tree.services.items():
        for zone in dict.fromkeys((ANY, *node.zones)):
            settings = effective(tree, service, zone)
            if settings.deadline_s > settings.max_deadline_s:
                rule = (
                    f"deadline_s must be <= max_deadline_s "
                    f"({settings.max_deadline_s} s), got "
                    f"{settings.deadline_s} s"
                )
                path = f".services.{service}"
                return Error(SettingsError(file, 1, path, rule))
    return Ok(tree)


def _chain(
    tree: SettingsTree, service: str, zone: str, kind: str
) -> Iterator[tuple[str, Overrides]]:
    yield ROOT, tree.set
    service_node = tree.services.get(service)
    if service_node is None:
        return
    path = f"{ROOT}/{service}"
    yield path, service_node.set
    for zone_name in dict.fromkeys((ANY, zone)):
        zone_node = service_node.zones.get(zone_name)
        if zone_node is None:
            continue
        yield f"{path}/{zone_name}", zone_node.set
        for kind_name in dict.fromkeys((ANY, kind)):
            if kind_name in zone_node.kinds:
                node = zone_node.kinds[kind_name]
                yield f"{path}/{zone_name}/{kind_name}", node.set


def _stated(overrides: Overrides) -> dict[str, Any]:
    values = {n: getattr(overrides, n) for n in overrides.__struct_fields__}
    return {n: v for n, v in values.items() if v is not UNSET}
