"""The callers' HTTP API of an entry."""

from concurrent.futures import TimeoutError as FutureTimeoutError

import msgspec

from sardinestair.entry.dispatcher import Dispatcher
from sardinestair.ids import JobId, format_job_id, parse_job_id
from sardinestair.jobs import Job, JobState, parse_request
from sardinestair.jobs.job import TaskAnswer
from sardinestair.observability import EventLog
from sardinestair.outcomes import Problem, ProblemKind
from sardinestair.web import (
    Handler,
    Request,
    Response,
    json_response,
    problem_response,
)

__all__ = ["CallerApi"]

# The timer ends every job at its deadline; this is only a backstop.
ANSWER_GRACE_S = 5.0


class CallerApi:
    """Handlers for submitting, fetching and cancelling jobs.

    Args:
        dispatcher: The entry's aggregate.
    """

    def __init__(self, dispatcher: Dispatcher):
        self.dispatcher = dispatcher
        self.log = EventLog("api")

    def rules(self) -> list[tuple[str, list[str], Handler]]:
        """Returns the routes."""
        return [
            ("/v1/jobs", ["POST"], self.submit),
            ("/v1/jobs/<job_id>", ["GET"], self.fetch),
            ("/v1/jobs/<job_id>", ["DELETE"], self.cancel),
        ]

    def submit(self, request: Request) -> Response:
        """Takes a job, and waits for its answer unless told not to."""
        parsed = parse_request(request.get_data(cache=False))
        if parsed.is_error():
            return problem_response(parsed.error)
        submitted = self.dispatcher.submit(parsed.ok)
        if submitted.is_error():
            job_id = format_job_id(parsed.ok.job_id)
            return problem_response(submitted.error, job_id)
        job = submitted.ok
        if "respond-async" in request.headers.get("Prefer", ""):
            response = self._progress(job)
            response.headers["Location"] = f"/v1/jobs/{_text(job)}"
            return response
        return self._wait(job)

    def fetch(self, request: Request, job_id: str) -> Response:
        """Returns a job's answer, or its progress."""
        found = self._find(job_id)
        if isinstance(found, Response):
            return found
        if found.is_active and "wait" in request.args:
            return self._wait(found)
        if found.is_active:
            return self._progress(found)
        return self._answer(found)

    def cancel(self, _request: Request, job_id: str) -> Response:
        """Cancels a job; one that has ended keeps its answer."""
        found = self._find(job_id)
        if isinstance(found, Response):
            return found
        self.dispatcher.cancel(found.job_id)
        if found.state is JobState.CANCELLED:
            body = {"id": _text(found), "state": found.state.value}
            return json_response(body)
        return self._answer(found)

    def _find(self, text: str) -> Job | Response:
        try:
            job_id: JobId = parse_job_id(text)
        except ValueError as error:
            problem = Problem(
                ProblemKind.INVALID, str(error), not_run=True, field="id"
            )
            return problem_response(problem)
        job = self.dispatcher.find(job_id)
        if job is not None:
            return job
        problem = Problem(
            ProblemKind.UNKNOWN_JOB,
            "this entry does not know the job",
            not_run=False,
        )
        return problem_response(problem, text)

    def _wait(self, job: Job) -> Response:
        clock = self.dispatcher.clock
        timeout_s = job.deadline_s - clock.monotonic() + ANSWER_GRACE_S
        try:
            job.done.result(timeout=max(0.0, timeout_s))
        except FutureTimeoutError:
            self.log.error("answer_overdue", job=_text(job))
            return self._progress(job)
        return self._answer(job)

    def _progress(self, job: Job) -> Response:
        if not job.is_active:
            return self._answer(job)
        body = {
            "id": _text(job),
            "state": job.state.value,
            "tasks": job.size,
            "answered": job.answered,
        }
        return json_response(body, 202)

    def _answer(self, job: Job) -> Response:
        answer = job.done.result()
        if answer.is_error():
            return problem_response(answer.error, _text(job))
        results = [_result(task_answer) for task_answer in answer.ok]
        body = {
            "id": _text(job),
            "state": job.state.value,
            "results": results,
        }
        return json_response(body)


def _text(job: Job) -> str:
    return format_job_id(job.job_id)


def _result(answer: TaskAnswer) -> msgspec.Raw | str:
    if answer.is_json:
        return msgspec.Raw(answer.body)
    return answer.body.decode("utf-8", "replace")
