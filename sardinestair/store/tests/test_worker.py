"""Workers repeat their step until they are stopped."""

from sardinestair.store.worker import StoreWorker

STEPS = 3


class CountingWorker(StoreWorker):
    def __init__(self):
        super().__init__()
        self.calls = []

    def run_once(self):
        self.calls.append("step")
        if len(self.calls) == STEPS:
            self.stop()
        return 0.0

    def finish(self):
        self.calls.append("finish")


def test_step_is_repeated_until_the_worker_is_stopped():
    worker = CountingWorker()
    worker.run()
    assert worker.calls == ["step"] * STEPS + ["finish"]


def test_worker_that_is_stopped_before_its_start_takes_no_step():
    worker = CountingWorker()
    worker.stop()
    worker.run()
    assert worker.calls == ["finish"]


def test_stop_ends_the_delay():
    worker = CountingWorker()
    worker.run_once = lambda: worker.stop() or 3600.0
    worker.run()
    assert worker.calls == ["finish"]
