"""Money amounts as integers.

Budgets and bills are in minor units such as cents. A task costs far less than
one minor unit, so costs are computed in millionths of it (`Micros`).
"""

import datetime
from typing import NewType

__all__ = [
    "MICROS_PER_MINOR",
    "Micros",
    "month_name",
    "next_month",
    "slot_cost",
    "to_minor_units",
]

Micros = NewType("Micros", int)
"""An amount in millionths of a minor unit."""

MICROS_PER_MINOR = 1_000_000
MS_PER_HOUR = 3_600_000


def slot_cost(seconds: float, price_per_slot_hour: int) -> Micros:
    """Returns the cost of using one slot, rounded up.

    Args:
        seconds: Duration of the use; rounded up to whole milliseconds.
        price_per_slot_hour: Price in minor units.

    Examples:
        >>> slot_cost(3600.0, 120) == 120 * MICROS_PER_MINOR
        True
    """
    milliseconds = -int(-seconds * 1000 // 1)
    micros = milliseconds * price_per_slot_hour * MICROS_PER_MINOR
    return Micros(-(-micros // MS_PER_HOUR))


def to_minor_units(amount: Micros) -> int:
    """Converts an amount to minor units, rounded up.

    Examples:
        >>> to_minor_units(Micros(1))
        1
    """
    return -(-amount // MICROS_PER_MINOR)


def month_name(now: datetime.datetime) -> str:
    """Returns the month of a UTC time in the form `2026-12`."""
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
