"""Tasks of the event loop: when they run, and what their errors do."""

import os
import threading
import time
from concurrent.futures import Future

import pytest

from sardinestair.event_loop import EventLoop, LoopTask, wait_for_result
from sardinestair.observability import EventLog

WAIT_S = 20.0


@pytest.fixture
def event_loop():
    event_loop = EventLoop()
    event_loop.start()
    yield event_loop
    event_loop.stop()


class Counter:
    """Counts the calls of a task; lets a test wait for them."""

    def __init__(self, delay_s=60.0):
        self.delay_s = delay_s
        self.calls = 0
        self.called = threading.Condition()

    def run_once(self):
        with self.called:
            self.calls += 1
            self.called.notify_all()
        return self.delay_s

    def wait_for(self, calls):
        with self.called:
            assert self.called.wait_for(lambda: self.calls >= calls, WAIT_S)


def make_task(event_loop, run_once, **options):
    return LoopTask(event_loop, run_once, EventLog("test"), "test", **options)


def test_several_wakes_in_one_turn_lead_to_one_call(event_loop):
    counter = Counter()
    task = make_task(event_loop, counter.run_once)

    def wake_often():
        for _ in range(100):
            task.wake()

    event_loop.call(wake_often)
    counter.wait_for(1)
    event_loop.call(lambda: None)
    assert counter.calls == 1


def test_task_is_woken_from_another_thread(event_loop):
    counter = Counter()
    task = make_task(event_loop, counter.run_once)
    for calls in range(1, 50):
        task.wake()
        counter.wait_for(calls)


def test_task_is_called_after_its_delay(event_loop):
    counter = Counter(delay_s=0.002)
    make_task(event_loop, counter.run_once).wake()
    counter.wait_for(10)


def test_shorter_delay_replaces_a_longer_one(event_loop):
    counter = Counter(delay_s=60.0)
    task = make_task(event_loop, counter.run_once)
    task.wake()
    counter.wait_for(1)
    counter.delay_s = 0.002
    task.wake()
    counter.wait_for(5)


def test_readable_descriptor_leads_to_a_call(event_loop):
    counter = Counter()
    task = make_task(event_loop, counter.run_once)
    reader, writer = os.pipe()
    event_loop.call(lambda: task.add(reader))
    os.write(writer, b"x")
    counter.wait_for(1)
    assert event_loop.call(task.take_readable) == {reader}
    event_loop.call(lambda: task.remove(reader))
    os.close(reader)
    os.close(writer)


def test_stopped_task_is_not_called(event_loop):
    counter = Counter(delay_s=0.001)
    task = make_task(event_loop, counter.run_once)
    task.wake()
    counter.wait_for(3)
    event_loop.call(task.stop)
    calls = counter.calls
    task.wake()
    time.sleep(0.02)
    assert counter.calls == calls


def test_error_of_a_task_ends_the_process(event_loop):
    failed = threading.Event()

    def fail():
        raise RuntimeError("broken")

    make_task(event_loop, fail, on_failure=failed.set).wake()
    assert failed.wait(WAIT_S)


# Guards against an error in a thread that reports to a loop that has ended.
def test_wake_while_the_loop_stops_does_nothing():
    for _ in range(50):
        event_loop = EventLoop()
        event_loop.start()
        task = make_task(event_loop, lambda: 60.0)
        failed = []

        def wake_often(task=task, failed=failed):
            try:
                for _ in range(50):
                    task.is_wake_requested = False
                    task.wake()
            except Exception as error:
                failed.append(error)

        waker = threading.Thread(target=wake_often)
        waker.start()
        event_loop.stop()
        waker.join()
        assert failed == []


def test_longest_delay_covers_a_held_loop(event_loop):
    counter = Counter(delay_s=0.01)
    make_task(event_loop, counter.run_once).wake()
    counter.wait_for(1)
    event_loop.take_longest_delay_s()
    event_loop.call(lambda: time.sleep(0.2))
    counter.wait_for(counter.calls + 2)
    assert event_loop.take_longest_delay_s() >= 0.1
    assert event_loop.busy_s["test"] > 0.0


@pytest.mark.parametrize("is_in_loop", [False, True])
def test_result_of_another_thread_is_awaited(event_loop, is_in_loop):
    future = Future()
    waiting = event_loop.run_coroutine(
        wait_for_result(event_loop, future, WAIT_S)
    )
    if is_in_loop:
        event_loop.call(lambda: future.set_result(1))
    else:
        future.set_result(1)
    assert waiting.result(WAIT_S)


def test_wait_for_a_result_ends_at_its_time_limit(event_loop):
    future = Future()
    waiting = event_loop.run_coroutine(
        wait_for_result(event_loop, future, 0.01)
    )
    assert not waiting.result(WAIT_S)
    event_loop.call(lambda: future.set_result(1))  # Too late, but harmless.
