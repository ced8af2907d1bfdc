"""Outcomes of requests, as values.

A refusal or failure travels as a `Problem` inside an `expression.Result`;
exceptions are left to broken invariants.
"""

import enum

import msgspec

__all__ = ["Problem", "ProblemKind"]


class ProblemKind(enum.Enum):
    """Why a request has no answer, with its HTTP status."""

    INVALID = "invalid-request"
    UNKNOWN_SERVICE = "unknown-service"
    UNKNOWN_JOB = "unknown-job"
    TOO_LARGE = "too-large"
    CONFLICT = "conflict"
    OVERLOADED = "overloaded"
    QUOTA = "quota-exceeded"
    BUDGET = "budget-exhausted"
    UNAVAILABLE = "unavailable"
    DRAINING = "draining"
    FAILED = "job-failed"
    LOST = "outcome-unknown"
    DEADLINE = "deadline-exceeded"
    CANCELLED = "cancelled"

    @property
    def status(self) -> int:
        """The HTTP status that goes with the problem."""
        return _HTTP_STATUS[self]


_HTTP_STATUS = {
    ProblemKind.INVALID: 400,
    ProblemKind.UNKNOWN_SERVICE: 404,
    ProblemKind.UNKNOWN_JOB: 404,
    ProblemKind.TOO_LARGE: 413,
    ProblemKind.CONFLICT: 409,
    ProblemKind.OVERLOADED: 429,
    ProblemKind.QUOTA: 429,
    ProblemKind.BUDGET: 429,
    ProblemKind.UNAVAILABLE: 503,
    ProblemKind.DRAINING: 503,
    ProblemKind.FAILED: 502,
    ProblemKind.LOST: 502,
    ProblemKind.DEADLINE: 504,
    ProblemKind.CANCELLED: 409,
}


class Problem(msgspec.Struct, frozen=True):
    """A problem document in the sense of RFC 9457.

    Attributes:
        kind: The class of problem.
        detail: What happened, for people.
        not_run: True only if no task of the request has run or ever will.
        field: The request field at fault, if one is.
        retry_after_s: When a repeated request may succeed, in seconds.

    Examples:
        >>> Problem(ProblemKind.OVERLOADED, "queue full", not_run=True).status
        429
    """

    kind: ProblemKind
    detail: str
    not_run: bool
    field: str | None = None
    retry_after_s: float | None = None

    @property
    def status(self) -> int:
        """The HTTP status of the document."""
        return self.kind.status

    def to_document(self, job: str | None = None) -> dict[str, object]:
        """Returns the document as a JSON object.

        Args:
            job: The text form of the job id, if there is one.

        Returns:
            The members of the problem document; absent ones left out.
        """
        document: dict[str, object] = {
            "type": f"urn:sardinestair:problem:{self.kind.value}",
            "title": self.kind.value.replace("-", " "),
            "status": self.status,
            "detail": self.detail,
            "not_run": self.not_run,
        }
        optional = {
            "field": self.field,
            "retry_after_s": self.retry_after_s,
            "job": job,
        }
        document.update({k: v for k, v in optional.items() if v is not None})
        return document
