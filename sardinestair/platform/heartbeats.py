"""Takes the heartbeats of the runner on the same machine."""

from concurrent.futures import TimeoutError as FutureTimeoutError

import msgspec

from sardinestair.observability import EventLog
from sardinestair.platform.wire import Heartbeat
from sardinestair.sidecar.link_server import LinkServer
from sardinestair.upstreams import Announcement
from sardinestair.web import Handler, Request, Response, json_response

__all__ = ["HeartbeatApi"]

# A heartbeat counts as acknowledged only within a second (platform figure).
COMMAND_TIMEOUT_S = 0.9
READY = "ready"
DRAINING = "draining"


class HeartbeatApi:
    """Handlers with which a runner announces itself and leaves.

    Args:
        server: The sidecar's aggregate.
        ttl_s: How long a heartbeat holds, in seconds.

    Attributes:
        latest: Life and number of the latest heartbeat.
    """

    def __init__(self, server: LinkServer, ttl_s: float):
        self.server = server
        self.ttl_s = ttl_s
        self.latest = (0, -1)
        self.decoder = msgspec.json.Decoder(Heartbeat)
        self.log = EventLog("heartbeats")

    def rules(self) -> list[tuple[str, list[str], Handler]]:
        """Returns the routes."""
        return [
            ("/instances/<runner>/heartbeat", ["POST"], self.beat),
            ("/instances/<runner>/deregister", ["POST"], self.leave),
        ]

    def beat(self, request: Request, runner: str) -> Response:
        """Takes a heartbeat; one that is old or unreadable changes nothing."""
        try:
            heartbeat = self.decoder.decode(request.get_data())
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            self.log.warning(
                "heartbeat_unreadable", runner=runner, reason=str(error)
            )
            return json_response({}, 400)
        number = (heartbeat.born, heartbeat.sequence)
        if number <= self.latest:
            self.log.info(
                "heartbeat_late",
                runner=runner,
                born_ms=heartbeat.born,
                sequence=heartbeat.sequence,
                latest_born_ms=self.latest[0],
                latest_sequence=self.latest[1],
            )
            return json_response({})
        self.latest = number
        return self._acknowledge(runner, heartbeat)

    def leave(self, _request: Request, runner: str) -> Response:
        """Takes leave of the runner."""
        self.log.info("runner_left", runner=runner)
        self.server.submit(self.server.leave)
        return json_response({})

    def _acknowledge(self, runner: str, heartbeat: Heartbeat) -> Response:
        commands = {
            READY: lambda: self.server.announce(self._announcement(heartbeat)),
            DRAINING: self.server.leave,
        }
        command = commands.get(heartbeat.state)
        if command is None:
            self.log.warning(
                "heartbeat_unknown_state",
                runner=runner,
                state=heartbeat.state,
            )
            return json_response({}, 400)
        try:
            self.server.submit(command).result(COMMAND_TIMEOUT_S)
        except FutureTimeoutError:
            self.log.warning("heartbeat_overdue", runner=runner)
            return json_response({}, 503)
        return json_response({})

    def _announcement(self, heartbeat: Heartbeat) -> Announcement:
        return Announcement(
            heartbeat.service,
            f"http://{heartbeat.address}",
            max(1, heartbeat.slots),
            ttl_s=self.ttl_s,
            capacity=heartbeat.capacity.to_resources(),
        )
