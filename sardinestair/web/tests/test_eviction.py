"""Decisions on which connections are evicted, each for a pattern of load."""

import pytest

from sardinestair.web.eviction import (
    LEAST_RATE_BYTES_PER_S,
    STALL_S,
    Activity,
    Holding,
    is_behind,
    is_too_slow,
    select_for_connections,
    select_for_memory,
)

NOW_S = 100.0
KB = 1 << 10


def holding(name, activity=Activity.READING, **changes):
    """A connection that has just progressed."""
    fields = {
        "released_bytes": 10 * KB,
        "received_bytes": 1 << 20,
        "since_s": NOW_S - 0.1,
        "progressed_s": NOW_S,
        "address": "10.0.0.1",
    }
    return Holding(name, activity, **{**fields, **changes})


def stopped(name, **changes):
    """A connection whose peer has stopped in the middle of a request."""
    times = {"since_s": NOW_S - 5, "progressed_s": NOW_S - STALL_S - 0.1}
    return holding(name, **{**times, **changes})


def test_bodies_short_of_their_end_evict_before_one_that_arrives():
    crowd = [stopped(n, released_bytes=256 * KB) for n in range(20)]
    arriving = holding("arriving", released_bytes=512 * KB)
    selected = select_for_memory([arriving, *crowd], 20 * 256 * KB, NOW_S)
    assert sorted(selected) == list(range(20))


def test_crowd_that_sends_slowly_gives_way_although_it_sends():
    lasted_s = 4.0
    slow = holding(
        "slow",
        since_s=NOW_S - lasted_s,
        received_bytes=int(0.5 * lasted_s * LEAST_RATE_BYTES_PER_S),
    )
    honest = holding(
        "honest",
        since_s=NOW_S - lasted_s,
        received_bytes=int(2 * lasted_s * LEAST_RATE_BYTES_PER_S),
        released_bytes=slow.released_bytes * 10,
    )
    assert select_for_memory([honest, slow], 1, NOW_S) == ["slow"]


def test_largest_of_those_that_have_stopped_gives_way_first():
    crowd = [stopped(size, released_bytes=size * KB) for size in (5, 90, 20)]
    assert select_for_memory(crowd, 1, NOW_S) == [90]
    assert select_for_memory(crowd, 91 * KB, NOW_S) == [90, 20]


def test_flood_of_new_requests_lets_the_earlier_ones_complete():
    crowd = [
        holding(n, since_s=NOW_S - 0.4 + n / 1000, released_bytes=256 * KB)
        for n in range(100)
    ]
    selected = select_for_memory(crowd, 10 * 256 * KB, NOW_S)
    assert selected == list(range(99, 89, -1))


def test_address_that_holds_most_gives_way_before_others():
    crowd = [holding(n, address="10.6.6.6") for n in range(30)]
    other = holding("other", since_s=NOW_S, address="10.0.0.2")
    assert "other" not in select_for_memory(
        [other, *crowd], 30 * 10 * KB, NOW_S
    )


def test_small_requests_are_kept_beside_large_ones():
    crowd = [holding(n, released_bytes=256 * KB) for n in range(10)]
    small = holding("small", released_bytes=2 * KB, since_s=NOW_S)
    assert "small" not in select_for_memory(
        [small, *crowd], 9 * 256 * KB, NOW_S
    )


def test_requests_that_are_handled_do_not_evict():
    handled = [holding(n, Activity.RUNNING, released_bytes=0) for n in range(5)]
    assert select_for_memory(handled, 1 << 30, NOW_S) == []
    assert select_for_connections(handled, NOW_S) == []


def test_requests_sent_ahead_evict_although_one_is_handled():
    ahead = holding("ahead", Activity.RUNNING, released_bytes=64 * KB)
    small = holding("small", released_bytes=8 * KB)
    assert select_for_memory([small, ahead], 1, NOW_S) == ["ahead"]


def test_no_more_evict_than_needed():
    crowd = [stopped(n) for n in range(100)]
    assert len(select_for_memory(crowd, 95 * KB, NOW_S)) == 10


@pytest.mark.parametrize(
    ("crowd", "victim"),
    [
        ([holding("a", Activity.ENDING), stopped("b")], "a"),
        ([stopped("a"), holding("b", Activity.IDLE, since_s=1.0)], "a"),
        (
            [
                holding("a", Activity.IDLE, since_s=50.0),
                holding("b", Activity.IDLE, since_s=40.0),
                holding("c", since_s=99.0),
            ],
            "b",
        ),
        (
            [
                holding("a", Activity.IDLE, since_s=NOW_S),
                holding("b", since_s=NOW_S - 0.3),
            ],
            "b",
        ),
    ],
    ids=[
        "one that ends",
        "one that has stopped",
        "longest idle",
        "new one that has not sent yet is kept",
    ],
)
def test_crowd_of_connections_makes_room_for_a_new_one(crowd, victim):
    assert select_for_connections(crowd, NOW_S) == [victim]


def test_many_stopped_connections_end_at_once_but_one_idle_one():
    crowd = [stopped(n) for n in range(64)]
    assert len(select_for_connections(crowd, NOW_S)) == 2
    idle = [
        holding(n, Activity.IDLE, since_s=NOW_S - 60 + n / 10)
        for n in range(64)
    ]
    assert select_for_connections(idle, NOW_S) == [0]


def test_slow_reader_that_reads_is_not_behind():
    reading = holding(1, Activity.BLOCKED, since_s=0.0, received_bytes=0)
    assert not is_behind(reading, NOW_S)
    assert is_behind(reading._replace(progressed_s=NOW_S - 5), NOW_S)


@pytest.mark.parametrize("lasted_s", [1.0, 4.9, 5.1, 9.0, 9.9])
def test_body_at_an_even_rate_within_the_time_limit_is_not_too_slow(lasted_s):
    size = 256 * KB
    assert not is_too_slow(int(size * lasted_s / 10), size, lasted_s, 10.0)


def test_body_that_does_not_come_is_too_slow_before_the_time_limit():
    assert is_too_slow(100, 256 * KB, 6.0, 10.0)
    assert not is_too_slow(100, 0, 9.0, 10.0)
