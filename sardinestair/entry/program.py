"""Creates the program of an entry."""

from sardinestair.entry.platform_process import PlatformEntryProcess
from sardinestair.entry.process import EntryProcess
from sardinestair.event_loop import EventLoop
from sardinestair.launch import LaunchContext
from sardinestair.settings import EntrySettings

__all__ = ["create_entry"]


def create_entry(
    settings: EntrySettings,
    event_loop: EventLoop,
    launched: LaunchContext | None = None,
) -> EntryProcess:
    """Creates an entry from validated settings.

    Raises:
        SystemExit: If the settings tree of `tree_file` is invalid.
    """
    if settings.platform is None:
        entry = EntryProcess(settings, event_loop=event_loop)
    else:
        entry = PlatformEntryProcess(
            settings, event_loop=event_loop, launched=launched
        )
    if settings.tree_file is not None:
        loaded = entry.load_tree_file()
        if loaded.is_error():
            raise SystemExit(str(loaded.error))
    return entry
