"""Shared parts of the operators' commands."""

import os
from typing import Any

import msgspec
from cleo.commands.command import Command
from cleo.helpers import option
from cleo.io.outputs.output import Type

from sardinestair.cli.client import ApiClient, ApiError
from sardinestair.cli.service import EXIT_FAILURE, EXIT_OK

__all__ = ["COMMON_OPTIONS", "CtlCommand"]

DEFAULT_ENTRY = "http://127.0.0.1:8080"
ENTRY_VARIABLE = "SARDINESTAIR_ENTRY"

COMMON_OPTIONS = [
    option(
        "entry",
        "e",
        f"URL of an entry; default ${ENTRY_VARIABLE} or {DEFAULT_ENTRY}.",
        flag=False,
    ),
    option("json", None, "Write JSON."),
]


class CtlCommand(Command):
    """Base class of commands that send requests to an entry."""

    options = COMMON_OPTIONS

    @property
    def client(self) -> ApiClient:
        """A client of the entry chosen by option or environment."""
        return self.create_client(None)

    def create_client(self, url: str | None) -> ApiClient:
        """Returns a client of the entry at a URL, or of the chosen entry."""
        default = os.environ.get(ENTRY_VARIABLE, DEFAULT_ENTRY)
        return ApiClient(url or self.option("entry") or default)

    def show_json(self, value: Any) -> int:
        """Writes a value as JSON."""
        text = msgspec.json.format(msgspec.json.encode(value), indent=2)
        self.io.output.write_line(text.decode(), type=Type.RAW)
        return EXIT_OK

    def show_error(self, error: ApiError) -> int:
        """Writes an error, as JSON if requested."""
        if self.option("json"):
            self.show_json(error.document)
        else:
            self.io.error_output.write_line(f"error: {error}", type=Type.RAW)
        return EXIT_FAILURE

    def show_rows(self, rows: list[dict[str, Any]]) -> int:
        """Writes rows as a table, or as JSON if requested."""
        if self.option("json"):
            return self.show_json(rows)
        if not rows:
            self.line("none")
            return EXIT_OK
        table = self.table()
        table.set_headers(list(rows[0]))
        table.set_rows([[str(v) for v in row.values()] for row in rows])
        table.render()
        return EXIT_OK
