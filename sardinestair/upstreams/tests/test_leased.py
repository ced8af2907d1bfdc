"""Lost and late requests, expired leases and restarts of an upstream."""

import asyncio

import msgspec
import pytest
from expression import Error

from sardinestair.clock import ManualClock
from sardinestair.ids import JobId
from sardinestair.links.timing import MAX_CLOCK_DRIFT
from sardinestair.messages import TaskRef, TaskState
from sardinestair.observability import Metrics
from sardinestair.standins.runner import Mode, RunnerModel
from sardinestair.upstreams.leased import (
    STALL_TIMEOUT_S,
    STALLED,
    LeasedUpstream,
)
from sardinestair.upstreams.orders import RequestError
from sardinestair.upstreams.report_schedule import (
    DEGRADED_PERIOD_S,
    REPORT_RETRY_DELAY_S,
    REPORT_ROUND_TRIP_S,
    REPORT_WAIT_S,
)
from sardinestair.upstreams.stopper import END_GRACE_S

LEASE_S = 0.45
REF = TaskRef(JobId(b"j" * 16), 0, 1)
WAIT_S = 20.0


class RecordingClient:
    """Passes requests on to a model, and records them."""

    def __init__(self, model):
        self.model = model
        self.requests = []
        self.waits = []
        self.run_id = model.run_id
        # Stops that wait for `release`, as for a free connection.
        self.stops_to_hold = 0
        self.release = asyncio.Event()

    async def start(self, run, payload, until_s, timeout_s, may_send):
        await asyncio.sleep(0)
        if not may_send():
            return Error(RequestError("withdrawn", False, True))
        self.requests.append("start")
        return self.model.start(run, payload, until_s, timeout_s)

    async def stop(self, run, timeout_s):
        await asyncio.sleep(0)
        if self.stops_to_hold:
            self.stops_to_hold -= 1
            await self.release.wait()
        self.requests.append("stop")
        return self.model.stop(run, timeout_s)

    async def report(self, until_s, acknowledged, wait_s, timeout_s):
        await asyncio.sleep(0)
        self.waits.append(wait_s)
        return self.model.report(until_s, acknowledged, wait_s, timeout_s)


class Harness:
    """One upstream on a manual clock, with tasks in an event loop."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self.clock = ManualClock()
        self.runner = RunnerModel(self.clock)
        self.client = RecordingClient(self.runner)
        self.lost = []
        self.may_start = True
        self.upstream = self.make_upstream()
        self.renew()

    def make_upstream(self, *arguments):
        return LeasedUpstream(
            self.client, self.clock, LEASE_S, Metrics(),
            lambda: self.lost.append(True), *arguments,
        )  # fmt: skip

    def start(self, ref=REF, work_s=0.2):
        """Starts a task, without letting it run yet."""
        payload = str(work_s).encode()
        call = self.upstream.call(ref, payload, 60.0, lambda: self.may_start)
        return self.loop.create_task(call)

    def run(self, ref=REF, work_s=0.2):
        result = self.start(ref, work_s)
        self.settle()
        return result

    def settle(self):
        """Lets the tasks go on until they wait for something to happen."""
        for _ in range(20):
            self.loop.run_until_complete(asyncio.sleep(0))

    def wait_for(self, *names):
        async def wait():
            while self.client.requests != list(names):
                await asyncio.sleep(0.001)

        self.loop.run_until_complete(asyncio.wait_for(wait(), WAIT_S))

    def renew(self, upstream=None):
        self.loop.run_until_complete((upstream or self.upstream).renew())

    def renew_after(self, seconds):
        self.clock.advance(seconds)
        self.renew()

    def renew_until_done(self, result):
        for _ in range(200):
            if result.done():
                break
            self.renew_after(0.05)
            self.settle()
        return self.result_of(result)

    def result_of(self, result):
        return self.loop.run_until_complete(asyncio.wait_for(result, WAIT_S))


@pytest.fixture
def harness():
    harness = Harness()
    yield harness
    for task in asyncio.all_tasks(harness.loop):
        task.cancel()
    harness.settle()
    harness.loop.close()


def test_task_that_completes_is_done(harness):
    result = harness.run()
    harness.wait_for("start")
    assert harness.renew_until_done(result).state is TaskState.DONE


def test_time_until_the_start_was_confirmed_is_reported(harness):
    start = harness.client.start

    async def start_slowly(*arguments):
        harness.clock.advance(0.0625)
        return await start(*arguments)

    harness.client.start = start_slowly
    result = harness.renew_until_done(harness.run())
    assert result.start_s == pytest.approx(0.0625)
    assert result.run_s > result.start_s


def test_task_that_fails_has_failed(harness):
    harness.runner.mode = Mode.FAILING
    result = harness.run()
    harness.wait_for("start")
    assert harness.renew_until_done(result).state is TaskState.FAILED


def test_refused_start_has_not_run(harness):
    first = harness.run()
    harness.wait_for("start")
    assert harness.renew_until_done(first).state is TaskState.DONE
    again = harness.result_of(harness.run())
    assert again.state is TaskState.NOT_RUN
    assert again.body == b"old run"


def test_unanswered_start_that_was_lost_has_not_run(harness):
    harness.runner.requests_to_lose = 1
    result = harness.run()
    harness.wait_for("start", "stop")
    assert harness.renew_until_done(result).state is TaskState.NOT_RUN
    harness.runner.execute_lost_requests()
    assert harness.runner.starts == []  # Rejected after the stop.


def test_unanswered_start_that_was_executed_is_interrupted(harness):
    harness.runner.replies_to_lose = 1
    result = harness.run()
    harness.wait_for("start", "stop")
    assert len(harness.runner.starts) == 1
    assert harness.renew_until_done(result).state is TaskState.INTERRUPTED


def test_unanswered_stop_is_repeated(harness):
    harness.runner.requests_to_lose = 3
    result = harness.run()
    harness.wait_for("start", "stop", "stop", "stop")
    assert harness.renew_until_done(result).state is TaskState.NOT_RUN


def test_late_start_is_rejected_after_its_lease(harness):
    harness.runner.requests_to_lose = 2
    result = harness.run()
    harness.wait_for("start", "stop", "stop")
    harness.renew_until_done(result)
    harness.clock.advance(LEASE_S + 0.1)
    harness.runner.lost_requests[:] = harness.runner.lost_requests[:1]
    harness.runner.highest_attempts.clear()  # As if the stop had been lost.
    harness.runner.execute_lost_requests()
    assert harness.runner.starts == []


def test_end_repeated_after_a_lost_acknowledgement_counts_once(harness):
    result = harness.run()
    harness.wait_for("start")
    assert harness.renew_until_done(result).state is TaskState.DONE
    harness.upstream.acknowledged = 0
    harness.renew()
    assert harness.upstream.acknowledged == 1
    assert harness.upstream.runs == {}


def test_runs_of_an_earlier_incarnation_are_interrupted(harness):
    result = harness.run(work_s=30.0)
    harness.wait_for("start")
    harness.renew_after(0.05)
    harness.runner.restart()
    done = harness.renew_until_done(result)
    assert done.state is TaskState.INTERRUPTED
    assert harness.upstream.acknowledged == 0


def test_unanswered_start_before_a_restart_is_interrupted(harness):
    """The run may have begun before the restart."""
    harness.runner.replies_to_lose = 1
    harness.runner.requests_to_lose = 0
    result = harness.run(work_s=30.0)
    harness.wait_for("start", "stop")
    harness.runner.restart()
    harness.renew_after(LEASE_S + 0.2)
    done = harness.renew_until_done(result)
    assert done.state is TaskState.INTERRUPTED


def test_runs_of_an_unreachable_upstream_are_interrupted_after_the_lease(
    harness,
):
    result = harness.run(work_s=30.0)
    harness.wait_for("start")
    harness.renew_after(0.1)
    harness.runner.is_suspended = True
    for _ in range(3):
        harness.renew_after(0.1)
    assert not result.done()
    assert harness.lost == []
    harness.renew_after(LEASE_S + 0.1)
    assert harness.result_of(result).state is TaskState.INTERRUPTED
    assert harness.lost == [True]
    refused = harness.result_of(harness.run(TaskRef(REF.job, 1, 1)))
    assert refused.state is TaskState.NOT_RUN


def test_lost_runs_are_logged_with_age_and_evidence(harness, caplog):
    """Otherwise a crash and a silent upstream look alike in the logs."""
    caplog.set_level("INFO", logger="sardinestair")
    harness.run(work_s=30.0)
    harness.wait_for("start")
    harness.renew_after(0.1)
    harness.runner.crash()
    for _ in range(10):
        harness.renew_after(0.1)
    lost = next(r for r in caplog.records if r.msg == "run_lost")
    assert (lost.task, lost.run, lost.refused) == (0, 1, True)
    assert lost.age_s > 0.1


# Guards against a crashed upstream whose loss is noticed only when no more
# starts come: starts that were never sent were taken for renewals of the lease.
def test_refused_starts_do_not_prolong_the_lease(harness):
    result = harness.run(work_s=30.0)
    harness.wait_for("start")
    harness.renew_after(0.05)
    harness.runner.crash()
    for attempt in range(2, 14):
        harness.clock.advance(0.05)
        harness.run(TaskRef(REF.job, 1, attempt))
        harness.renew()
        harness.settle()
    assert result.done()


# Guards against starts on a crashed upstream: they were refused one after the
# other until its lease had expired.
def test_upstream_that_refuses_connections_is_reported_lost_at_once(harness):
    result = harness.run(work_s=30.0)
    harness.wait_for("start")
    harness.renew_after(0.05)
    harness.runner.crash()
    harness.renew_after(0.02)
    assert harness.lost
    assert not result.done()  # Its runs are over only with the lease.
    refused = harness.result_of(harness.run(TaskRef(REF.job, 1, 1)))
    assert refused.state is TaskState.NOT_RUN
    assert harness.client.requests == ["start"]


def test_upstream_gets_starts_again_once_it_has_answered(harness):
    harness.runner.crash()
    harness.renew_after(0.02)
    harness.runner.restart()
    harness.renew_after(0.02)
    result = harness.run()
    harness.wait_for("start")
    assert harness.renew_until_done(result).state is TaskState.DONE


def test_run_that_ends_with_its_upstream_has_crashed(harness):
    result = harness.run(work_s=30.0)
    harness.wait_for("start")
    harness.renew_after(0.1)
    harness.runner.crash()
    done = harness.renew_until_done(result)
    assert (done.state, done.has_crashed) == (TaskState.INTERRUPTED, True)
    assert done.is_confirmed
    assert done.run_s == pytest.approx(0.15)  # Not until the lease was over.


# Guards against giving up a task for a crash under a start that never began
# (rule LOST).
def test_start_that_never_began_is_no_confirmed_crash(harness):
    harness.runner.requests_to_lose = 1
    result = harness.run(work_s=30.0)
    harness.wait_for("start", "stop")
    assert harness.runner.starts == []
    harness.runner.crash()
    done = harness.renew_until_done(result)
    assert (done.has_crashed, done.is_confirmed) == (True, False)


# Guards against an upstream whose second loss is noticed late: the end of its
# lease was kept on the clock of an earlier incarnation, which starts anew.
def test_lease_of_an_earlier_incarnation_does_not_count(harness):
    harness.renew_after(100.0)
    harness.renew()
    restarted_s = harness.clock.monotonic()
    report = harness.client.report

    async def report_on_a_new_clock(*arguments):
        reply = await report(*arguments)
        return reply.map(
            lambda r: msgspec.structs.replace(
                r, clock_s=r.clock_s - restarted_s
            )
        )

    harness.client.report = report_on_a_new_clock
    harness.runner.restart()
    harness.renew()
    harness.renew_after(0.05)
    harness.runner.is_suspended = True
    for _ in range(3):
        harness.renew_after(0.1)
    assert not harness.lost
    harness.renew_after(LEASE_S + 0.1)
    assert harness.lost


def test_run_lost_in_a_restart_has_crashed(harness):
    result = harness.run(work_s=30.0)
    harness.wait_for("start")
    harness.renew_after(0.05)
    harness.runner.restart()
    assert harness.renew_until_done(result).has_crashed


def test_run_of_a_silent_upstream_has_not_crashed(harness):
    result = harness.run(work_s=30.0)
    harness.wait_for("start")
    harness.runner.is_suspended = True
    done = harness.renew_until_done(result)
    assert (done.state, done.has_crashed) == (TaskState.INTERRUPTED, False)


def test_stalled_task_is_stopped(harness):
    harness.runner.mode = Mode.STALLED
    result = harness.run(work_s=1.0)
    harness.wait_for("start")
    harness.renew_after(0.05)
    harness.renew_after(STALL_TIMEOUT_S + 0.05)
    harness.wait_for("start", "stop")
    done = harness.renew_until_done(result)
    assert (done.state, done.body) == (TaskState.INTERRUPTED, STALLED)


def test_task_that_progresses_is_not_stopped(harness):
    result = harness.run(work_s=5.0)
    harness.wait_for("start")
    assert harness.renew_until_done(result).state is TaskState.DONE
    assert harness.client.requests == ["start"]


def test_cancelled_task_is_stopped(harness):
    result = harness.run(work_s=30.0)
    harness.wait_for("start")
    harness.upstream.stop(REF)
    harness.wait_for("start", "stop")
    assert harness.renew_until_done(result).state is TaskState.INTERRUPTED
    assert END_GRACE_S < WAIT_S


# Guards against a renewal for a session that has just ended, while the check
# of sessions is late as the process is busy.
def test_sessions_are_checked_before_each_renewal(harness):
    harness.run(work_s=30.0)
    harness.wait_for("start")
    harness.clock.advance(0.1)
    end_s = harness.clock.monotonic() + 0.4
    harness.upstream.lease.before_renewal = lambda: harness.upstream.stop(
        REF, b"session over", 0.4
    )
    harness.renew()
    assert harness.runner.lease_end_s <= end_s


def test_stops_that_take_long_are_logged_together(harness, caplog):
    """Otherwise stops that wait for each other look like slow upstreams."""
    caplog.set_level("WARNING", logger="sardinestair")
    harness.client.stops_to_hold = 3
    results = [harness.run(TaskRef(REF.job, n, 1), 30.0) for n in range(3)]
    for index in range(3):
        harness.upstream.stop(TaskRef(REF.job, index, 1), b"session over")
    harness.settle()
    harness.clock.advance(0.7)
    harness.client.release.set()
    for result in results:
        harness.renew_until_done(result)
    slow = [r for r in caplog.records if r.msg == "stops_slow"]
    assert [(line.runs, line.reason) for line in slow] == [(3, "session over")]
    assert slow[0].longest_s >= 0.7


def test_new_sidecar_stops_what_an_earlier_one_started(harness):
    harness.run(work_s=30.0)
    harness.wait_for("start")
    later = harness.make_upstream()
    harness.renew(later)
    harness.settle()
    assert harness.runner.active == {}
    assert not later.has_no_orphans
    harness.clock.advance(LEASE_S / 2)
    harness.renew(later)
    assert not later.has_no_orphans  # A late start may still be executed.
    harness.clock.advance(LEASE_S)
    harness.renew(later)
    assert later.has_no_orphans


# Guards against capacity that is never freed: after a client had submitted its
# job to another entry, a start with the same run id replaced the run that was
# being stopped, whose end then went to the new one.
def test_start_beside_an_active_run_of_the_same_id_is_refused(harness):
    first = harness.run(work_s=30.0)
    harness.wait_for("start")
    harness.upstream.stop(REF)
    second = harness.result_of(harness.run(work_s=30.0))
    assert second.state is TaskState.NOT_RUN
    done = harness.renew_until_done(first)
    assert done.state is TaskState.INTERRUPTED
    assert harness.upstream.runs == {}
    assert harness.client.requests == ["start", "stop"]


def test_start_beside_an_orphan_of_the_same_id_is_refused(harness):
    harness.run(work_s=30.0)
    harness.wait_for("start")
    harness.upstream = harness.make_upstream()
    harness.client.stops_to_hold = 1
    harness.renew()
    second = harness.result_of(harness.run(work_s=30.0))
    assert second.state is TaskState.NOT_RUN
    harness.client.release.set()
    harness.settle()
    assert harness.runner.active == {}


def test_no_task_starts_before_the_first_contact(harness):
    harness.upstream = harness.make_upstream()
    result = harness.result_of(harness.run())
    assert result.state is TaskState.NOT_RUN
    assert harness.runner.starts == []


# Guards against a start under a permission that has ended while the start
# waited for a connection to the runner.
def test_task_whose_permission_ends_before_it_is_sent_has_not_run(harness):
    result = harness.start()
    harness.may_start = False
    assert harness.result_of(result).state is TaskState.NOT_RUN
    assert harness.client.requests == []


def test_task_that_is_stopped_before_it_is_sent_has_not_run(harness):
    result = harness.start()
    harness.loop.call_soon(harness.upstream.stop, REF)
    assert harness.result_of(result).state is TaskState.NOT_RUN
    assert harness.client.requests == []


def test_reports_wait_less_while_requests_are_lost(harness):
    """A lost report delays the ends of all tasks, so they are polled faster.

    A report right after a lost one does not wait at all.
    """
    harness.renew()
    usual = harness.client.waits[-1]
    harness.runner.requests_to_lose = 1
    harness.renew()
    harness.renew()
    assert harness.client.waits[-1] == 0.0
    harness.renew()
    assert 0.0 < harness.client.waits[-1] <= usual / 4
    harness.renew_after(DEGRADED_PERIOD_S + 0.1)
    assert harness.client.waits[-1] == usual


def test_wait_for_late_starts_counts_from_process_start(
    harness,
):
    """An earlier sidecar's lease has expired a lease after process start.

    After an outage of all machines, runs could otherwise begin only a lease
    after the program was loaded.
    """
    launched_s = harness.clock.monotonic()
    harness.clock.advance(LEASE_S * 1.1)
    later = harness.make_upstream(launched_s)
    assert not later.has_no_orphans  # No report yet.
    harness.renew(later)
    assert later.has_no_orphans


# Guards against a sidecar that grants no credits while an idle report waits,
# 0.2 s after each start and again when the lease of an earlier one has expired.
def test_new_sidecar_waits_no_longer_than_for_an_earlier_lease(harness):
    launched_s = harness.clock.monotonic()
    harness.clock.advance(LEASE_S / 2)
    later = harness.make_upstream(launched_s)
    harness.renew(later)
    assert harness.client.waits[-1] == 0.0
    harness.clock.advance(LEASE_S / 4)
    harness.renew(later)
    left_s = LEASE_S * (1 + MAX_CLOCK_DRIFT) - 0.75 * LEASE_S
    wait_s = harness.client.waits[-1]
    assert left_s <= wait_s <= left_s + 0.002
    assert not later.has_no_orphans
    harness.clock.advance(wait_s)
    harness.renew(later)
    assert later.has_no_orphans
    harness.renew(later)
    assert harness.client.waits[-1] >= REPORT_WAIT_S


# Guards against credits that are granted only with the next periodic check.
def test_end_of_the_wait_for_an_earlier_lease_is_reported_once(harness):
    cleared = []
    later = harness.make_upstream(harness.clock.monotonic())
    later.orphans.on_none_left = lambda: cleared.append(
        harness.clock.monotonic()
    )
    harness.renew(later)
    assert cleared == []
    harness.clock.advance(1.1 * LEASE_S)
    harness.renew(later)
    harness.renew(later)
    assert cleared == [harness.clock.monotonic()]


def test_idle_upstream_is_asked_half_as_often(harness):
    harness.renew()
    idle_s = harness.client.waits[-1]
    harness.run(work_s=30.0)
    harness.renew()
    assert harness.client.waits[-1] <= idle_s / 2
    # A task that starts during an idle report keeps its lease even if that
    # report is lost.
    longest_s = idle_s + 2 * REPORT_ROUND_TRIP_S + REPORT_RETRY_DELAY_S
    assert longest_s < LEASE_S
