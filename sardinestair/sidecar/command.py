"""The command of `sardinestair-sidecar`."""

from sardinestair.cli.service import DaemonCommand
from sardinestair.event_loop import EventLoop
from sardinestair.settings import SidecarSettings
from sardinestair.sidecar.process import SidecarProcess
from sardinestair.sidecar.program import create_sidecar

__all__ = ["SidecarCommand"]


class SidecarCommand(DaemonCommand[SidecarSettings]):
    """Runs a sidecar until it is stopped."""

    name = "sardinestair-sidecar"
    description = "Runs the sidecar of one upstream."
    help = """\
Examples:
  sardinestair-sidecar --settings sidecar.yaml
  SARDINESTAIR_LINK_PORT=9101 sardinestair-sidecar --settings sidecar.yaml

The upstream announces itself with PUT /v1/upstream and leaves with DELETE.
SIGTERM stops the sidecar gracefully: running tasks are finished and their
outcomes delivered. The exit code is 0, or 1 if the drain timed out first."""
    settings_type = SidecarSettings

    def create_daemon(
        self, settings: SidecarSettings, event_loop: EventLoop
    ) -> SidecarProcess:
        """Creates a sidecar from validated settings."""
        return create_sidecar(settings, event_loop, self.launched)
