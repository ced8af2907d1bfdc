"""Errors of requests, as values.

A rejection or failure is returned as a `Problem` in an `expression.Result`;
exceptions are reserved for violated invariants.
"""

import enum

import msgspec

__all__ = ["Problem", "ProblemKind", "RefusalReason"]


class ProblemKind(enum.Enum):
    """Why a request failed; each kind has an HTTP status."""

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
        """The HTTP status of the problem."""
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


class RefusalReason(enum.Enum):
    """Why admission by class refused a job."""

    INFEASIBLE = "infeasible"
    FAIR_SHARE = "fair-share"


class Problem(msgspec.Struct, frozen=True):
    """A problem document as defined in RFC 9457.

    Attributes:
        kind: The kind of problem.
        detail: Human-readable explanation.
        not_run: True only if no task of the request has run or ever will.
        field: The invalid request field, if any.
        retry_after_s: Delay after which a retry may succeed, in seconds.
        reason: Why admission by class refused the job; for logs and metrics.

    Examples:
        >>> Problem(ProblemKind.OVERLOADED, "queue full", not_run=True).status
        429
    """

    kind: ProblemKind
    detail: str
    not_run: bool
    field: str | None = None
    retry_after_s: float | None = None
    reason: RefusalReason | None = None

    @property
    def status(self) -> int:
        """The HTTP status of the document."""
        return self.kind.status

    def to_document(self, job: str | None = None) -> dict[str, object]:
        """Returns the document as a JSON object.

        Args:
            job: The text form of the job id, if there is one.

        Returns:
            The members of the problem document, without absent ones.
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
