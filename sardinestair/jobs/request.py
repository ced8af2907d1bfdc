"""Parsing and validation of job requests."""

import hashlib
from typing import Annotated

import msgspec
from expression import Error, Ok, Result
from msgspec import Meta

from sardinestair.decoding import count_object, limit_objects
from sardinestair.ids import JobId, new_job_id, parse_job_id
from sardinestair.limits.resources import Resources
from sardinestair.messages import DECODE_ERRORS
from sardinestair.outcomes import Problem, ProblemKind

__all__ = [
    "MAX_TASKS",
    "JobRequest",
    "ParsedRequest",
    "make_tasks",
    "parse_request",
    "request_digest",
]

MAX_TASKS = 930
_NAME_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$"


class TaskRequest(msgspec.Struct, forbid_unknown_fields=True):
    """A task of a job request.

    Attributes:
        payload: Any JSON value; passed to the upstream unchanged.
    """

    payload: msgspec.Raw

    def __post_init__(self) -> None:
        """Counts the task, so that decoding ends at the first one too many.

        Raises:
            ValueError: If there are too many.
        """
        count_object()


class JobRequest(msgspec.Struct, forbid_unknown_fields=True):
    """A job as a caller submits it.

    Attributes:
        service: Name of the service.
        team: The caller's team.
        tasks: The tasks of the job.
        id: Idempotency key, a UUID of version 7; generated if absent.
        kind: The kind of job, which selects settings and estimates.
        deadline_s: Deadline in seconds from now; the service's default if
            absent.
        unrepeatable: True if the job must run at most once, whatever fails.
        declared_task_s: Run time of a task in seconds, as estimated by the
            caller.
        need: Resources that each task needs on an upstream with a capacity.
        best_effort: True if no state of the job needs to be kept after its
            answer. If it ended without success, it may be submitted again
            under the same id, and then runs again from the start.
        rack: Rack on which the tasks run faster, or empty if there is none.
    """

    service: Annotated[str, Meta(pattern=_NAME_PATTERN)]
    team: Annotated[str, Meta(pattern=_NAME_PATTERN)]
    tasks: Annotated[list[TaskRequest], Meta(min_length=1)]
    id: str | None = None
    kind: Annotated[str, Meta(pattern=_NAME_PATTERN)] = "default"
    deadline_s: Annotated[float, Meta(gt=0, le=3600)] | None = None
    unrepeatable: bool = False
    declared_task_s: Annotated[float, Meta(gt=0, le=3600)] | None = None
    need: Resources | None = None
    best_effort: bool = False
    rack: Annotated[str, Meta(max_length=63)] = ""

    @property
    def payloads(self) -> list[bytes]:
        """Request bodies for the upstream, one per task."""
        return [bytes(task.payload) for task in self.tasks]


class ParsedRequest(msgspec.Struct):
    """A valid job request.

    Attributes:
        job_id: The id given by the caller, or a generated one.
        request: The request.
        digest: Hash of the request body.
        is_resubmittable: True if its caller knows the id, and may submit it
            again at any entry.
    """

    job_id: JobId
    request: JobRequest
    digest: bytes
    is_resubmittable: bool = True


_DECODER = msgspec.json.Decoder(JobRequest)


def parse_request(body: bytes) -> Result[ParsedRequest, Problem]:
    """Parses and validates the body of a submission.

    Args:
        body: Request body as JSON text.

    Returns:
        The request, or a problem that names the invalid field and the rule.

    Examples:
        >>> parse_request(b'{"service": "quotes"}').error.detail
        'Object missing required field `team`'
    """
    with limit_objects(MAX_TASKS) as limit:
        try:
            request = _DECODER.decode(body)
        except DECODE_ERRORS as error:
            if limit.too_many:
                return Error(_too_many_tasks())
            return Error(_invalid_request(str(error)))
    if request.unrepeatable and request.best_effort:
        rule = "unrepeatable and best_effort are mutually exclusive"
        return Error(_invalid_request(f"{rule} - at `$.best_effort`"))
    try:
        job_id = parse_job_id(request.id) if request.id else new_job_id()
    except ValueError as error:
        return Error(_invalid_request(f"{error} - at `$.id`"))
    is_resubmittable = request.id is not None and not request.unrepeatable
    digest = request_digest(body)
    return Ok(ParsedRequest(job_id, request, digest, is_resubmittable))


def request_digest(body: bytes) -> bytes:
    """Returns the hash of a body, used to recognise a resubmission."""
    return hashlib.blake2b(body, digest_size=16).digest()


def make_tasks(payload: bytes, count: int) -> list[TaskRequest]:
    """Returns a list of tasks with the same payload."""
    return [TaskRequest(msgspec.Raw(payload))] * count


def _too_many_tasks() -> Problem:
    return Problem(
        ProblemKind.TOO_LARGE,
        f"tasks must number 1 to {MAX_TASKS}",
        not_run=True,
        field="tasks",
    )


def _invalid_request(message: str) -> Problem:
    field = (
        message.rpartition("`$.")[2].rstrip("`") if "`$." in message else None
    )
    return Problem(ProblemKind.INVALID, message, not_run=True, field=field)
