"""HTTP API of an entry for the platform's clients."""

import math

import msgspec

from sardinestair.decoding import limit_objects
from sardinestair.entry.dispatcher import Dispatcher
from sardinestair.entry.resubmission import submit_after_earlier_runs
from sardinestair.entry.routing import find_route
from sardinestair.entry.submission import WITHDRAWN
from sardinestair.entry.takeover import CALLER_LEFT, ElsewhereJob
from sardinestair.event_loop import EventLoop, wait_for_result
from sardinestair.ids import JobId
from sardinestair.jobs import Job, JobRequest, JobState
from sardinestair.jobs.request import ParsedRequest, make_tasks, request_digest
from sardinestair.messages import DECODE_ERRORS
from sardinestair.observability import EventLog
from sardinestair.outcomes import Problem, ProblemKind
from sardinestair.platform.names import format_job_name, parse_job_name
from sardinestair.platform.wire import Step, SubmittedJob
from sardinestair.settings.tree import RouteNode
from sardinestair.web import (
    Request,
    Response,
    Rule,
    json_response,
    retry_after,
)

__all__ = ["ClientApi"]

MS_PER_S = 1000.0
# A timer fails jobs at their deadline; the grace period only matters if the
# timer is late.
RESPONSE_GRACE_S = 1.0
DEADLINE_HEADER = "X-Deadline-Ms"
# A request of a few bytes may ask for any number of tasks.
MAX_TASKS = 10_000
# More than one isn't supported; this bounds the time until they are refused.
MAX_STEPS = 1000
# All clients of a deployment share one client account.
CLIENT_TEAM = "clients"

_STATE_NAMES = {
    JobState.ACTIVE: "in_progress",
    JobState.COMPLETE: "completed",
    JobState.FAILED: "failed",
    JobState.CANCELLED: "canceled",
}

# Problems of jobs in a final state, which are answered with status 200 and the
# state, so that the client does not submit the job again.
_FINAL_PROBLEMS = frozenset({ProblemKind.FAILED, ProblemKind.CANCELLED})

# Statuses which guarantee to the client that the job will not run.
_NOT_RUN_STATUSES = frozenset({429, 503})


class ClientApi:
    """Request handlers for clients.

    Args:
        dispatcher: Dispatcher of the entry.
        event_loop: The loop in which the handlers run.
    """

    def __init__(self, dispatcher: Dispatcher, event_loop: EventLoop):
        self.dispatcher = dispatcher
        self.event_loop = event_loop
        self.decoder = msgspec.json.Decoder(SubmittedJob)
        self.log = EventLog("clients")

    def rules(self) -> list[Rule]:
        """Returns the URL rules; queues are looked up by host and path."""
        methods = ["GET", "POST", "DELETE"]
        return [
            ("/", methods, self.handle),
            ("/<path:_path>", methods, self.handle),
        ]

    def check_header(self, request: Request) -> Response | None:
        """Refuses a request whose path names no job, before its body."""
        found = self._find_job_path(request)
        return found if isinstance(found, Response) else None

    async def handle(self, request: Request, _path: str = "") -> Response:
        """Handles a request for a queue or for one of its jobs."""
        found = self._find_job_path(request)
        if isinstance(found, Response):
            return found
        route, job_id = found
        if job_id is None:
            return json_response({"pending": self._count_pending(route)})
        handlers = {
            "POST": self._submit,
            "GET": self._get_state,
            "DELETE": self._cancel,
        }
        return await handlers[request.method](request, route, job_id)

    def _find_job_path(
        self, request: Request
    ) -> tuple[RouteNode, JobId | None] | Response:
        """Returns the route and the job of a path, or a refusal.

        The job is None for a GET of the queue.
        """
        tree = self.dispatcher.tree
        if tree is None:
            return self._refusal_response(
                request, 503, "no configuration yet", 1.0
            )
        route = find_route(tree.routes.values(), request.host, request.path)
        if route is None:
            return self._refusal_response(request, 404, "no such queue")
        name = request.path[len(route.prefix) :]
        if request.method == "GET" and not name:
            return route, None
        try:
            return route, parse_job_name(name)
        except ValueError as error:
            return self._refusal_response(request, 404, str(error))

    def _count_pending(self, route: RouteNode) -> int:
        with self.dispatcher.lock:
            state = self.dispatcher.services.get(route.service)
            return state.queue.count_not_started(route.kind) if state else 0

    async def _get_state(
        self, _request: Request, _route: RouteNode, job_id: JobId
    ) -> Response:
        job = self.dispatcher.find(job_id)
        if job is None:
            return json_response({}, 410)
        return json_response({"state": _state_name(job)})

    async def _cancel(
        self, _request: Request, _route: RouteNode, job_id: JobId
    ) -> Response:
        job = self.dispatcher.cancel(job_id)
        await self.dispatcher.takeover.withdraw(job_id)
        if job is None:
            return json_response({}, 410)
        return json_response({"state": _state_name(job)})

    async def _submit(
        self, request: Request, route: RouteNode, job_id: JobId
    ) -> Response:
        connection = request.connection
        try:
            with limit_objects(MAX_STEPS) as counter:
                submitted = self.decoder.decode(request.body)
        except DECODE_ERRORS as error:
            status = 503 if counter.too_many else 400
            return self._refusal_response(request, status, str(error))
        unsupported = _find_unsupported(submitted)
        if unsupported:
            return self._refusal_response(
                request, 503, f"{unsupported} is not supported"
            )
        parsed = ParsedRequest(
            job_id,
            _to_request(submitted, route, request),
            request_digest(request.body),
        )
        accepted = await submit_after_earlier_runs(
            self.dispatcher,
            parsed,
            lambda: connection is not None and connection.has_left(),
        )
        if accepted.is_error():
            if accepted.error is CALLER_LEFT:
                return self._refusal_response(request, 503, CALLER_LEFT.detail)
            if accepted.error is WITHDRAWN:
                return json_response(
                    {"state": _STATE_NAMES[JobState.CANCELLED]}
                )
            return self._problem_response(accepted.error)
        if isinstance(accepted.ok, ElsewhereJob):
            return json_response({"state": _STATE_NAMES[accepted.ok.state]})
        return await self._wait_for_job(request, accepted.ok)

    async def _wait_for_job(self, request: Request, job: Job) -> Response:
        connection = request.connection
        if connection is not None:
            connection.on_disconnect(lambda: self._on_disconnect(job))
        left_s = job.deadline_s - self.dispatcher.clock.monotonic()
        timeout_s = max(0.0, left_s) + RESPONSE_GRACE_S
        is_done = await wait_for_result(self.event_loop, job.done, timeout_s)
        if connection is not None:
            connection.on_disconnect(None)
        if not is_done:
            self.log.error("answer_overdue", job=format_job_name(job.job_id))
            return json_response({"state": _state_name(job)}, 504)
        self.dispatcher.recorder.way.record_answer(job)
        return self._job_response(job)

    def _on_disconnect(self, job: Job) -> None:
        self.log.info(
            "client_left",
            job=format_job_name(job.job_id),
            age_s=self.dispatcher.clock.monotonic() - job.accepted_s,
        )
        self.dispatcher.handle_caller_disconnect(job)

    def _job_response(self, job: Job) -> Response:
        result = job.done.result()
        if result.is_ok() or result.error.kind in _FINAL_PROBLEMS:
            return json_response({"state": _state_name(job)})
        return self._problem_response(result.error)

    def _problem_response(self, problem: Problem) -> Response:
        status = problem.status
        if status in _NOT_RUN_STATUSES and not problem.not_run:
            # These statuses would wrongly guarantee that it will not run.
            status = ProblemKind.LOST.status
        response = json_response(
            {"reason": problem.kind.value, "detail": problem.detail}, status
        )
        if problem.retry_after_s is not None:
            response.headers["Retry-After"] = retry_after(problem)
        return response

    def _refusal_response(
        self,
        request: Request,
        status: int,
        reason: str,
        retry_after_s: float | None = None,
    ) -> Response:
        self.log.info(
            "request_refused",
            method=request.method,
            path=request.path,
            status=status,
            reason=reason,
        )
        response = json_response({"reason": reason}, status)
        if retry_after_s is not None:
            response.headers["Retry-After"] = str(max(1, int(retry_after_s)))
        return response


def _state_name(job: Job) -> str:
    is_waiting = job.is_active and not (job.in_flight or job.may_have_run)
    return "queued" if is_waiting else _STATE_NAMES[job.state]


def _find_unsupported(job: SubmittedJob) -> str:
    """Returns the first unsupported feature that a job requests, or ""."""
    step = job.steps[0]
    requested = {
        f"a step of over {MAX_TASKS} tasks": step.count > MAX_TASKS,
        "a durable job": not job.best_effort,
        "a job with several steps": len(job.steps) > 1,
        "a scheduled job": job.repeat_count > 0,
        "a long-running job": job.is_long_running,
        **_unsupported_in_step(step),
    }
    return next(
        (name for name, is_requested in requested.items() if is_requested), ""
    )


def _unsupported_in_step(step: Step) -> dict[str, bool]:
    return {
        "gang scheduling": step.is_gang,
        "placement on one rack": step.needs_same_rack,
        "a required label": bool(step.required_label),
        "a task limit per runner": step.max_per_server > 0,
        "a long-running step": step.is_long_running,
        "use of leftover CPU": step.uses_leftover_cpu,
    }


def _parse_deadline_ms(request: Request) -> float | None:
    """Returns how long the client waits, or None if it does not say."""
    try:
        deadline_ms = float(request.headers.get(DEADLINE_HEADER))
    except ValueError:
        return None
    is_valid = 0 < deadline_ms < math.inf
    return deadline_ms if is_valid else None


def _to_request(
    job: SubmittedJob, route: RouteNode, request: Request
) -> JobRequest:
    step = job.steps[0]
    deadline_ms = _parse_deadline_ms(request)
    estimated_s = step.estimated_ms / MS_PER_S
    return JobRequest(
        service=route.service,
        team=CLIENT_TEAM,
        tasks=make_tasks(msgspec.json.encode(job.spec), step.count),
        kind=route.kind,
        deadline_s=deadline_ms / MS_PER_S if deadline_ms else None,
        declared_task_s=estimated_s or None,
        need=step.to_resources(),
        best_effort=True,
        rack=step.preferred_rack,
    )
