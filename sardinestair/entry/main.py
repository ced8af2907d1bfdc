"""Entry point of `sardinestair-entry`."""

from sardinestair.launch import prepare_launch

__all__ = ["main"]


def main() -> None:
    """Runs the program."""
    launched = prepare_launch("platform", "client_address")
    # Slow imports come after `launch`, which has opened the listener.
    from sardinestair.cli.service import run_command
    from sardinestair.entry.command import EntryCommand

    run_command(EntryCommand(launched))


if __name__ == "__main__":
    main()
