"""Views of evacuated zones that arrive late, twice and in any order."""

from hypothesis import given
from hypothesis import strategies as st

from sardinestair.membership.evacuation import (
    EvacuationRegister,
    merge_views,
    read_view,
)
from sardinestair.messages import EvacuationView
from sardinestair.store.port import KeyValue, Snapshot

ZONES = ("leinster", "munster")
PREFIX = "evacuations/"
STARTED = EvacuationView(6, {"munster": 6})
ENDED = EvacuationView(9)

# One change of the store per revision: the zone that it toggles.
histories = st.lists(st.sampled_from(ZONES), min_size=1, max_size=12)


def state_at(history, revision):
    """Returns the evacuated zones after the first changes, with revisions."""
    zones = {}
    for number, zone in enumerate(history[:revision], 1):
        if zones.pop(zone, None) is None:
            zones[zone] = number
    return zones


@st.composite
def views_of_a_history(draw):
    """Draws a history, and what stale and other reads of it have shown."""
    history = draw(histories)
    views = []
    for revision in draw(st.lists(st.integers(0, len(history)), min_size=1)):
        is_stale = draw(st.booleans())
        zones = state_at(history, revision)
        views.append(EvacuationView(0 if is_stale else revision, zones))
    return history, views


def merged(views):
    register = EvacuationRegister()
    for view in views:
        register.observe(view)
    return register.view


@given(views_of_a_history(), st.randoms(use_true_random=False))
def test_order_and_repetition_of_views_do_not_matter(drawn, random):
    _, views = drawn
    shuffled = [*views, *views]
    random.shuffle(shuffled)
    assert merged(views) == merged(shuffled)


@given(views_of_a_history())
def test_latest_complete_view_decides(drawn):
    history, views = drawn
    revision = max(view.revision for view in views)
    register = EvacuationRegister()
    for view in views:
        register.observe(view)
    now_evacuated = state_at(history, revision)
    assert now_evacuated.keys() <= register.zones
    # Anything else was evacuated after that view was read.
    for zone in register.zones - now_evacuated.keys():
        assert register.view.zones[zone] > revision


def test_older_view_does_not_replace_a_newer_one():
    register = EvacuationRegister()
    register.observe(STARTED)
    assert not register.observe(EvacuationView(5))
    assert register.zones == {"munster"}
    register.observe(ENDED)
    assert not register.observe(STARTED)
    assert register.zones == frozenset()


def test_evacuation_and_return_within_one_read_stay_unnoticed():
    register = EvacuationRegister()
    register.observe(EvacuationView(5))
    assert not register.observe(ENDED)
    assert not register.observe(STARTED)


def test_zone_that_is_evacuated_again_is_evacuated():
    register = EvacuationRegister()
    register.observe(ENDED)
    assert register.observe(EvacuationView(0, {"munster": 11}))
    assert not register.observe(EvacuationView(10))
    assert register.zones == {"munster"}


def test_overlapping_evacuations_end_one_by_one():
    register = EvacuationRegister()
    register.observe(EvacuationView(7, {"munster": 6, "leinster": 7}))
    register.observe(EvacuationView(8, {"leinster": 7}))
    assert register.zones == {"leinster"}


def test_stale_read_can_not_end_an_evacuation():
    snapshot = Snapshot(50, [])
    register = EvacuationRegister()
    register.observe(STARTED)
    stale = read_view(snapshot, PREFIX, may_be_stale=True)
    assert not register.observe(stale)
    assert register.is_outdated_by(stale)
    assert register.observe(read_view(snapshot, PREFIX))
    assert register.zones == frozenset()


def test_other_keys_and_values_are_ignored():
    items = [
        KeyValue("evacuations/munster", b"\xff", 4),
        KeyValue("other/leinster", b"{}", 5),
    ]
    view = read_view(Snapshot(9, items), PREFIX)
    assert view == EvacuationView(9, {"munster": 4})


def test_zone_in_both_views_keeps_its_latest_request():
    view = merge_views(
        EvacuationView(3, {"munster": 8}), EvacuationView(5, {"munster": 4})
    )
    assert view == EvacuationView(5, {"munster": 8})
