"""The administration API of an entry."""

from typing import Any

import msgspec
from expression import Result

from sardinestair.entry.dispatcher import Dispatcher
from sardinestair.ids import format_incarnation
from sardinestair.messages import DECODE_ERRORS
from sardinestair.observability.burn import ServiceBurn
from sardinestair.observability.dropped import parse_time_span
from sardinestair.outcomes import Problem, ProblemKind
from sardinestair.settings import SettingsTree
from sardinestair.settings.service import Applied, SettingsWriter
from sardinestair.settings.tree import WILDCARD, explain
from sardinestair.web import (
    Request,
    Response,
    Rule,
    json_response,
    problem_response,
)

__all__ = ["AdminApi"]

# The smallest values of a change take 24 times their text once decoded.
MAX_EDIT_BYTES = 64 << 10
MAX_TREE_BYTES = 1 << 20
# A node of a settings tree takes about 2 KB.
MAX_TREE_OBJECTS = 4096


class EditRequest(msgspec.Struct, forbid_unknown_fields=True):
    """A change of one settings node; fields as in `SettingsWriter.edit`."""

    path: str
    set: dict[str, Any] = {}
    unset: list[str] = []
    seen: int | None = None
    author: str = "unknown"


class AdminApi:
    """Handlers for operators.

    Args:
        dispatcher: The entry's dispatcher.
        writer: Changes settings in the store; None without a store.
        revision: Returns the revision of the settings tree in force.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        writer: SettingsWriter | None,
        revision,
    ):
        self.dispatcher = dispatcher
        self.writer = writer
        self.revision = revision

    def rules(self) -> list[Rule]:
        """Returns the URL rules with their methods and handlers."""
        return [
            ("/admin/v1/settings", ["GET"], self.show_settings),
            ("/admin/v1/settings", ["PATCH"], self.edit, MAX_EDIT_BYTES),
            (
                "/admin/v1/settings/apply",
                ["POST"],
                self.apply,
                MAX_TREE_BYTES,
            ),
            ("/admin/v1/settings/explain", ["GET"], self.explain),
            ("/admin/v1/settings/history", ["GET"], self.history),
            ("/admin/v1/status", ["GET"], self.status),
            ("/admin/v1/upstreams", ["GET"], self.upstreams),
            ("/admin/v1/dropped", ["GET"], self.dropped),
            ("/admin/v1/burn", ["GET"], self.burn),
        ]

    async def show_settings(self, _request: Request) -> Response:
        """Returns the settings tree in force at this entry."""
        tree = self.dispatcher.tree or SettingsTree()
        return json_response({"revision": self.revision(), "tree": tree})

    def edit(self, request: Request) -> Response:
        """Changes one settings node."""
        try:
            edit = msgspec.json.decode(request.body, type=EditRequest)
        except DECODE_ERRORS as error:
            return problem_response(_invalid_request(str(error)))
        if self.writer is None:
            return problem_response(_store_required())
        return _applied_response(
            self.writer.edit(
                edit.path, edit.set, edit.unset, edit.seen, edit.author
            )
        )

    def apply(self, request: Request) -> Response:
        """Replaces the settings tree."""
        if request.body.count(b"{") > MAX_TREE_OBJECTS:
            problem = Problem(
                ProblemKind.TOO_LARGE,
                f"a tree must have at most {MAX_TREE_OBJECTS} objects",
                not_run=True,
            )
            return problem_response(problem)
        try:
            tree = msgspec.json.decode(request.body, type=SettingsTree)
        except DECODE_ERRORS as error:
            return problem_response(_invalid_request(str(error)))
        if self.writer is None:
            return problem_response(_store_required())
        try:
            seen = int(request.args["seen"]) if "seen" in request.args else None
        except ValueError as error:
            return problem_response(_invalid_request(f"seen: {error}"))
        author = request.args.get("author", "unknown")
        return _applied_response(self.writer.apply(tree, seen, author))

    async def explain(self, request: Request) -> Response:
        """Returns effective settings and the node that sets each value."""
        scope = [
            request.args.get(n, WILDCARD) for n in ("service", "zone", "kind")
        ]
        tree = self.dispatcher.tree or SettingsTree()
        return json_response(explain(tree, *scope))

    def history(self, _request: Request) -> Response:
        """Returns the latest settings changes, newest first."""
        if self.writer is None:
            return problem_response(_store_required())
        found = self.writer.read()
        if found.is_error():
            return problem_response(found.error)
        changes = {
            change.change_id: change
            for record in found.ok.records.values()
            for change in record.changes
        }
        ordered = sorted(changes.values(), key=lambda c: c.time, reverse=True)
        return json_response(ordered)

    async def status(self, _request: Request) -> Response:
        """Returns the state of the entry and its queues."""
        dispatcher = self.dispatcher
        with dispatcher.lock:
            services = [
                {
                    "service": state.name,
                    "upstreams": len(state.links),
                    "slots": state.slots,
                    "waiting_tasks": state.queue.waiting_tasks,
                    "waiting_s": round(state.queue.waiting_work_s, 3),
                    "upstreams_out": state.health.count_ejected(),
                    "retries_left": int(state.retries.tokens_),
                }
                for state in dispatcher.services.values()
            ]
            body = {
                "entry": format_incarnation(dispatcher.incarnation),
                "zone": dispatcher.zone,
                "draining": dispatcher.admission_controller.is_draining,
                "settings_revision": self.revision(),
                "active_jobs": dispatcher.count_active_jobs(),
                "evacuated_zones": sorted(dispatcher.evacuations.zones),
                "services": services,
            }
        return json_response(body)

    async def burn(self, _request: Request) -> Response:
        """Returns job counts against each service's objective, by minute."""
        with self.dispatcher.lock:
            reports = [
                ServiceBurn(
                    state.name,
                    state.settings.objective_share,
                    state.settings.objective_s,
                    list(state.burn.minutes),
                )
                for state in self.dispatcher.services.values()
            ]
            return json_response(reports)

    async def dropped(self, request: Request) -> Response:
        """Returns the jobs that got no complete answer, oldest first."""
        try:
            span = parse_time_span(request.args.get("since", "24h"))
        except ValueError as error:
            return problem_response(_invalid_request(str(error)))
        start = self.dispatcher.clock.now() - span
        return json_response(self.dispatcher.recorder.dropped.since(start))

    async def upstreams(self, _request: Request) -> Response:
        """Returns the upstreams known to this entry."""
        with self.dispatcher.lock:
            rows = [
                {
                    "sidecar": format_incarnation(link.sidecar),
                    "endpoint": link.endpoint,
                    "service": link.candidate.service,
                    "zone": link.candidate.zone,
                    "state": link.state.value,
                    "slots": link.candidate.slots,
                    "credits": link.account.available,
                    "outstanding": len(link.outstanding),
                    "speed": round(link.candidate.slowdown_, 3),
                    "epoch": link.epoch,
                }
                for link in self.dispatcher.links.values()
            ]
        return json_response(rows)


def _applied_response(result: Result[Applied, Problem]) -> Response:
    if result.is_error():
        return problem_response(result.error)
    return json_response(result.ok)


def _invalid_request(rule: str) -> Problem:
    return Problem(ProblemKind.INVALID, rule, not_run=True)


def _store_required() -> Problem:
    return Problem(
        ProblemKind.UNAVAILABLE,
        "this entry runs without a store; its settings come from tree_file",
        not_run=True,
    )
