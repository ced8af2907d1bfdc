"""Command line of `sardinestair-entry`."""

from sardinestair.listening import listen_early

__all__ = ["main"]


def main() -> None:
    """Runs the program."""
    listener = listen_early("platform", "client_address")
    # Loaded only now, since it takes long.
    from sardinestair.cli.service import run_command
    from sardinestair.entry.command import EntryCommand

    run_command(EntryCommand(listener))


if __name__ == "__main__":
    main()
