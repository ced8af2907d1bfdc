"""Forwards requests about a job to the entry that owns it."""

from collections.abc import Sequence
from urllib.parse import urlsplit

import msgspec

from sardinestair.async_transfer import AsyncTransfer
from sardinestair.ids import JobId, format_job_id
from sardinestair.membership import Peer
from sardinestair.store.claims import Claim
from sardinestair.transfer import Reply, TransferFailure

__all__ = ["FORWARDED_HEADER", "Forwarder", "ForwardedReply"]

FORWARDED_HEADER = "Sardinestair-Forwarded"
HTTP_PORT = 80
LOOKUP_TIMEOUT_S = 0.5
HEADERS = f"Content-Type: application/json\r\n{FORWARDED_HEADER}: 1\r\n"


class ForwardedReply(msgspec.Struct, frozen=True):
    """Another entry's reply.

    Attributes:
        status: The HTTP status.
        body: The body.
    """

    status: int
    body: bytes


class Forwarder:
    """Finds the entry that owns a job, and forwards requests to it.

    A forwarded request carries a header and is never forwarded again.
    """

    async def find_owner(
        self, job_id: JobId, peers: Sequence[Peer]
    ) -> Peer | None:
        """Returns the first peer that has a job, or None.

        Args:
            job_id: The job's id.
            peers: Entries that have answered recently.
        """
        path = f"/v1/jobs/{format_job_id(job_id)}"
        for peer in peers:
            reply = await _send(
                "GET", peer.http_address, path, b"", LOOKUP_TIMEOUT_S
            )
            if isinstance(reply, Reply) and reply.status != 404:
                return peer
        return None

    async def forward(
        self,
        method: str,
        base_url: str,
        path: str,
        body: bytes,
        timeout_s: float,
    ) -> ForwardedReply | None:
        """Forwards a request to another entry.

        Args:
            method: The HTTP method.
            base_url: Base URL of the other entry.
            path: Path and query.
            body: The request body.
            timeout_s: Timeout in seconds.

        Returns:
            The reply, or None if the entry did not answer.
        """
        reply = await _send(method, base_url, path, body, timeout_s)
        if not isinstance(reply, Reply):
            return None
        return ForwardedReply(reply.status, reply.body)

    async def forward_submission(
        self, claim: Claim, body: bytes, timeout_s: float
    ) -> ForwardedReply | None:
        """Forwards a submission to the entry that holds the job's claim."""
        return await self.forward(
            "POST", claim.http_address, "/v1/jobs", body, timeout_s
        )


async def _send(
    method: str, base_url: str, path: str, body: bytes, timeout_s: float
) -> Reply | TransferFailure:
    url = urlsplit(base_url)
    transfer = AsyncTransfer(url.hostname or "", url.port or HTTP_PORT)
    try:
        return await transfer.perform(method, path, body, timeout_s, HEADERS)
    finally:
        transfer.close()
