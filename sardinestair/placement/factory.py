"""Creates the policy that a service's settings name."""

from collections.abc import Callable

from sardinestair.placement.objective import MeetObjective
from sardinestair.placement.policies import (
    LeastExpectedFinish,
    LeastOutstanding,
    PlacementPolicy,
    PolicyName,
    PowerOfTwoChoices,
    RoundRobin,
)

__all__ = ["make_policy"]


def make_policy(
    name: PolicyName, wait_margin: float, zone: str = ""
) -> PlacementPolicy:
    """Creates a policy.

    Args:
        name: Value of the setting `policy`.
        wait_margin: Value of the setting `wait_margin`; only used by
            `LeastExpectedFinish` and `MeetObjective`.
        zone: The entry's availability zone; only used by `MeetObjective`.

    Examples:
        >>> type(make_policy(PolicyName.ROUND_ROBIN, 0.6)).__name__
        'RoundRobin'
    """
    factories: dict[PolicyName, Callable[[], PlacementPolicy]] = {
        PolicyName.LEAST_EXPECTED_FINISH: lambda: LeastExpectedFinish(
            wait_margin
        ),
        PolicyName.LEAST_OUTSTANDING: LeastOutstanding,
        PolicyName.MEET_OBJECTIVE: lambda: MeetObjective(wait_margin, zone),
        PolicyName.POWER_OF_TWO_CHOICES: PowerOfTwoChoices,
        PolicyName.ROUND_ROBIN: RoundRobin,
    }
    return factories[name]()
