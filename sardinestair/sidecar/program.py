"""Creates the program of a sidecar."""

from sardinestair.event_loop import EventLoop
from sardinestair.launch import LaunchContext
from sardinestair.settings import SidecarSettings
from sardinestair.sidecar.platform_process import PlatformSidecarProcess
from sardinestair.sidecar.process import SidecarProcess

__all__ = ["create_sidecar"]


def create_sidecar(
    settings: SidecarSettings,
    event_loop: EventLoop,
    launched: LaunchContext | None = None,
) -> SidecarProcess:
    """Creates a sidecar from validated settings."""
    if settings.platform is None:
        return SidecarProcess(settings, event_loop=event_loop)
    return PlatformSidecarProcess(
        settings, event_loop=event_loop, launched=launched
    )
