"""Reports of the processor time by purpose and of the counters of links."""

import threading

from sardinestair.clock import ManualClock
from sardinestair.observability import LinkUsage, Metrics, UsageReporter
from sardinestair.observability.usage import (
    REPORT_INTERVAL_S,
    read_processor_times,
)


class FakeLog:
    def __init__(self):
        self.lines = []

    def info(self, event, **fields):
        self.lines.append((event, fields))


def test_report_has_the_differences_since_the_last_one():
    clock, log, links = ManualClock(), FakeLog(), LinkUsage()
    times = {"links": 0.0}
    reporter = UsageReporter(
        clock, Metrics(), log, links, lambda: dict(times), lambda: {"level": 7}
    )
    for _ in range(2):
        times["links"] += REPORT_INTERVAL_S * 0.02
        links.count_sent(has_messages=False)
        clock.advance(REPORT_INTERVAL_S)
        assert reporter.report_if_due()
        assert not reporter.report_if_due()
    assert len(log.lines) == 2
    for event, fields in log.lines:
        assert event == "usage"
        assert round(fields["links_ms_per_s"], 6) == 20
        assert fields["idle_frames_sent_per_s"] == 1 / REPORT_INTERVAL_S
        assert fields["level"] == 7


def test_totals_are_published_as_metrics():
    clock, metrics, links = ManualClock(), Metrics(), LinkUsage(wakeups=3)
    reporter = UsageReporter(
        clock, metrics, FakeLog(), links, lambda: {"links": 1.5}
    )
    clock.advance(REPORT_INTERVAL_S)
    reporter.report_if_due()
    text = metrics.render()[0].decode()
    assert 'sardinestair_processor_seconds{purpose="links"} 1.5' in text
    assert "sardinestair_link_wakeups 3" in text


def test_processor_time_is_attributed_to_the_name_of_the_thread():
    started, stop = threading.Event(), threading.Event()

    def work():
        sum(range(100_000))
        started.set()
        stop.wait()

    thread = threading.Thread(target=work, name="store/test")
    thread.start()
    started.wait()
    times = read_processor_times()
    stop.set()
    thread.join()
    assert times["store"] > 0


def test_time_of_the_loop_is_split_by_purpose():
    started, stop = threading.Event(), threading.Event()

    def work():
        sum(range(1_000_000))
        started.set()
        stop.wait()

    thread = threading.Thread(target=work, name="loop")
    thread.start()
    started.wait()
    whole = read_processor_times()
    split = read_processor_times({"links": 0.001})
    stop.set()
    thread.join()
    assert split["links"] == 0.001
    assert split["loop"] < whole["loop"]
