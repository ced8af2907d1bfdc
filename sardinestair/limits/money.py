"""Money, as integers.

Budgets and bills are in minor units (cents). A task costs far less than one,
so accounts are kept in millionths of a minor unit.
"""

import datetime
from typing import NewType

__all__ = [
    "MICROS_PER_MINOR",
    "Micros",
    "month_name",
    "next_month",
    "slot_cost",
    "to_minor",
]

Micros = NewType("Micros", int)
"""Millionths of a minor unit of money."""

MICROS_PER_MINOR = 1_000_000
MS_PER_HOUR = 3_600_000


def slot_cost(seconds: float, price_per_slot_hour: int) -> Micros:
    """Returns the price of a slot for a time, rounded up.

    Args:
        seconds: The time; counted in whole milliseconds, rounded up.
        price_per_slot_hour: Price in minor units.

    Examples:
        >>> slot_cost(3600.0, 120) == 120 * MICROS_PER_MINOR
        True
    """
    milliseconds = -int(-seconds * 1000 // 1)
    micros = milliseconds * price_per_slot_hour * MICROS_PER_MINOR
    return Micros(-(-micros // MS_PER_HOUR))


def to_minor(amount: Micros) -> int:
    """Returns minor units, rounded up.

    Examples:
        >>> to_minor(Micros(1))
        1
    """
    return -(-amount // MICROS_PER_MINOR)


def month_name(now: datetime.datetime) -> str:
    """Returns the month of a time in UTC, such as `2026-12`."""
    return now.strftime("%Y-%m")


def next_month(now: datetime.datetime) -> datetime.datetime:
    """Returns the start of the next month in UTC.

    Examples:
        >>> next_month(datetime.datetime(2026, 12, 4)).isoformat()
        '2027-01-01T00:00:00+00:00'
    """
    year = now.year + now.month // 12
    month = now.month % 12 + 1
    return datetime.datetime(year, month, 1, tzinfo=datetime.UTC)
