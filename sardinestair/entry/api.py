"""The HTTP API through which callers submit and fetch jobs."""

import asyncio
from collections.abc import Callable

import msgspec
from expression import Error, Result

from sardinestair.entry.dispatcher import Dispatcher
from sardinestair.entry.forwarding import (
    FORWARDED_HEADER,
    ForwardedReply,
    Forwarder,
)
from sardinestair.entry.submission import (
    EARLIER_RUNS_ACTIVE,
    OWNED_ELSEWHERE,
)
from sardinestair.event_loop import EventLoop, wait_for_result
from sardinestair.ids import (
    JobId,
    format_job_id,
    job_id_time_s,
    parse_job_id,
)
from sardinestair.jobs import Job, JobState, parse_request
from sardinestair.jobs.job import TaskAnswer
from sardinestair.jobs.request import ParsedRequest
from sardinestair.limits.budget import JobReservation, TeamBudgets
from sardinestair.limits.money import Micros
from sardinestair.membership import Peer
from sardinestair.observability import EventLog
from sardinestair.outcomes import Problem, ProblemKind
from sardinestair.web import (
    JSON_TYPE,
    PROBLEM_TYPE,
    Request,
    Response,
    Rule,
    json_response,
    problem_response,
)

__all__ = ["CallerApi"]

# Only a backstop: the timer fails every job at its deadline.
ANSWER_GRACE_S = 5.0
FORWARD_TIMEOUT_S = 310.0
# No caller resubmits after a lost answer sooner than this, so a younger id is
# not looked up at other entries.
MIN_RESUBMISSION_AGE_S = 0.25
# A job may change its owner while it is forwarded.
MAX_TAKEOVERS = 5
# Decoding a larger body may hold the event loop for over 5 ms, if it has very
# many short fields.
MAX_INLINE_BYTES = 64 << 10


class CallerApi:
    """Handlers for submitting, fetching and cancelling jobs.

    Args:
        dispatcher: The entry's dispatcher.
        event_loop: The loop in which the handlers run.
        peers: Returns the other entries that have answered recently.
        budgets: Reserves the teams' budgets; None without a store.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        event_loop: EventLoop,
        peers: Callable[[], list[Peer]],
        budgets: TeamBudgets | None = None,
    ):
        self.budgets = budgets
        self.dispatcher = dispatcher
        self.event_loop = event_loop
        self.peers = peers
        self.forwarder = Forwarder()
        # Decoding holds the interpreter, so more threads would only delay the
        # event loop and others who need one.
        self.decoding = asyncio.Semaphore(1)
        self.log = EventLog("api")

    def rules(self) -> list[Rule]:
        """Returns the URL rules with their methods and handlers."""
        return [
            ("/v1/jobs", ["POST"], self.submit),
            ("/v1/jobs/<job_id>", ["GET"], self.fetch),
            ("/v1/jobs/<job_id>", ["DELETE"], self.cancel),
        ]

    async def submit(self, request: Request) -> Response:
        """Submits a job, and waits for its answer.

        With `Prefer: respond-async` it returns the progress at once.
        """
        body = request.body
        if len(body) > MAX_INLINE_BYTES:
            async with self.decoding:
                parsed = await self.event_loop.run_blocking(parse_request, body)
        else:
            parsed = parse_request(body)
        if parsed.is_error():
            return problem_response(parsed.error)
        forwarded = await self._forward_resubmission(request, parsed.ok, body)
        if forwarded is not None:
            return forwarded
        submitted = await self._submit_as_owner(request, parsed.ok, body)
        if isinstance(submitted, Response):
            return submitted
        if submitted.is_error():
            if submitted.error is EARLIER_RUNS_ACTIVE:
                with self.dispatcher.lock:
                    self.dispatcher.record_refusal(
                        parsed.ok, EARLIER_RUNS_ACTIVE
                    )
            job_id = format_job_id(parsed.ok.job_id)
            return problem_response(submitted.error, job_id)
        job = submitted.ok
        if parsed.ok.request.unrepeatable:
            await wait_for_result(
                self.event_loop, job.claimed, self._answer_timeout_s(job)
            )
            if not (job.claimed.done() and job.claimed.result()):
                return await self._claim_refused_response(request, job, body)
        if "respond-async" in request.headers.get("Prefer", ""):
            response = self._progress_response(job)
            response.headers["Location"] = f"/v1/jobs/{_format_id(job)}"
            return response
        return await self._wait_for_answer(job)

    async def _submit_as_owner(
        self, request: Request, parsed: ParsedRequest, body: bytes
    ) -> Result[Job, Problem] | Response:
        """Submits a job once this entry owns it.

        A job that has not ended without success at another entry is forwarded
        to it.
        """
        takeover = self.dispatcher.takeover
        await takeover.catch_up()
        for _ in range(MAX_TAKEOVERS):
            submitted = await self._reserve_and_submit(parsed)
            is_elsewhere = (
                submitted.is_error() and submitted.error is OWNED_ELSEWHERE
            )
            if not is_elsewhere or FORWARDED_HEADER in request.headers:
                return submitted
            settled = await takeover.settle(parsed, lambda: False, True)
            if settled.is_error():
                return Error(settled.error)
            if settled.ok is None:
                continue
            reply = await self._forward_to(settled.ok.owner, body)
            if reply is not None:
                return _relayed_response(reply)
        return Error(OWNED_ELSEWHERE)

    async def _forward_to(
        self, endpoint: str, body: bytes
    ) -> ForwardedReply | None:
        """Forwards a submission to the entry with a membership endpoint."""
        for peer in self.peers():
            if peer.endpoint == endpoint:
                return await self.forwarder.forward(
                    "POST",
                    peer.http_address,
                    "/v1/jobs",
                    body,
                    FORWARD_TIMEOUT_S,
                )
        return None

    async def _reserve_and_submit(
        self, parsed: ParsedRequest
    ) -> Result[Job, Problem]:
        """Reserves the maximum cost of a job, and submits it."""
        dispatcher, request = self.dispatcher, parsed.request
        if (
            self.budgets is None
            or dispatcher.admission_controller.monthly_budget(request.team)
            is None
        ):
            return dispatcher.submit(parsed)
        tasks = len(request.tasks)
        limit = dispatcher.admission_controller.max_task_cost(request)
        total = Micros(limit * tasks)
        # It may have to reserve a slice in the store.
        reserved = await self.event_loop.run_blocking(
            self.budgets.reserve, request.team, total
        )
        if reserved.is_error():
            with dispatcher.lock:
                dispatcher.record_refusal(parsed, reserved.error)
            return Error(reserved.error)
        charge = JobReservation(self.budgets, request.team, tasks, limit)
        submitted = dispatcher.submit(parsed, charge)
        if submitted.is_error() or submitted.ok.reservation is not charge:
            charge.release(tasks)
        return submitted

    async def fetch(self, request: Request, job_id: str) -> Response:
        """Returns a job's answer, or its progress while it is active."""
        found = await self._find_job(request, job_id)
        if isinstance(found, Response):
            return found
        if found.is_active and "wait" in request.args:
            return await self._wait_for_answer(found)
        if found.is_active:
            return self._progress_response(found)
        return self._answer_response(found)

    async def cancel(self, request: Request, job_id: str) -> Response:
        """Cancels a job; a job that has ended keeps its answer."""
        found = await self._find_job(request, job_id)
        if isinstance(found, Response):
            return found
        self.dispatcher.cancel(found.job_id)
        await self.dispatcher.takeover.withdraw(found.job_id)
        if found.state is JobState.CANCELLED:
            body = {"id": _format_id(found), "state": found.state.value}
            return json_response(body)
        return self._answer_response(found)

    async def _find_job(self, request: Request, text: str) -> Job | Response:
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
        forwarded = await self._forward_to_owner(request, job_id)
        if forwarded is not None:
            return forwarded
        problem = Problem(
            ProblemKind.UNKNOWN_JOB,
            "none of the reachable entries knows the job",
            not_run=False,
        )
        return problem_response(problem, text)

    async def _forward_to_owner(
        self, request: Request, job_id: JobId
    ) -> Response | None:
        if FORWARDED_HEADER in request.headers:
            return None
        owner = await self.forwarder.find_owner(job_id, self.peers())
        if owner is None:
            return None
        reply = await self.forwarder.forward(
            request.method,
            owner.http_address,
            request.target,
            b"",
            FORWARD_TIMEOUT_S,
        )
        return _relayed_response(reply) if reply is not None else None

    async def _forward_resubmission(
        self, request: Request, parsed: ParsedRequest, body: bytes
    ) -> Response | None:
        """Forwards a resubmission to the entry that has the job, if any."""
        if (
            parsed.request.id is None
            or parsed.request.unrepeatable
            or FORWARDED_HEADER in request.headers
            or self.dispatcher.find(parsed.job_id) is not None
            or self.dispatcher.directory.find(parsed.job_id) is not None
        ):
            return None
        now_s = self.dispatcher.clock.now().timestamp()
        if now_s - job_id_time_s(parsed.job_id) < MIN_RESUBMISSION_AGE_S:
            return None
        owner = await self.forwarder.find_owner(parsed.job_id, self.peers())
        if owner is None:
            return None
        reply = await self.forwarder.forward(
            "POST", owner.http_address, "/v1/jobs", body, FORWARD_TIMEOUT_S
        )
        return _relayed_response(reply) if reply is not None else None

    async def _claim_refused_response(
        self, request: Request, job: Job, body: bytes
    ) -> Response:
        """Answers for a job whose claim was refused.

        The answer comes from the entry that holds the claim, if it replies.
        """
        own = self.dispatcher.incarnation.hex()
        claim = job.claim
        is_elsewhere = claim is not None and claim.entry != own
        if is_elsewhere and FORWARDED_HEADER not in request.headers:
            assert claim is not None
            reply = await self.forwarder.forward_submission(
                claim, body, FORWARD_TIMEOUT_S
            )
            if reply is not None:
                return _relayed_response(reply)
        if job.is_active:
            self.log.error("answer_overdue", job=_format_id(job))
            return self._progress_response(job)
        return self._answer_response(job)

    def _answer_timeout_s(self, job: Job) -> float:
        now_s = self.dispatcher.clock.monotonic()
        return max(0.0, job.deadline_s - now_s + ANSWER_GRACE_S)

    async def _wait_for_answer(self, job: Job) -> Response:
        timeout_s = self._answer_timeout_s(job)
        if not await wait_for_result(self.event_loop, job.done, timeout_s):
            self.log.error("answer_overdue", job=_format_id(job))
            return self._progress_response(job)
        self.dispatcher.recorder.way.record_answer(job)
        return self._answer_response(job)

    def _progress_response(self, job: Job) -> Response:
        if not job.is_active:
            return self._answer_response(job)
        body = {
            "id": _format_id(job),
            "state": job.state.value,
            "tasks": job.task_count,
            "answered": job.answered,
        }
        return json_response(body, 202)

    def _answer_response(self, job: Job) -> Response:
        answer = job.done.result()
        if answer.is_error():
            return problem_response(answer.error, _format_id(job))
        results = [_result_json(task_answer) for task_answer in answer.ok]
        body = {
            "id": _format_id(job),
            "state": job.state.value,
            "results": results,
        }
        return json_response(body)


def _format_id(job: Job) -> str:
    return format_job_id(job.job_id)


def _relayed_response(reply: ForwardedReply) -> Response:
    is_problem = reply.status >= 400
    mimetype = PROBLEM_TYPE if is_problem else JSON_TYPE
    return Response(reply.body, reply.status, mimetype)


def _result_json(answer: TaskAnswer) -> msgspec.Raw | str:
    if answer.is_json:
        return msgspec.Raw(answer.body)
    return answer.body.decode("utf-8", "replace")
