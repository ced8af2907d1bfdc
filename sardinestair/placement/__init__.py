"""Placement: the order of waiting jobs and the choice of an upstream."""

from sardinestair.placement.candidate import Candidate
from sardinestair.placement.estimators import (
    RunTimeEstimator,
    SlowdownEstimator,
)
from sardinestair.placement.factory import make_policy
from sardinestair.placement.health import HealthRegistry, HealthState
from sardinestair.placement.objective import MeetObjective
from sardinestair.placement.policies import (
    LeastExpectedFinish,
    PlacementPolicy,
    PolicyName,
    WaitingTask,
)
from sardinestair.placement.queue import OrderPolicy, ReadyQueue

__all__ = [
    "Candidate",
    "HealthRegistry",
    "HealthState",
    "LeastExpectedFinish",
    "MeetObjective",
    "OrderPolicy",
    "PlacementPolicy",
    "PolicyName",
    "ReadyQueue",
    "RunTimeEstimator",
    "SlowdownEstimator",
    "WaitingTask",
    "make_policy",
]
