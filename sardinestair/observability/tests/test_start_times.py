"""Times of the steps of a process's start."""

from sardinestair.clock import ManualClock
from sardinestair.observability import (
    EventLog,
    Metrics,
    StartStep,
    StartTimes,
)


def test_each_step_is_logged_and_published_once(caplog):
    caplog.set_level("INFO", logger="sardinestair")
    clock, metrics = ManualClock(), Metrics()
    times = StartTimes(
        clock.monotonic(), clock, metrics, EventLog("test", entry="e1")
    )
    clock.advance(0.5)
    assert times.reach(StartStep.LOADED)
    clock.advance(0.25)
    assert not times.reach(StartStep.LOADED)
    assert times.reach(StartStep.CREDITS)
    lines = [r for r in caplog.records if r.msg == "start_step"]
    assert [(line.step, line.after_s) for line in lines] == [
        ("loaded", 0.5),
        ("credits", 0.75),
    ]
    text = metrics.render()[0].decode()
    assert 'sardinestair_start_seconds{step="loaded"} 0.5' in text
    assert 'sardinestair_start_seconds{step="credits"} 0.75' in text
