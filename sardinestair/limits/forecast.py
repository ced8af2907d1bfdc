"""Forecasts of a month's spending, computed from the settings tree."""

import calendar
from collections.abc import Iterator

import msgspec

from sardinestair.limits.money import Micros, slot_cost, to_minor_units
from sardinestair.settings.tree import (
    WILDCARD,
    SettingsTree,
    TeamNode,
    resolve_settings,
)

__all__ = ["ForecastRow", "forecast", "highest_price", "zone_prices"]


class ForecastRow(msgspec.Struct, frozen=True):
    """Forecast for one team; amounts are in minor units of money.

    Attributes:
        team: Name of the team.
        lower: Cost of the expected use if all of it runs in the cheapest zone.
        expected: Cost of the expected use at the mean price of the zones.
        upper: Maximum spending: the monthly budget, or None if the team has
            none, in which case its spending is unbounded.
        unaffordable: True if the expected cost exceeds the budget, so that
            jobs will be refused.
    """

    team: str
    lower: int
    expected: int
    upper: int | None
    unaffordable: bool


def zone_prices(tree: SettingsTree, service: str) -> dict[str, int]:
    """Returns the price per slot-hour of a service by zone.

    The key `*` holds the price in zones without settings of their own.

    Examples:
        >>> zone_prices(SettingsTree(), "quotes")
        {'*': 0}
    """
    node = tree.services.get(service)
    zones = [WILDCARD, *(node.zones if node else {})]
    return {
        zone: resolve_settings(tree, service, zone).price_per_slot_hour
        for zone in dict.fromkeys(zones)
    }


def highest_price(tree: SettingsTree, service: str) -> int:
    """Returns the highest price per slot-hour of a service."""
    return max(zone_prices(tree, service).values())


def forecast(tree: SettingsTree, year: int, month: int) -> list[ForecastRow]:
    """Returns the forecast for a month.

    Lower and expected costs are capped at the budget, since jobs beyond it are
    refused.

    Args:
        tree: The settings tree.
        year: The year.
        month: The month, from 1 to 12.

    Returns:
        A row for each team in the tree, sorted by name.
    """
    days = calendar.monthrange(year, month)[1]
    return [
        _team_forecast(tree, t, tree.teams[t], days) for t in sorted(tree.teams)
    ]


def _team_forecast(
    tree: SettingsTree, team: str, node: TeamNode, days: int
) -> ForecastRow:
    lower = expected = 0
    for cheapest, mean in _expected_costs(tree, node, days):
        lower += cheapest
        expected += mean
    budget = node.monthly_budget
    is_over = budget is not None and expected > budget
    if budget is not None:
        lower, expected = min(lower, budget), min(expected, budget)
    return ForecastRow(team, lower, expected, budget, is_over)


def _expected_costs(
    tree: SettingsTree, node: TeamNode, days: int
) -> Iterator[tuple[int, int]]:
    """Yields the cost of each expected use at the lowest and mean price."""
    for service, use in node.expected.items():
        seconds = use.tasks_per_day * use.task_s * days
        prices = zone_prices(tree, service)
        by_zone = {z: p for z, p in prices.items() if z != WILDCARD} or prices
        costs = [slot_cost(seconds, price) for price in by_zone.values()]
        mean = Micros(sum(costs) // len(costs))
        yield to_minor_units(Micros(min(costs))), to_minor_units(mean)
