"""Each entry is sent the waiting work of all others."""

import pytest

from sardinestair.ids import Incarnation
from sardinestair.limits.load_view import ClassLoad
from sardinestair.links.session import SidecarSession
from sardinestair.sidecar.load_relay import LoadRelay

SIDECAR = Incarnation(b"s" * 16)
NOW_S = 100.0


@pytest.fixture
def sessions():
    """Sessions of three entries, with 1, 2 and 4 s of waiting work."""
    sessions = [
        SidecarSession(Incarnation(n * 16), SIDECAR) for n in (b"a", b"b", b"c")
    ]
    for session, work_s in zip(sessions, (1.0, 2.0, 4.0), strict=True):
        session.backlog = [ClassLoad(0, work_s)]
    return sessions


def test_report_leaves_out_the_work_of_its_entry(sessions):
    relay = LoadRelay(sessions)
    reports = [relay.report_to(session, NOW_S) for session in sessions]
    assert reports == [
        [ClassLoad(0, 6.0)],
        [ClassLoad(0, 5.0)],
        [ClassLoad(0, 3.0)],
    ]


def test_work_of_an_entry_without_a_connection_does_not_count(sessions):
    sessions[2].fence.is_epoch_invalid = True
    assert LoadRelay(sessions).report_to(sessions[0], NOW_S) == [
        ClassLoad(0, 2.0)
    ]


def test_report_that_is_not_due_is_left_out(sessions):
    LoadRelay(sessions).report_to(sessions[0], NOW_S)
    assert LoadRelay(sessions).report_to(sessions[0], NOW_S) is None
