"""Cancelled jobs are remembered for a time, and reported for a shorter one."""

from sardinestair.ids import JobId
from sardinestair.jobs import withdrawn as withdrawn_module
from sardinestair.jobs.withdrawn import WithdrawnJobs


def job_id(number):
    return JobId(number.to_bytes(16, "big"))


def test_ids_are_kept_for_the_retention():
    withdrawn = WithdrawnJobs(retention_s=15.0)
    withdrawn.add([job_id(1)], now_s=0.0)
    withdrawn.add([job_id(2)], now_s=14.9)
    assert job_id(1) in withdrawn
    withdrawn.evict(now_s=15.0)
    assert job_id(1) not in withdrawn
    assert job_id(2) in withdrawn


def test_only_new_ids_are_returned():
    withdrawn = WithdrawnJobs(retention_s=15.0)
    assert withdrawn.add([job_id(1)], now_s=0.0) == [job_id(1)]
    assert withdrawn.add([job_id(1), job_id(2)], now_s=1.0) == [job_id(2)]


def test_only_own_ids_are_reported_and_only_for_a_time():
    withdrawn = WithdrawnJobs(retention_s=15.0)
    withdrawn.add([job_id(1)], now_s=0.0, is_own=True)
    withdrawn.add([job_id(2)], now_s=0.0)
    assert withdrawn.recent(now_s=2.0, within_s=2.0) == [job_id(1)]
    assert withdrawn.recent(now_s=2.1, within_s=2.0) == []


def test_job_cancelled_elsewhere_first_is_still_reported():
    withdrawn = WithdrawnJobs(retention_s=15.0)
    withdrawn.add([job_id(1)], now_s=0.0)
    withdrawn.add([job_id(1)], now_s=1.0, is_own=True)
    assert withdrawn.recent(now_s=1.0, within_s=2.0) == [job_id(1)]


def test_number_of_ids_is_bounded(monkeypatch):
    monkeypatch.setattr(withdrawn_module, "MAX_SHARED", 10)
    monkeypatch.setattr(withdrawn_module, "MAX_KEPT", 20)
    withdrawn = WithdrawnJobs(retention_s=15.0)
    for number in range(100):
        withdrawn.add([job_id(number)], now_s=0.0, is_own=True)
    assert len(withdrawn.added_s) == 20
    recent = withdrawn.recent(now_s=0.0, within_s=2.0)
    assert recent == [job_id(number) for number in range(90, 100)]
