"""Many runs of one upstream are stopped in time, however long stops take.

The upstream is a model in an event loop with virtual time: nothing waits.
"""

import asyncio

import pytest
from expression import Error

from sardinestair.clock import ManualClock
from sardinestair.ids import JobId
from sardinestair.limits.connections import ConnectionLimit
from sardinestair.links.timing import MAX_CLOCK_DRIFT, MAX_STOP_S, STOP_LIMIT_S
from sardinestair.messages import TaskRef, TaskState
from sardinestair.observability import Metrics
from sardinestair.standins.runner import RunnerModel
from sardinestair.tests.virtual_time import VirtualTimeLoop
from sardinestair.upstreams.leased import LeasedUpstream
from sardinestair.upstreams.orders import RequestError

LEASE_S = 0.45
LOST = JobId(b"l" * 16)
KEPT = JobId(b"k" * 16)
CONNECTIONS = 3
# As on the users' platform.
MAX_CONNECTIONS = 48
POLL_S = 0.005
ROUND_TRIP_S = 0.001
# By so much later the poll may see an end.
TOLERANCE_S = 2 * POLL_S


class SlowClient:
    """Client of a model whose stops take long and wait for connections."""

    def __init__(self, model, stop_s, answers_stops, stop_limit):
        self.model = model
        self.stop_s = stop_s
        self.answers_stops = answers_stops
        self.run_id = model.run_id
        self.stops_given_up = 0
        self.stop_limit = stop_limit or ConnectionLimit(CONNECTIONS)

    async def start(self, run, payload, until_s, timeout_s, may_send):
        await asyncio.sleep(ROUND_TRIP_S)
        if not may_send():
            return Error(RequestError("withdrawn", False, True))
        return self.model.start(run, payload, until_s, timeout_s)

    async def stop(self, run, timeout_s):
        async with self.stop_limit:
            if not self.answers_stops:
                await asyncio.sleep(timeout_s)
                return Error(RequestError("timed out", True))
            answer_s = self.stop_s + ROUND_TRIP_S
            end = asyncio.get_running_loop().create_task(self.end_run(run))
            if answer_s > timeout_s:
                self.stops_given_up += 1
                await asyncio.sleep(timeout_s)
                return Error(RequestError("timed out", True))
            await asyncio.sleep(answer_s)
            return await end

    async def end_run(self, run):
        await asyncio.sleep(self.stop_s)
        return self.model.stop(run, 1.0)

    async def report(self, until_s, acknowledged, wait_s, timeout_s):
        model = self.model
        await asyncio.sleep(ROUND_TRIP_S)
        report = model.report(until_s, acknowledged, wait_s, timeout_s)
        limit_s = model.clock.monotonic() + wait_s
        while not report.ok.ends and model.clock.monotonic() < limit_s:
            await asyncio.sleep(POLL_S)
            report = model.report(None, acknowledged, 0.0, timeout_s)
        return report


class Harness:
    """One upstream with runs of a job to be stopped and of one to be kept."""

    def __init__(self, stop_s=MAX_STOP_S, answers_stops=True, stop_limit=None):
        self.loop = VirtualTimeLoop()
        self.model = RunnerModel(self.loop)
        self.client = SlowClient(self.model, stop_s, answers_stops, stop_limit)
        self.calls = {}
        self.start_sidecar()

    def start_sidecar(self):
        self.upstream = LeasedUpstream(
            self.client, self.loop, LEASE_S, Metrics(), lambda: None
        )
        self.loop.create_task(self.upstream.run())

    def restart_sidecar(self):
        for task in asyncio.all_tasks(self.loop):
            task.cancel()
        self.run(0)
        self.calls.clear()
        self.start_sidecar()

    def run(self, seconds):
        """Lets time pass."""
        self.loop.run_until_complete(asyncio.sleep(seconds))

    def start(self, job, count, work_s=30.0):
        for index in range(count):
            call = self.upstream.call(
                TaskRef(job, index, 1), str(work_s).encode(), 60.0, lambda: True
            )
            self.calls[job, index] = self.loop.create_task(call)

    def run_tasks(self, job, count):
        """Starts tasks, and lets all of them run."""
        self.start(job, count)
        self.run(0.5)
        assert len(self.active(job)) == count

    def stop(self, job, count, *arguments):
        for index in range(count):
            self.upstream.stop(TaskRef(job, index, 1), *arguments)

    def active(self, job):
        self.model.advance()
        name = self.model.run_id(TaskRef(job, 0, 1)).job
        return [
            run for run in self.model.active.values() if run.run_id.job == name
        ]

    def time_to_end(self, job, limit_s=30.0):
        """Returns how long it takes until no run of a job is active."""
        start_s = self.loop.time()
        while self.active(job) and self.loop.time() - start_s < limit_s:
            self.run(POLL_S)
        return self.loop.time() - start_s

    def close(self):
        for task in asyncio.all_tasks(self.loop):
            task.cancel()
        self.run(0)
        self.loop.close()


@pytest.fixture
def make_harness():
    harnesses = []

    def make(**arguments):
        harness = Harness(**arguments)
        harnesses.append(harness)
        harness.run(0.3)
        return harness

    yield make
    for harness in harnesses:
        harness.close()


# Guards against tasks that run twice (rule TWICE) after an entry with many
# small tasks at an upstream was lost: their stops waited for each other, longer
# than the caller waits before it submits the job to another entry.
@pytest.mark.parametrize("count", [1, 35, 125, 930])
@pytest.mark.parametrize("stop_s", [0.001, 0.04, MAX_STOP_S])
def test_runs_of_a_lost_entry_end_with_the_lease_at_the_latest(
    make_harness, count, stop_s
):
    harness = make_harness(stop_s=stop_s)
    harness.run_tasks(LOST, count)
    harness.stop(LOST, count, b"session over", LEASE_S)
    limit_s = LEASE_S * (1 + MAX_CLOCK_DRIFT) + MAX_STOP_S
    assert harness.time_to_end(LOST) <= limit_s + TOLERANCE_S


# Guards against tasks that run on after their job was cancelled (rule
# UNASKED), and against a resubmission that meets them (rule TWICE).
@pytest.mark.parametrize("count", [250, 930])
def test_cancelled_runs_end_with_the_lease_at_the_latest(make_harness, count):
    harness = make_harness()
    harness.run_tasks(LOST, count)
    harness.stop(LOST, count)
    limit_s = STOP_LIMIT_S * (1 + MAX_CLOCK_DRIFT) + MAX_STOP_S
    assert harness.time_to_end(LOST) <= limit_s + TOLERANCE_S


def test_run_whose_stops_are_not_answered_ends_with_the_lease(make_harness):
    harness = make_harness(answers_stops=False)
    harness.run_tasks(LOST, 1)
    harness.stop(LOST, 1)
    limit_s = STOP_LIMIT_S * (1 + MAX_CLOCK_DRIFT) + MAX_STOP_S
    assert harness.time_to_end(LOST) <= limit_s + TOLERANCE_S
    harness.run(0.2)
    assert harness.calls[LOST, 0].result().state is TaskState.INTERRUPTED


def test_run_past_its_deadline_ends_with_the_lease(make_harness):
    harness = make_harness(answers_stops=False)
    call = harness.upstream.call(TaskRef(LOST, 0, 1), b"30", 0.5, lambda: True)
    harness.loop.create_task(call)
    harness.run(0.5)
    limit_s = STOP_LIMIT_S * (1 + MAX_CLOCK_DRIFT) + MAX_STOP_S
    assert harness.time_to_end(LOST) <= limit_s + TOLERANCE_S


def test_earlier_limit_counts_if_a_cancelled_run_loses_its_session(
    make_harness,
):
    harness = make_harness(answers_stops=False)
    harness.run_tasks(LOST, 1)
    harness.stop(LOST, 1)
    harness.run(0.1)
    harness.stop(LOST, 1, b"session over", 0.2)
    harness.stop(LOST, 1)
    # The lease that had been granted before goes on.
    limit_s = LEASE_S * (1 + MAX_CLOCK_DRIFT)
    assert harness.time_to_end(LOST) <= limit_s + TOLERANCE_S


# Guards against runs of other entries that lapse, as the lease isn't renewed
# before many slow stops have ended.
@pytest.mark.parametrize("count", [12, 125, 250])
def test_runs_beside_those_being_stopped_are_kept(make_harness, count):
    limit = ConnectionLimit(CONNECTIONS, MAX_CONNECTIONS)
    harness = make_harness(stop_limit=limit)
    harness.start(LOST, count)
    harness.start(KEPT, 5, work_s=3.0)
    harness.run(0.5)
    harness.stop(LOST, count, b"session over", LEASE_S)
    assert harness.time_to_end(LOST) < LEASE_S
    harness.run(4.0)
    states = {harness.calls[KEPT, n].result().state for n in range(5)}
    assert states == {TaskState.DONE}


# Guards against stops that are given up, with their connection, just before
# they are answered: the time-out was as long as a stop may take.
def test_stop_that_takes_as_long_as_it_may_is_answered(make_harness):
    harness = make_harness(stop_s=MAX_STOP_S)
    harness.run_tasks(LOST, CONNECTIONS)
    harness.stop(LOST, CONNECTIONS)
    harness.run(0.3)
    assert harness.client.stops_given_up == 0
    assert not harness.active(LOST)


# Guards against tasks that run twice (rule TWICE) after a sidecar was killed:
# the next one stopped what it found one by one, and renewed the lease besides.
@pytest.mark.parametrize("count", [35, 250, 930])
@pytest.mark.parametrize("stop_s", [0.001, 0.01, MAX_STOP_S])
def test_runs_of_an_earlier_sidecar_end_with_its_lease(
    make_harness, count, stop_s
):
    harness = make_harness(stop_s=stop_s)
    harness.run_tasks(LOST, count)
    harness.restart_sidecar()
    limit_s = LEASE_S * (1 + MAX_CLOCK_DRIFT) + MAX_STOP_S
    assert harness.time_to_end(LOST) <= limit_s + TOLERANCE_S
    harness.run(0.5)
    assert harness.upstream.has_no_orphans
    harness.start(KEPT, 1, work_s=0.1)
    harness.run(0.5)
    assert harness.calls[KEPT, 0].result().state is TaskState.DONE


def test_no_task_starts_under_a_lease_that_is_about_to_end(make_harness):
    harness = make_harness(answers_stops=False)
    harness.run_tasks(LOST, 1)
    harness.stop(LOST, 1, b"session over", LEASE_S / 3)
    assert harness.upstream.is_lease_ending
    harness.start(KEPT, 1)
    harness.run(0.05)
    assert harness.calls[KEPT, 0].result().state is TaskState.NOT_RUN
    harness.run(1.0)
    assert not harness.upstream.is_lease_ending
    harness.start(KEPT, 1, work_s=0.1)
    harness.run(0.5)
    assert harness.calls[KEPT, 0].result().state is TaskState.DONE


def test_limited_lease_is_no_lost_upstream():
    """One lost report in that time is no more than a lost report."""
    clock = ManualClock()
    lost = []
    upstream = LeasedUpstream(
        RunnerModel(clock), clock, LEASE_S, Metrics(), lambda: lost.append(1)
    )
    upstream.lease.remote_clock_s = 0.0
    upstream.lease.until_s = 0.0
    clock.advance(LEASE_S / 2)
    upstream._handle_missing_report(RequestError("no reply", True))
    assert not lost
    clock.advance(LEASE_S)
    upstream._handle_missing_report(RequestError("no reply", True))
    assert lost
