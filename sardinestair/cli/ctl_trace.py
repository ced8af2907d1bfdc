"""The command that collects the log lines of one request."""

import sys

from cleo.commands.command import Command
from cleo.helpers import argument

from sardinestair.cli.service import EXIT_FAILURE, EXIT_OK
from sardinestair.observability.trace import LogLine, parse_lines, trace_request

__all__ = ["TraceCommand"]

STANDARD_INPUT = "-"


class TraceCommand(Command):
    """Shows the log lines of many processes that concern one request."""

    name = "trace"
    description = "Shows the log lines of one request, ordered by time."
    arguments = [
        argument("job", "Id of the request, as its caller wrote it."),
        argument(
            "files", "Log files; - or none for standard input.", optional=True,
            multiple=True,
        ),
    ]  # fmt: skip
    help = """\
Examples:
  sardinestairctl trace 5c0e7a21d94b36f8 entry-*.log sidecar-*.log
  cat *.log | sardinestairctl trace 5c0e7a21d94b36f8

Lines that name the request are marked with >. The others are warnings from
around the same time that name no request. Exits with 1 if no line names it."""

    def handle(self) -> int:
        """Prints the lines."""
        lines: list[LogLine] = []
        for file in self.argument("files") or [STANDARD_INPUT]:
            try:
                lines += _read_lines(file)
            except OSError as error:
                self.line_error(f"{file}: {error.strerror}")
                return EXIT_FAILURE
        job = self.argument("job")
        trace = trace_request(lines, job)
        if not trace:
            self.line_error(
                f"none of {len(lines)} log lines names {job}: it reached none "
                f"of these processes, or the lines were lost with a process"
            )
            return EXIT_FAILURE
        for line in trace:
            mark = ">" if line.fields.get("job") == job else " "
            fields = " ".join(f"{k}={v}" for k, v in line.fields.items())
            time = line.time.strftime("%H:%M:%S.%f")[:-3]
            self.io.write_line(
                f"{mark} {time} {line.source} {line.event} {fields}"
            )
        return EXIT_OK


def _read_lines(file: str) -> list[LogLine]:
    if file == STANDARD_INPUT:
        return list(parse_lines(sys.stdin, "-"))
    with open(file, encoding="utf-8", errors="replace") as stream:
        return list(parse_lines(stream, file))
