"""Identifier types shared by all programs."""

import os
import uuid
from typing import NewType

__all__ = [
    "INCARNATION_BYTES",
    "Incarnation",
    "JobId",
    "ServiceName",
    "TeamName",
    "ZoneName",
    "format_incarnation",
    "format_job_id",
    "job_id_time_s",
    "new_incarnation",
    "new_job_id",
    "pack_job_id",
    "parse_job_id",
    "unpack_job_id",
]

INCARNATION_BYTES = 16

Incarnation = NewType("Incarnation", bytes)
"""Random 128-bit id of one run of a process; a restart gets a new one."""

JobId = NewType("JobId", bytes)
"""Job id in its 16-byte form.

A version 7 UUID, or 8 zero bytes followed by a caller's 8-byte id.
"""

ServiceName = NewType("ServiceName", str)
TeamName = NewType("TeamName", str)
ZoneName = NewType("ZoneName", str)

SHORT_ID_BYTES = 8
_UUID_VERSION = 7
_MS_PER_S = 1000.0


def new_incarnation() -> Incarnation:
    """Returns a new random incarnation.

    Examples:
        >>> len(new_incarnation())
        16
    """
    return Incarnation(os.urandom(INCARNATION_BYTES))


def format_incarnation(incarnation: Incarnation) -> str:
    """Returns the first eight hexadecimal digits, for display.

    Examples:
        >>> format_incarnation(Incarnation(bytes(16)))
        '00000000'
    """
    return incarnation.hex()[:8]


def new_job_id() -> JobId:
    """Returns a new job id that contains the current time.

    Examples:
        >>> len(new_job_id())
        16
    """
    # Clients of the platform choose their ids, and its import takes a while.
    import uuid6

    return JobId(uuid6.uuid7().bytes)


def parse_job_id(text: str) -> JobId:
    """Parses the text form of a job id.

    Args:
        text: A version 7 UUID, with hyphens.

    Returns:
        The job id.

    Raises:
        ValueError: If the text is not a version 7 UUID.

    Examples:
        >>> parse_job_id("0193f0a2-7c00-7000-8000-000000000001").hex()[:8]
        '0193f0a2'
    """
    value = uuid.UUID(text)
    if value.version != _UUID_VERSION:
        raise ValueError(
            f"id must be a version {_UUID_VERSION} UUID, got {text!r}"
        )
    return JobId(value.bytes)


def format_job_id(job_id: JobId) -> str:
    """Returns the text form of a job id, as its caller wrote it.

    Some interfaces use ids of 8 bytes, which are stored with 8 leading zero
    bytes.

    Examples:
        >>> format_job_id(JobId(bytes([1, *range(15)])))
        '01000102-0304-0506-0708-090a0b0c0d0e'
        >>> format_job_id(JobId(bytes(8) + bytes(range(8))))
        '0001020304050607'
    """
    if not any(job_id[:SHORT_ID_BYTES]):
        return job_id[SHORT_ID_BYTES:].hex()
    return str(uuid.UUID(bytes=job_id))


def pack_job_id(job_id: JobId) -> bytes:
    r"""Returns a job id in as few bytes as it needs, for messages.

    Examples:
        >>> len(pack_job_id(JobId(bytes(8) + b"\x01" * 8)))
        8
    """
    if any(job_id[:SHORT_ID_BYTES]):
        return job_id
    return job_id[SHORT_ID_BYTES:]


def unpack_job_id(packed: bytes) -> JobId:
    """Returns the job id of its form in messages.

    Examples:
        >>> unpack_job_id(pack_job_id(JobId(bytes(16)))) == bytes(16)
        True
    """
    return JobId(packed.rjust(2 * SHORT_ID_BYTES, b"\0"))


def job_id_time_s(job_id: JobId) -> float:
    """Returns the creation time in a job id, in seconds since the Unix epoch.

    Examples:
        >>> job_id_time_s(JobId(bytes(16)))
        0.0
    """
    return int.from_bytes(job_id[:6], "big") / _MS_PER_S
