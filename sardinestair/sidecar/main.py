"""Command line of `sardinestair-sidecar`."""

import gc
import signal
import sys

from sardinestair.launch import prepare_launch

__all__ = ["main"]


def main() -> None:
    """Runs the program."""
    # What imports create stays. `tune_interpreter` enables the collector again.
    gc.disable()
    # Would end the process until its handler is installed. Settings that have
    # changed are read at the start anyway.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    launched = prepare_launch("platform", "heartbeat_address")
    # Slow imports come after `prepare_launch`, which has opened the listener.
    # Without arguments the library of the command line is not needed.
    if len(sys.argv) > 1:
        from sardinestair.cli.service import run_command
        from sardinestair.sidecar.command import SidecarCommand

        run_command(SidecarCommand(launched))
    from sardinestair.daemon import run_without_arguments
    from sardinestair.settings import SidecarSettings
    from sardinestair.sidecar.program import create_sidecar

    sys.exit(
        run_without_arguments(
            SidecarSettings,
            lambda settings, loop: create_sidecar(settings, loop, launched),
        )
    )


if __name__ == "__main__":
    main()
