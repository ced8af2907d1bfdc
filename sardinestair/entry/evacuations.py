"""HTTP API with which operators evacuate availability zones."""

from typing import Any

from sardinestair.entry.dispatcher import Dispatcher
from sardinestair.outcomes import Problem, ProblemKind
from sardinestair.store.evacuations import EvacuationWriter
from sardinestair.web import (
    Request,
    Response,
    Rule,
    json_response,
    problem_response,
)

__all__ = ["EvacuationApi"]

MAX_ZONE_CHARACTERS = 63


class EvacuationApi:
    """Handlers that begin, end and show evacuations.

    Args:
        dispatcher: The entry's dispatcher.
        writer: Changes the evacuations in the store; None if this entry can't.
    """

    def __init__(self, dispatcher: Dispatcher, writer: EvacuationWriter | None):
        self.dispatcher = dispatcher
        self.writer = writer

    def rules(self) -> list[Rule]:
        """Returns the URL rules with their methods and handlers."""
        path = "/admin/v1/evacuations"
        return [
            (path, ["GET"], self.show),
            (f"{path}/<zone>", ["PUT"], self.begin, 0),
            (f"{path}/<zone>", ["DELETE"], self.end),
        ]

    async def show(self, _request: Request) -> Response:
        """Returns the evacuated zones as far as this entry was informed."""
        with self.dispatcher.lock:
            zones = self.dispatcher.evacuations.view.zones
            rows = [
                {"zone": zone, "revision": revision, **self._count(zone)}
                for zone, revision in sorted(zones.items())
            ]
        return json_response(rows)

    def begin(self, request: Request, zone: str) -> Response:
        """Evacuates a zone; no new tasks are started there."""
        if not 0 < len(zone) <= MAX_ZONE_CHARACTERS:
            return problem_response(_invalid_zone(zone))
        if self.writer is None:
            return problem_response(_not_writable())
        author = request.args.get("author", "unknown")
        done = self.writer.begin(zone, author)
        if done.is_error():
            return problem_response(done.error)
        return self._changed_response(zone, done.ok)

    def end(self, _request: Request, zone: str) -> Response:
        """Ends the evacuation of a zone."""
        if self.writer is None:
            return problem_response(_not_writable())
        done = self.writer.end(zone)
        if done.is_error():
            return problem_response(done.error)
        return self._changed_response(zone, done.ok)

    def _changed_response(self, zone: str, is_changed: bool) -> Response:
        with self.dispatcher.lock:
            counts = self._count(zone)
        return json_response({"zone": zone, "changed": is_changed, **counts})

    def _count(self, zone: str) -> dict[str, Any]:
        """Counts what this entry has in a zone.

        A zone without upstreams may have been misspelled.
        """
        links = [
            link
            for link in self.dispatcher.links.values()
            if link.candidate.zone == zone
        ]
        return {
            "upstreams": len(links),
            "running_tasks": sum(len(link.outstanding) for link in links),
        }


def _invalid_zone(zone: str) -> Problem:
    return Problem(
        ProblemKind.INVALID,
        f"zone must have 1 to {MAX_ZONE_CHARACTERS} characters, got "
        f"{len(zone)}",
        not_run=True,
        field="zone",
    )


def _not_writable() -> Problem:
    return Problem(
        ProblemKind.UNAVAILABLE,
        "zones can't be evacuated through this entry: it has no store, or the "
        "platform's operator evacuates zones in the platform's store",
        not_run=True,
    )
