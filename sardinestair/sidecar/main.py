"""Command line of `sardinestair-sidecar`."""

from sardinestair.listening import listen_early

__all__ = ["main"]


def main() -> None:
    """Runs the program."""
    listener = listen_early("platform", "heartbeat_address")
    # Loaded only now, since it takes long.
    from sardinestair.cli.service import run_command
    from sardinestair.sidecar.command import SidecarCommand

    run_command(SidecarCommand(listener))


if __name__ == "__main__":
    main()
