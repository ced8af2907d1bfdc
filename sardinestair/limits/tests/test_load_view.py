"""The shared view of load: whose work counts, its age, its size.

The load: a burst at some entries, while another one with an empty queue has to
decide whether a job can be in time.
"""

import msgspec
import pytest

from sardinestair.limits.credit_priority import demand_class
from sardinestair.limits.load_view import (
    MAX_AGE_S,
    MAX_CLASSES,
    REFRESH_INTERVAL_S,
    ClassLoad,
    LinkLoad,
    LoadSum,
    LoadView,
    WaitingByClass,
    has_changed,
)

ENTRIES = 80
# A report must fit a frame of a heartbeat.
MAX_REPORT_BYTES = 128


class FakeLink:
    def __init__(self, rate=10.0):
        self.rate = rate
        self.load = LinkLoad()


def make_backlog(work_s):
    backlog = WaitingByClass()
    for priority, seconds in work_s.items():
        backlog.add(priority, 1, seconds)
    return backlog


def share_load(backlogs, links_of):
    """Returns a view of each entry after all reports have been passed on.

    Args:
        backlogs: The entries' waiting work.
        links_of: Indices of the sidecars that each entry is linked to.
    """
    reports = {
        (entry, sidecar): backlog.per_link(len(links_of[entry]))
        for entry, backlog in enumerate(backlogs)
        for sidecar in links_of[entry]
    }
    views = []
    for entry, backlog in enumerate(backlogs):
        links = []
        for sidecar in links_of[entry]:
            total = LoadSum(
                report for (_, at), report in reports.items() if at == sidecar
            )
            link = FakeLink()
            own = reports[entry, sidecar]
            link.load.observe(total.without(own), now_s=0.0)
            links.append(link)
        views.append(LoadView(backlog, lambda links=links: links))
    return views


def test_entry_with_an_empty_queue_sees_the_work_of_all_others():
    backlogs = [make_backlog({0: 30.0}), make_backlog({0: 10.0, 2: 40.0})]
    backlogs.append(WaitingByClass())
    everywhere = [range(4)] * 3
    view = share_load(backlogs, everywhere)[2]
    assert view.backlog_s(0, now_s=0.0) == pytest.approx(1.0)
    assert view.backlog_s(2, now_s=0.0) == pytest.approx(2.0)


def test_all_entries_with_the_same_links_agree():
    backlogs = [make_backlog({0: 8.0 * n}) for n in range(3)]
    views = share_load(backlogs, [range(6)] * 3)
    seen = [view.backlog_s(0, now_s=0.0) for view in views]
    assert seen == pytest.approx([24.0 / 60.0] * 3)


def test_only_work_for_the_same_upstreams_counts():
    """Of three entries one shares half of its links, one none."""
    backlogs = [
        WaitingByClass(),
        make_backlog({0: 40.0}),
        make_backlog({0: 9.0}),
    ]
    views = share_load(backlogs, [range(4), range(2, 6), range(6, 10)])
    assert views[0].backlog_s(0, now_s=0.0) == pytest.approx(20.0 / 40.0)


def test_late_jobs_are_not_ahead_of_jobs_in_time():
    late = demand_class(0, is_late=True)
    [view] = share_load([make_backlog({0: 10.0, late: 50.0})], [range(1)])
    assert view.backlog_s(2, now_s=0.0) == pytest.approx(1.0)


def test_load_is_unknown_without_reports():
    view = LoadView(WaitingByClass(), lambda: [FakeLink()])
    assert view.backlog_s(0, now_s=0.0) is None


def test_load_is_unknown_after_a_partition():
    [view] = share_load([make_backlog({0: 1.0})], [range(2)])
    assert view.backlog_s(0, now_s=MAX_AGE_S - 0.01) is not None
    assert view.backlog_s(0, now_s=MAX_AGE_S) is None


def test_load_is_unknown_after_most_links_were_opened_anew():
    views = share_load([WaitingByClass()] * 2, [range(4)] * 2)
    links = views[0].links()
    for link in links[:2]:
        link.load.reset()
    assert views[0].backlog_s(0, now_s=0.0) is not None
    links[2].load.reset()
    assert views[0].backlog_s(0, now_s=REFRESH_INTERVAL_S) is None


def test_sidecars_without_a_report_are_taken_to_be_loaded_like_others():
    views = share_load(
        [WaitingByClass(), make_backlog({0: 40.0})], [range(4)] * 2
    )
    views[0].links()[0].load.reset()
    assert views[0].backlog_s(0, now_s=0.0) == pytest.approx(1.0)


def test_frame_without_a_report_confirms_the_last_one():
    load = LinkLoad()
    load.observe([ClassLoad(0, 1.0)], now_s=0.0)
    load.observe(None, now_s=MAX_AGE_S)
    assert load.is_known(MAX_AGE_S + 0.1)
    assert load.classes == [ClassLoad(0, 1.0)]


def test_report_of_many_entries_and_classes_is_bounded():
    reports = [
        [ClassLoad(n % 100, 1.0), ClassLoad((n + 7) % 100, 1.0)]
        for n in range(ENTRIES)
    ]
    report = LoadSum(reports).without(reports[0])
    assert len(report) == MAX_CLASSES
    assert sum(load.work_s for load in report) == 2 * ENTRIES - 2
    assert len(msgspec.msgpack.encode(report)) <= MAX_REPORT_BYTES


def test_small_changes_are_not_reported():
    sent = [ClassLoad(0, 2.0)]
    assert has_changed(None, [])
    assert not has_changed([], [ClassLoad(0, 0.04)])
    assert not has_changed(sent, [ClassLoad(0, 2.1)])
    assert has_changed(sent, [ClassLoad(0, 2.3)])
    assert has_changed(sent, [])


def test_backlog_is_empty_again_after_all_tasks_have_started():
    backlog = WaitingByClass()
    backlog.add(0, 3, 0.3)
    for _ in range(3):
        backlog.add(0, -1, -0.1)
    assert backlog.per_link(1) == []
