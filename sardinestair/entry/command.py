"""The command of `sardinestair-entry`."""

from sardinestair.cli.service import DaemonCommand
from sardinestair.entry.process import EntryProcess
from sardinestair.entry.program import create_entry
from sardinestair.event_loop import EventLoop
from sardinestair.settings import EntrySettings

__all__ = ["EntryCommand"]


class EntryCommand(DaemonCommand[EntrySettings]):
    """Runs an entry, which accepts jobs and places their tasks."""

    name = "sardinestair-entry"
    description = "Accepts jobs and places their tasks on upstreams."
    help = """\
Examples:
  sardinestair-entry --settings entry.yaml
  sardinestair-entry --settings entry.yaml --check

SIGTERM stops it gracefully: new jobs are refused as not run, active ones are
answered, then it exits with 0 (1 if the drain timeout cut jobs off)."""
    settings_type = EntrySettings

    def create_daemon(
        self, settings: EntrySettings, event_loop: EventLoop
    ) -> EntryProcess:
        """Creates an entry from validated settings."""
        return create_entry(settings, event_loop, self.launched)
