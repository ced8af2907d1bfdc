"""Names of jobs and machines on the platform."""

from collections.abc import Iterable

from sardinestair.ids import JobId

__all__ = ["job_name", "link_endpoints", "parse_job_name"]

NAME_BYTES = 8
_PADDING = bytes(8)


def parse_job_name(text: str) -> JobId:
    """Returns the job id for a name that a client has chosen.

    Args:
        text: 16 hexadecimal digits.

    Raises:
        ValueError: If the text is anything else.

    Examples:
        >>> parse_job_name("5c0e7a21d94b36f8").hex()
        '00000000000000005c0e7a21d94b36f8'
    """
    if len(text) != 2 * NAME_BYTES or not text.isalnum():
        raise ValueError(f"job must be 16 hexadecimal digits, got {text!r}")
    return JobId(_PADDING + bytes.fromhex(text))


def job_name(job_id: JobId) -> str:
    """Returns the name that a client has chosen for a job.

    Examples:
        >>> job_name(parse_job_name("5c0e7a21d94b36f8"))
        '5c0e7a21d94b36f8'
    """
    return job_id[-NAME_BYTES:].hex()


def link_endpoints(seeds: Iterable[str], link_port: int) -> list[str]:
    """Returns where the programs on the seeds' machines meet.

    Ports are the same on all machines of a deployment.

    Args:
        seeds: Addresses of another port on each machine, host:port.
        link_port: The own port for the system's own processes.

    Examples:
        >>> link_endpoints(["10.1.0.13:8166"], 7735)
        ['10.1.0.13:7735']
    """
    return [f"{seed.rpartition(':')[0]}:{link_port}" for seed in seeds]
