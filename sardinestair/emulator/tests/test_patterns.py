"""The load patterns of the users' heavy days, without a network.

The bounds are their targets: a worth of 0.85 on days with trouble and 0.75 on
days of high load, and no span of two seconds under a half.
"""

import pytest

from sardinestair.emulator.experiment import play
from sardinestair.emulator.report import Fate

TROUBLE_WORTH = 0.85
HIGH_LOAD_WORTH = 0.75
WORST_WORTH = 0.5


@pytest.mark.parametrize(
    "pattern",
    [
        "a quarter slow",
        "tasks stand still",
        "errors come fast",
        "orders unanswered",
    ],
)
def test_trouble(pattern):
    report = play(pattern)
    assert report.worth >= TROUBLE_WORTH, report.line(pattern)
    assert report.worst() >= WORST_WORTH, report.line(pattern)


def test_upstreams_leave_under_high_load():
    report = play("upstreams leave")
    assert report.worth >= HIGH_LOAD_WORTH, report.line("upstreams leave")
    assert report.worst() >= WORST_WORTH, report.line("upstreams leave")


def test_burst_of_all():
    report = play("burst of all")
    assert report.worth >= HIGH_LOAD_WORTH, report.line("burst of all")
    assert report.worst() >= WORST_WORTH, report.line("burst of all")


def test_no_kind_is_starved_in_a_burst():
    report = play("burst of all")
    for kind in report.kinds:
        assert report.worth_of(kind) >= WORST_WORTH, report.line(kind)


def test_nobody_is_refused_or_failed_at_the_load_of_the_sheet():
    report = play("sheet")
    assert report.fates[Fate.REFUSED] == report.fates[Fate.FAILED] == 0
    assert report.worth >= 0.95
