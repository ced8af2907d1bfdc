"""Jobs: requests, state from acceptance to the end, and the registry."""

from sardinestair.jobs.crashes import CrashHistory
from sardinestair.jobs.job import Answer, Job, JobState
from sardinestair.jobs.ownership import JobDirectory
from sardinestair.jobs.registry import JobRegistry
from sardinestair.jobs.request import JobRequest, parse_request
from sardinestair.jobs.withdrawn import WithdrawnJobs

__all__ = [
    "Answer",
    "CrashHistory",
    "Job",
    "JobDirectory",
    "JobRegistry",
    "JobRequest",
    "JobState",
    "WithdrawnJobs",
    "parse_request",
]
