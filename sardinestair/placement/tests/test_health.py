"""Failing upstreams are ejected; a failing kind of job ejects none."""

import pytest

from sardinestair.ids import Incarnation, JobId
from sardinestair.placement.health import (
    FIRST_EJECTION_S,
    MAX_UNPROVEN_OUTSTANDING,
    RESULTS,
    HealthRegistry,
    HealthState,
)

SIDECARS = [Incarnation(bytes([n]) * 16) for n in range(11)]


def job(number):
    return JobId(number.to_bytes(16, "big"))


@pytest.fixture
def registry():
    registry = HealthRegistry(max_ejected_share=0.34)
    for number, sidecar in enumerate(SIDECARS[1:]):
        registry.record_result(sidecar, job(number), "usual", True, 0.0)
    return registry


def test_upstream_that_fails_every_task_is_ejected_within_three_jobs(registry):
    lost, outstanding, bad = 0, 0, SIDECARS[0]
    for number in range(100, 200):
        while registry.allows_start(bad, outstanding, 1.0):
            outstanding += 1
        if not outstanding:
            break
        registry.record_result(bad, job(number), "usual", False, 1.0)
        outstanding -= 1
        lost += 1
    assert lost <= 3
    assert registry.upstreams_[bad].state_ is HealthState.EJECTED


def test_unproven_upstream_gets_few_tasks_at_a_time():
    registry = HealthRegistry(0.34)
    sidecar = SIDECARS[0]
    assert registry.allows_start(sidecar, MAX_UNPROVEN_OUTSTANDING - 1, 0.0)
    assert not registry.allows_start(sidecar, MAX_UNPROVEN_OUTSTANDING, 0.0)


def test_broken_kind_ejects_no_upstream(registry):
    for number in range(1000):
        sidecar = SIDECARS[1 + number % 10]
        assert not registry.record_result(
            sidecar, job(number), "broken", False, 1.0
        )
    assert registry.count_ejected() == 0
    assert registry.is_kind_broken("broken")


def test_success_clears_a_broken_kind(registry):
    for number in (1, 2):
        registry.record_result(SIDECARS[number], job(number), "odd", False, 1.0)
    assert registry.is_kind_broken("odd")
    registry.record_result(SIDECARS[3], job(3), "odd", True, 1.0)
    assert not registry.is_kind_broken("odd")


def test_ejected_share_is_capped():
    registry = HealthRegistry(0.34)
    for sidecar in SIDECARS:
        registry.allows_start(sidecar, 0, 0.0)
    for number in range(300):
        kind = f"kind{number}"  # no kind fails twice
        sidecar = SIDECARS[number % len(SIDECARS)]
        registry.record_result(sidecar, job(number), kind, False, 0.0)
    assert 0 < registry.count_ejected() <= 0.34 * len(SIDECARS)


def test_ejection_ends_in_a_trial_of_one_task_and_doubles_on_failure(registry):
    bad = SIDECARS[0]
    for number in (1, 2):
        registry.record_result(bad, job(number), "usual", False, 0.0)
    assert not registry.allows_start(bad, 0, FIRST_EJECTION_S - 0.1)
    trial_s = FIRST_EJECTION_S + 0.1
    assert registry.allows_start(bad, 0, trial_s)
    assert not registry.allows_start(bad, 1, trial_s)
    registry.record_result(bad, job(3), "usual", False, trial_s)
    assert not registry.allows_start(
        bad, 0, trial_s + 2 * FIRST_EJECTION_S - 0.1
    )
    trial_s += 2 * FIRST_EJECTION_S + 0.1
    assert registry.allows_start(bad, 0, trial_s)
    registry.record_result(bad, job(4), "usual", True, trial_s)
    assert registry.allows_start(bad, 7, trial_s)


def test_upstream_that_fails_every_other_task_is_ejected(registry):
    bad = SIDECARS[0]
    for number in range(100, 100 + RESULTS):
        succeeded = number % 2 == 0
        if registry.record_result(bad, job(number), "usual", succeeded, 1.0):
            break
        for sidecar in SIDECARS[1:]:
            registry.record_result(sidecar, job(number), "usual", True, 1.0)
    assert registry.upstreams_[bad].state_ is HealthState.EJECTED


def test_failures_that_all_upstreams_share_eject_none(registry):
    count = len(SIDECARS)
    for number in range(50 * count):
        turn, index = divmod(number, count)
        succeeded = (turn + index) % 2 == 0
        assert not registry.record_result(
            SIDECARS[index], job(number), "usual", succeeded, 1.0
        )


def test_repeated_failures_of_one_job_count_once(registry):
    for number in range(RESULTS):
        failed = job(5000)
        assert not registry.record_result(
            SIDECARS[0], failed, "usual", False, 1.0
        )
        registry.record_result(SIDECARS[0], job(number), "usual", True, 1.0)
