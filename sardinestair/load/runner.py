"""Open-loop load generator: submits jobs without waiting for earlier ones."""

import time
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor

import msgspec

from sardinestair.load.workload import Deployment, LoadJob, ideal_response_s
from sardinestair.transfer import Reply, Transfer

__all__ = ["JobRecord", "run_load"]

MAX_CALLERS = 400
JSON_HEADERS = ("Content-Type: application/json",)


class JobRecord(msgspec.Struct, frozen=True):
    """Result of one job.

    Attributes:
        job: The job.
        ideal_response_s: Lower bound of the response time, in seconds.
        response_s: Time from the scheduled arrival to the answer, in seconds.
            It includes the delay of a late submission, which avoids
            coordinated omission.
        status: HTTP status, 0 if there was no answer.
        not_run: True if the answer says that the job did not run.
    """

    job: LoadJob
    ideal_response_s: float
    response_s: float
    status: int
    not_run: bool

    @property
    def stretch(self) -> float:
        """Response time divided by the ideal."""
        return self.response_s / self.ideal_response_s


def run_load(
    urls: Sequence[str], deployment: Deployment, jobs: Sequence[LoadJob]
) -> list[JobRecord]:
    """Submits jobs at their arrival times and waits for all answers.

    Args:
        urls: Base URLs of the entries, used round-robin.
        deployment: The system under load.
        jobs: The jobs in order of arrival.

    Returns:
        A record for each job.
    """
    start_s = time.monotonic() + 0.1
    with ThreadPoolExecutor(MAX_CALLERS) as pool:
        futures = []
        for index, job in enumerate(jobs):
            delay_s = start_s + job.arrival_s - time.monotonic()
            if delay_s > 0:
                time.sleep(delay_s)
            url = urls[index % len(urls)]
            futures.append(pool.submit(_submit, url, deployment, job, start_s))
        return [future.result() for future in futures]


def _submit(
    url: str, deployment: Deployment, job: LoadJob, start_s: float
) -> JobRecord:
    body = {
        "service": deployment.service,
        "team": job.team,
        "kind": "broken" if job.always_fails else "usual",
        "deadline_s": deployment.workload.deadline_s,
        "declared_task_s": job.declared_task_s,
        "tasks": [
            {"payload": {"run_s": run_s, "fail": job.always_fails}}
            for run_s in job.task_run_s
        ],
    }
    transfer = Transfer()
    reply = transfer.perform(
        "POST",
        f"{url}/v1/jobs",
        msgspec.json.encode(body),
        deployment.workload.deadline_s + 10.0,
        JSON_HEADERS,
    )
    transfer.close()
    response_s = time.monotonic() - start_s - job.arrival_s
    status, not_run = 0, False
    if isinstance(reply, Reply):
        status = reply.status
        not_run = status >= 400 and b'"not_run":true' in reply.body
    return JobRecord(
        job, ideal_response_s(deployment, job), response_s, status, not_run
    )
