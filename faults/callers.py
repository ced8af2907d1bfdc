"""Callers that submit jobs and record the answers."""

import random
import threading
import time
from concurrent.futures import Future, ThreadPoolExecutor
from typing import Any

import msgspec

from faults.system import System
from sardinestair.cli.client import ApiClient
from sardinestair.ids import format_job_id, new_job_id

ANSWER_TIMEOUT_S = 40.0
MAX_TASKS = 24
UNREPEATABLE_SHARE = 0.2
MAX_SUBMISSIONS = 3


class JobRecord(msgspec.Struct):
    """A job and the answers that its caller got.

    Attributes:
        job_id: Id of the job.
        task_count: Number of its tasks.
        unrepeatable: True if it must run at most once, whatever fails.
        submissions: How many times it was submitted.
        status: HTTP status of the last submission, 0 if it got no answer.
        document: Body of the last answer, or the problem found by the client.
        not_run_at_s: Wall-clock time at which the last submission was
            reported as not run, 0 if it was not.
        broken_off: Submissions that got no answer after they were sent.
        ended_s: Wall-clock time at which the last submission ended.
        unknown_outcomes: Submissions that may have reached an entry but got
            no answer.
        timed_out: Those whose connection stayed open until the time-out.
    """

    job_id: str
    task_count: int
    unrepeatable: bool
    submissions: int = 0
    status: int = 0
    document: dict | None = None
    not_run_at_s: float = 0.0
    broken_off: int = 0
    ended_s: float = 0.0
    unknown_outcomes: int = 0
    timed_out: int = 0


class Callers:
    """Generates closed-loop load: each caller has one job in flight.

    Args:
        system: The system to submit jobs to.
        count: Number of callers.
        seed: Seed of job sizes and run times.
        kinds: Kinds of the jobs. If there are any, each caller keeps its
            connections open and uses them for as long as the entry does.
    """

    def __init__(
        self,
        system: System,
        count: int = 24,
        seed: int = 0,
        kinds: tuple[str, ...] = (),
    ):
        self.system = system
        self.count = count
        self.seed = seed
        self.kinds = kinds
        self.clients = threading.local()
        self.records: list[JobRecord] = []
        self.lock = threading.Lock()
        self.stopping = threading.Event()
        self.pool = ThreadPoolExecutor(count)
        self.futures: list[Future] = []

    def start(self) -> None:
        """Starts all callers."""
        self.futures = [
            self.pool.submit(self._run, index) for index in range(self.count)
        ]

    def stop(self) -> list[JobRecord]:
        """Stops submitting and waits for the outstanding answers.

        Returns:
            A record of each job.
        """
        self.stopping.set()
        for future in self.futures:
            future.result()
        self.pool.shutdown()
        return self.records

    def _run(self, index: int) -> None:
        rng = random.Random(self.seed * 1000 + index)
        while not self.stopping.is_set():
            self._run_job(rng)

    def _run_job(self, rng: random.Random) -> None:
        record = JobRecord(
            format_job_id(new_job_id()),
            rng.randint(1, MAX_TASKS),
            rng.random() < UNREPEATABLE_SHARE,
        )
        with self.lock:
            self.records.append(record)
        body: dict[str, Any] = {
            "id": record.job_id,
            "service": self.system.service,
            "team": f"team{rng.randint(0, 3)}",
            "unrepeatable": record.unrepeatable,
            "tasks": [
                {
                    "payload": {
                        "run_s": rng.uniform(0.002, 0.05),
                        "echo": f"{record.job_id}/{index}",
                    }
                }
                for index in range(record.task_count)
            ],
        }
        if self.kinds:
            body["kind"] = rng.choice(self.kinds)
        while record.submissions < MAX_SUBMISSIONS:
            self._submit(record, body, rng)
            is_refused = record.status in (429, 503)
            # An unrepeatable job can safely be submitted again: it runs at most
            # once even if the lost submission was accepted.
            is_lost = record.status == 0 and record.unrepeatable
            if not (is_refused or is_lost):
                return
            time.sleep(0.1)

    def _submit(
        self, record: JobRecord, body: dict, rng: random.Random
    ) -> None:
        url = rng.choice(self.system.urls)
        record.submissions += 1
        begun_s = time.time()
        result = self._client(url).call("POST", "/v1/jobs", body)
        record.ended_s = time.time()
        if result.is_ok():
            record.status, record.document = 200, result.ok
            return
        record.status = result.error.status
        record.document = result.error.document
        is_not_run = record.document.get("not_run") is True
        record.not_run_at_s = record.ended_s if is_not_run else 0.0
        record.broken_off += record.status == 0 and not is_not_run
        is_unknown = record.status == 0 and not is_not_run
        record.unknown_outcomes += is_unknown
        duration_s = record.ended_s - begun_s
        record.timed_out += is_unknown and duration_s >= ANSWER_TIMEOUT_S

    def _client(self, url: str) -> ApiClient:
        """Returns the calling thread's client of an entry, or a new one."""
        client = ApiClient(url, ANSWER_TIMEOUT_S)
        if not self.kinds:
            return client
        return self.clients.__dict__.setdefault(url, client)
