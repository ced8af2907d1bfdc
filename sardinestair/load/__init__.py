"""Workload models, and an open-loop load generator for running systems."""

from sardinestair.load.report import LoadReport, summarize
from sardinestair.load.runner import JobRecord, run_load
from sardinestair.load.workload import (
    Deployment,
    LoadJob,
    generate_jobs,
    ideal_response_s,
)

__all__ = [
    "Deployment",
    "JobRecord",
    "LoadJob",
    "LoadReport",
    "generate_jobs",
    "ideal_response_s",
    "run_load",
    "summarize",
]
