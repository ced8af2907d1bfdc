"""Tests of the wait that an entry predicts for a service."""

import math

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from sardinestair.entry.service_state import DISCOVERY_GRACE_S, ServiceState
from sardinestair.ids import Incarnation, new_job_id
from sardinestair.jobs import Job
from sardinestair.jobs.work import JobRunTimeEstimator
from sardinestair.links.entry_link import LinkState
from sardinestair.placement import Candidate, OrderPolicy
from sardinestair.settings import ServiceSettings

CREATED_S = 100.0
WORK_S = 2.0


class FakeLink:
    """A link to an upstream with one slot."""

    state = LinkState.UP

    def __init__(self):
        self.candidate = Candidate(
            Incarnation(b"s" * 16), "quotes", "z", slots=1
        )
        self.outstanding = {}


def waiting_job(now_s):
    return Job(
        new_job_id(), "quotes", "team", "large", [b""] * 10,
        now_s, now_s + 60.0, JobRunTimeEstimator(WORK_S), b"digest",
    )  # fmt: skip


def busy_state():
    """Returns a new state with one upstream and 20 s of queued work."""
    state = ServiceState("quotes", ServiceSettings(), CREATED_S)
    state.links[Incarnation(b"s" * 16)] = FakeLink()
    state.queue.add(waiting_job(CREATED_S), CREATED_S, 1.0)
    return state


def expected_wait_s(state, now_s):
    return state.load("team", WORK_S, now_s).expected_response_s


def test_no_wait_is_predicted_before_upstreams_can_announce():
    state = busy_state()
    assert expected_wait_s(state, CREATED_S + DISCOVERY_GRACE_S / 2) == 0.0


def test_wait_is_predicted_from_throughput_after_grace_period():
    state = busy_state()
    assert expected_wait_s(state, CREATED_S + DISCOVERY_GRACE_S) > 10 * WORK_S


def late_jobs_state():
    """Returns a new state with a few late jobs ahead of each other."""
    settings = ServiceSettings(order=OrderPolicy.URGENT_FIRST)
    state = ServiceState("quotes", settings, CREATED_S)
    state.links[Incarnation(b"s" * 16)] = FakeLink()
    for _ in range(3):
        job = waiting_job(CREATED_S)
        job.is_late = True
        job.useful_until_s = CREATED_S + 8.0
        state.queue.add(job, CREATED_S, 1.0)
    return state


# Guards against shedding what waits after a restart, while most upstreams have
# not announced themselves yet.
def test_nothing_is_shed_by_prediction_before_upstreams_can_announce():
    state = late_jobs_state()
    assert state.useless_jobs(CREATED_S + DISCOVERY_GRACE_S / 2) == []
    assert state.useless_jobs(CREATED_S + DISCOVERY_GRACE_S) != []


def test_wait_is_infinite_without_upstreams_after_grace_period():
    state = ServiceState("quotes", ServiceSettings(), CREATED_S)
    assert expected_wait_s(state, CREATED_S + DISCOVERY_GRACE_S / 2) == 0.0
    assert math.isinf(expected_wait_s(state, CREATED_S + DISCOVERY_GRACE_S))


# Guards against a share that reading the throughput sets back to all upstreams:
# placement then waits for upstreams that other entries use.
def test_reading_the_throughput_keeps_the_share_of_the_entry():
    state = busy_state()
    assert state.share == 1.0
    state.entry_share.entry_count = 4
    assert state.throughput() == 1.0
    assert state.share == 0.25


@given(
    links=st.lists(
        st.tuples(
            st.sampled_from(LinkState),
            st.integers(0, 3),
            st.floats(0.3, 4.0),
            st.floats(0.0, 1.0),
            st.integers(0, 4),
            st.sampled_from(["a", "b"]),
        ),
        max_size=6,
    ),
    entries=st.integers(1, 12),
)
@example([(LinkState.CONNECTING, 1, 2.0, 5e-324, 0, "a")], 1)
def test_rate_of_an_entry_is_its_share_of_the_throughput(links, entries):
    state = ServiceState("quotes", ServiceSettings(), CREATED_S)
    state.evacuated_zones = frozenset({"b"})
    running = 0.0
    for link_state, slots, slowdown, warm_share, outstanding, zone in links:
        link = FakeLink()
        link.state = link_state
        link.outstanding = dict.fromkeys(range(outstanding))
        candidate = link.candidate
        candidate.zone, candidate.warm_share = zone, warm_share
        candidate.resize(slots, None)
        candidate.slowdown_ = slowdown
        running += outstanding / slowdown
        sidecar = Incarnation(len(state.links).to_bytes(16, "big"))
        state.links[sidecar] = link
    state.entry_share.entry_count = entries
    expected = max(running, state.throughput() / entries)
    assert state.entry_throughput() == pytest.approx(expected)
    is_known = bool(state.throughput())
    state.last_available_s = CREATED_S + 2 * DISCOVERY_GRACE_S
    now_s = CREATED_S + 2 * DISCOVERY_GRACE_S
    assert state.can_predict_wait(now_s) is is_known
