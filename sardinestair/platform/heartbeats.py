"""HTTP API for the heartbeats of the runner on the same machine."""

from collections.abc import Callable

import msgspec

from sardinestair.messages import DECODE_ERRORS
from sardinestair.observability import EventLog
from sardinestair.platform.wire import Heartbeat
from sardinestair.sidecar.link_server import LinkServer
from sardinestair.upstreams import Announcement
from sardinestair.upstreams.upstream import MAX_COLD_S
from sardinestair.web import Request, Response, Rule, json_response

__all__ = ["HeartbeatApi"]

READY = "ready"
DRAINING = "draining"
MS_PER_S = 1000.0


class HeartbeatApi:
    """Request handlers with which a runner registers and deregisters.

    Heartbeats are ordered by the start of the runner's incarnation and the
    sequence number within it, so that delayed ones can be ignored. Anybody may
    send one, but only the runner answers at the configured address. So one of
    another incarnation than the runner has reported there is kept until a
    report confirms it.

    Args:
        server: Link server of the sidecar.
        ttl_s: How long a heartbeat remains valid, in seconds.
        reported_born: Returns the incarnation in the runner's latest report; 0
            if it is unknown.

    Attributes:
        on_runner: Called with the id of the runner whose heartbeat is applied.
        unconfirmed: The latest heartbeat of an incarnation that has not been
            reported, with the id of its sender; None if there is none.
        latest_id: Incarnation and sequence number of the latest heartbeat.
        latest_runner: Id of the runner that sent it.
        left_born: Incarnation of the runner that has deregistered last; 0 if
            it is unknown.
    """

    def __init__(
        self,
        server: LinkServer,
        ttl_s: float,
        reported_born: Callable[[], int] = lambda: 0,
    ):
        self.server = server
        self.ttl_s = ttl_s
        self.reported_born = reported_born
        self.on_runner: Callable[[str], None] = lambda _runner: None
        self.unconfirmed: tuple[str, Heartbeat] | None = None
        self.latest_id = (0, -1)
        self.latest_runner = ""
        self.left_born = 0
        self.decoder = msgspec.json.Decoder(Heartbeat)
        self.log = EventLog("heartbeats")

    def rules(self) -> list[Rule]:
        """Returns the URL rules with their handlers."""
        return [
            ("/instances/<runner>/heartbeat", ["POST"], self.receive_heartbeat),
            ("/instances/<runner>/deregister", ["POST"], self.deregister),
        ]

    async def receive_heartbeat(
        self, request: Request, runner: str
    ) -> Response:
        """Applies a heartbeat; late and invalid ones have no effect."""
        try:
            heartbeat = self.decoder.decode(request.body)
        except DECODE_ERRORS as error:
            self.log.warning(
                "heartbeat_unreadable", runner=runner, reason=str(error)
            )
            return json_response({}, 400)
        try:
            command = self._command(heartbeat)
        except KeyError:
            self.log.warning(
                "heartbeat_unknown_state",
                runner=runner,
                state=heartbeat.state,
            )
            return json_response({}, 400)
        if self._is_late(heartbeat, runner):
            self.log.info(
                "heartbeat_late",
                runner=runner,
                born_ms=heartbeat.born,
                sequence=heartbeat.sequence,
                latest_born_ms=self.latest_id[0],
                latest_sequence=self.latest_id[1],
            )
        elif self._is_confirmed(heartbeat):
            self._apply(heartbeat, runner, command)
        else:
            self.log.info(
                "heartbeat_unconfirmed",
                runner=runner,
                born_ms=heartbeat.born,
                reported_born_ms=self.reported_born(),
            )
            self.unconfirmed = (runner, heartbeat)
        return json_response({})

    def handle_reported(self, born: int) -> None:
        """Applies a kept heartbeat of the incarnation that is now reported."""
        if self.unconfirmed is None:
            return
        runner, heartbeat = self.unconfirmed
        if heartbeat.born == born:
            self.unconfirmed = None
            if not self._is_late(heartbeat, runner):
                self._apply(heartbeat, runner, self._command(heartbeat))

    def _apply(
        self, heartbeat: Heartbeat, runner: str, command: Callable[[], object]
    ) -> None:
        self.latest_id = (heartbeat.born, heartbeat.sequence)
        self.latest_runner = runner
        self.on_runner(runner)
        command()

    def _command(self, heartbeat: Heartbeat) -> Callable[[], object]:
        """Returns what applies a heartbeat.

        Raises:
            KeyError: If its state is unknown.
        """
        return {
            READY: lambda: self.server.announce(
                self._to_announcement(heartbeat)
            ),
            DRAINING: lambda: self.server.leave(_leaves_in_s(heartbeat)),
        }[heartbeat.state]

    def _is_late(self, heartbeat: Heartbeat, runner: str) -> bool:
        """Returns True for one that is delayed, or of another writer."""
        reported = self.reported_born()
        if 0 < heartbeat.born <= max(reported - 1, self.left_born):
            return True
        latest_born, latest_sequence = self.latest_id
        if heartbeat.born == latest_born:
            is_other = bool(heartbeat.born) and runner != self.latest_runner
            return is_other or heartbeat.sequence <= latest_sequence
        # Until the first report, one of another writer may have been applied.
        is_reported = bool(reported) and heartbeat.born == reported
        return heartbeat.born < latest_born and not is_reported

    def _is_confirmed(self, heartbeat: Heartbeat) -> bool:
        reported = self.reported_born()
        return not (reported and heartbeat.born) or heartbeat.born == reported

    async def deregister(self, _request: Request, runner: str) -> Response:
        """Deregisters the runner, which gets no new tasks.

        A late request of an earlier runner has no effect, nor one of another
        writer whose heartbeat came before the first report.
        """
        latest_born, reported = self.latest_id[0], self.reported_born()
        is_foreign = bool(latest_born and reported) and latest_born > reported
        if is_foreign or self.latest_runner not in ("", runner):
            self.log.info(
                "deregister_late", runner=runner, latest=self.latest_runner
            )
            return json_response({})
        self.log.info("runner_left", runner=runner)
        self.left_born = self.latest_id[0]
        self.server.leave()
        return json_response({})

    def _to_announcement(self, heartbeat: Heartbeat) -> Announcement:
        return Announcement(
            heartbeat.service,
            f"http://{heartbeat.address}",
            max(1, heartbeat.slots),
            ttl_s=self.ttl_s,
            capacity=heartbeat.capacity.to_resources(),
            cold_s=min(heartbeat.cold_ms / MS_PER_S, MAX_COLD_S),
            rack=_rack(heartbeat.labels),
        )


def _leaves_in_s(heartbeat: Heartbeat) -> float | None:
    if heartbeat.min_remaining_ms is None:
        return None
    return heartbeat.min_remaining_ms / MS_PER_S


def _rack(labels: list[str]) -> str:
    """Returns the rack, which follows the kind; empty if it is missing."""
    return labels[1] if len(labels) > 1 else ""
