"""Job names and endpoints in the platform's format."""

from collections.abc import Iterable

from sardinestair.ids import JobId

__all__ = ["format_job_name", "link_endpoints", "parse_job_name"]

JOB_NAME_BYTES = 8
_PADDING = bytes(8)


def parse_job_name(text: str) -> JobId:
    """Returns the job id for the name under which a client submits a job.

    Args:
        text: 16 hexadecimal digits.

    Raises:
        ValueError: If the text has another form.

    Examples:
        >>> parse_job_name("5c0e7a21d94b36f8").hex()
        '00000000000000005c0e7a21d94b36f8'
    """
    if len(text) != 2 * JOB_NAME_BYTES or not text.isalnum():
        raise ValueError(f"job must be 16 hexadecimal digits, got {text!r}")
    return JobId(_PADDING + bytes.fromhex(text))


def format_job_name(job_id: JobId) -> str:
    """Returns the name under which a client submitted a job.

    Examples:
        >>> format_job_name(parse_job_name("5c0e7a21d94b36f8"))
        '5c0e7a21d94b36f8'
    """
    return job_id[-JOB_NAME_BYTES:].hex()


def link_endpoints(seeds: Iterable[str], link_port: int) -> list[str]:
    """Returns the membership endpoints on the machines of the seeds.

    The link port is the same on all machines of a deployment.

    Args:
        seeds: Addresses (host:port) on each machine, with any port.
        link_port: Port for links, which replaces the port of each seed.

    Examples:
        >>> link_endpoints(["10.1.0.13:8166"], 7735)
        ['10.1.0.13:7735']
    """
    return [f"{seed.rpartition(':')[0]}:{link_port}" for seed in seeds]
