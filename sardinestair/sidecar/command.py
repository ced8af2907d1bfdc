"""The command of `sardinestair-sidecar`."""

from sardinestair.cli.service import ServiceCommand
from sardinestair.settings import SidecarSettings
from sardinestair.sidecar.platform_process import PlatformSidecarProcess
from sardinestair.sidecar.process import SidecarProcess

__all__ = ["SidecarCommand"]


class SidecarCommand(ServiceCommand[SidecarSettings]):
    """Guards the slots of the upstream beside it."""

    name = "sardinestair-sidecar"
    description = "Starts tasks on the free slots of one upstream."
    help = """\
Examples:
  sardinestair-sidecar --settings sidecar.yaml
  SARDINESTAIR_LINK_PORT=9101 sardinestair-sidecar --settings sidecar.yaml

The upstream announces itself with PUT /v1/upstream and leaves with DELETE.
SIGTERM stops the sidecar gracefully: tasks that run are finished and their
outcomes delivered, then it exits with 0 (1 if the drain time-out cut off)."""
    kind = SidecarSettings

    def make(self, settings: SidecarSettings) -> SidecarProcess:
        """Returns the sidecar for checked settings."""
        if settings.platform is None:
            return SidecarProcess(settings)
        return PlatformSidecarProcess(settings, launched=self.launched)
