"""A model of the systems served, and open-loop load against a running one."""

from sardinestair.load.report import LoadReport, summarize
from sardinestair.load.runner import JobRecord, run_load
from sardinestair.load.workload import Deployment, LoadJob, generate, ideal_s

__all__ = [
    "Deployment",
    "JobRecord",
    "LoadJob",
    "LoadReport",
    "generate",
    "ideal_s",
    "run_load",
    "summarize",
]
