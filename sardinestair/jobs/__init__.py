"""Jobs: from acceptance to a whole answer or a failure."""

from sardinestair.jobs.job import Answer, Job, JobState
from sardinestair.jobs.registry import JobRegistry
from sardinestair.jobs.request import JobRequest, parse_request

__all__ = [
    "Answer",
    "Job",
    "JobRegistry",
    "JobRequest",
    "JobState",
    "parse_request",
]
