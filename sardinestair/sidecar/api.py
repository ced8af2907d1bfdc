"""The sidecar's HTTP API for its upstream."""

import msgspec

from sardinestair.messages import DECODE_ERRORS
from sardinestair.outcomes import Problem, ProblemKind
from sardinestair.sidecar.link_server import LinkServer
from sardinestair.upstreams import Announcement
from sardinestair.web import (
    Request,
    Response,
    Rule,
    json_response,
    problem_response,
)

__all__ = ["UpstreamApi"]

MAX_NOTICE_S = 3600


class UpstreamApi:
    """Handlers with which an upstream announces itself and leaves.

    Args:
        server: Owns the upstream's state.
    """

    def __init__(self, server: LinkServer):
        self.server = server
        self.decoder = msgspec.json.Decoder(Announcement)

    def rules(self) -> list[Rule]:
        """Returns the routes as path, methods and handler."""
        return [
            ("/v1/upstream", ["PUT"], self.announce),
            ("/v1/upstream", ["DELETE"], self.leave),
            ("/v1/upstream", ["GET"], self.show),
        ]

    async def announce(self, request: Request) -> Response:
        """Handles an announcement; repeating it extends its expiry."""
        try:
            announcement = self.decoder.decode(request.body)
        except DECODE_ERRORS as error:
            problem = Problem(ProblemKind.INVALID, str(error), not_run=True)
            return problem_response(problem)
        if not self.server.announce(announcement):
            problem = Problem(
                ProblemKind.DRAINING, "the sidecar is stopping", not_run=True
            )
            return problem_response(problem)
        return await self.show(request)

    async def leave(self, request: Request) -> Response:
        """Marks the upstream as leaving; tasks that run are finished."""
        try:
            leaves_in_s = _parse_leaves_in_s(request)
        except ValueError as error:
            problem = Problem(ProblemKind.INVALID, str(error), not_run=True)
            return problem_response(problem)
        self.server.leave(leaves_in_s)
        return await self.show(request)

    async def show(self, _request: Request) -> Response:
        """Returns the upstream's state and the number of its tasks."""
        upstream = self.server.upstream
        body = {
            "state": upstream.state.value,
            "service": upstream.service,
            "slots": upstream.slots,
            "running": self.server.ledger.occupied_units,
            "unsettled": self.server.unsettled(),
        }
        return json_response(body)


def _parse_leaves_in_s(request: Request) -> float | None:
    """Returns the time after which the upstream leaves, in seconds.

    Raises:
        ValueError: If it is not a number from 0 to `MAX_NOTICE_S`.
    """
    text = request.args.get("leaves_in_s")
    if text is None:
        return None
    leaves_in_s = float(text)
    if not 0 <= leaves_in_s <= MAX_NOTICE_S:
        raise ValueError(f"leaves_in_s must be 0 to {MAX_NOTICE_S}, got {text}")
    return leaves_in_s
