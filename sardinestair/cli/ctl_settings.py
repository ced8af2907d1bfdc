"""Commands about the settings tree."""

import getpass
import urllib.parse
from typing import Any

import msgspec
import yaml
from cleo.helpers import argument, option
from expression import Error, Ok, Result

from sardinestair.cli.ctl_command import COMMON_OPTIONS, CtlCommand
from sardinestair.cli.service import EXIT_FAILURE, EXIT_OK, EXIT_USAGE
from sardinestair.settings import SettingsTree, parse_tree
from sardinestair.settings.edit import difference
from sardinestair.settings.files import SettingsError

__all__ = [
    "ApplyCommand",
    "CheckCommand",
    "DiffCommand",
    "ExplainCommand",
    "GetCommand",
    "HistoryCommand",
    "SetCommand",
    "SettingsCommand",
    "read_tree_file",
]

_SEEN_OPTION = option(
    "seen", None, "Revision that the change is based on; refused if outdated.",
    flag=False,
)  # fmt: skip
_AUTHOR_OPTION = option(
    "author", None, "Author of the change; default the login name.", flag=False
)


def read_tree_file(file: str) -> Result[SettingsTree, SettingsError]:
    """Reads a settings tree, or returns the error."""
    try:
        with open(file, encoding="utf-8") as stream:
            return parse_tree(stream.read(), file)
    except (OSError, UnicodeDecodeError) as error:
        return Error(SettingsError(file, 1, "", str(error)))


class SettingsCommand(CtlCommand):
    """Base class of the commands about settings."""

    def get_author(self) -> str:
        """Returns the author of a change."""
        return self.option("author") or getpass.getuser()

    def fetch_tree(self) -> Result[tuple[int, SettingsTree], Any]:
        """Fetches the revision and the tree that are in force."""
        result = self.client.call("GET", "/admin/v1/settings")
        if result.is_error():
            return Error(result.error)
        tree = msgspec.convert(result.ok["tree"], SettingsTree)
        return Ok((result.ok["revision"], tree))

    def show_applied(self, applied: dict[str, Any]) -> int:
        """Shows an accepted change."""
        if self.option("json"):
            return self.show_json(applied)
        self.line(f"revision {applied['revision']}")
        for line in applied["difference"] or ["no change"]:
            self.line(f"  {line}")
        return EXIT_OK


class GetCommand(SettingsCommand):
    """Shows the tree in force."""

    name = "settings get"
    description = "Shows the settings tree in force, as YAML."
    help = "Example: sardinestairctl settings get > tree.yaml"

    def handle(self) -> int:
        """Shows the tree."""
        fetched = self.fetch_tree()
        if fetched.is_error():
            return self.show_error(fetched.error)
        revision, tree = fetched.ok
        if self.option("json"):
            return self.show_json({"revision": revision, "tree": tree})
        self.line(f"# revision {revision}")
        data = msgspec.to_builtins(tree)
        self.line(yaml.safe_dump(data, sort_keys=False).rstrip())
        return EXIT_OK


class SetCommand(SettingsCommand):
    """Changes one node of the tree."""

    name = "settings set"
    description = "Changes values of one node of the settings tree."
    arguments = [
        argument("path", "The node: root[/service[/zone[/kind]]]."),
        argument(
            "values",
            "name=value, or name= to inherit the value.",
            multiple=True,
        ),
    ]
    options = [*COMMON_OPTIONS, _SEEN_OPTION, _AUTHOR_OPTION]
    help = """\
Examples:
  sardinestairctl settings set root/quotes deadline_s=5
  sardinestairctl settings set root/quotes/leinster wait_margin= --seen 41"""

    def handle(self) -> int:
        """Changes the node."""
        values, unset = {}, []
        for item in self.argument("values"):
            name, separator, text = item.partition("=")
            if not separator:
                self.line_error(f"{item!r} must have the form name=value")
                return EXIT_USAGE
            if text:
                values[name] = yaml.safe_load(text)
            else:
                unset.append(name)
        seen = self.option("seen")
        body = {
            "path": self.argument("path"),
            "set": values,
            "unset": unset,
            "seen": int(seen) if seen else None,
            "author": self.get_author(),
        }
        result = self.client.call("PATCH", "/admin/v1/settings", body)
        if result.is_error():
            return self.show_error(result.error)
        return self.show_applied(result.ok)


class ApplyCommand(SettingsCommand):
    """Replaces the tree."""

    name = "settings apply"
    description = "Replaces the settings tree by the one in a file."
    arguments = [argument("file", "Settings tree in YAML.")]
    options = [*COMMON_OPTIONS, _SEEN_OPTION, _AUTHOR_OPTION]
    help = "Example: sardinestairctl settings apply tree.yaml --seen 41"

    def handle(self) -> int:
        """Replaces the tree."""
        read = read_tree_file(self.argument("file"))
        if read.is_error():
            self.line_error(str(read.error))
            return EXIT_USAGE
        query = {"author": self.get_author()}
        if self.option("seen"):
            query["seen"] = self.option("seen")
        path = f"/admin/v1/settings/apply?{urllib.parse.urlencode(query)}"
        body = msgspec.to_builtins(read.ok)
        result = self.client.call("POST", path, body)
        if result.is_error():
            return self.show_error(result.error)
        return self.show_applied(result.ok)


class DiffCommand(SettingsCommand):
    """Compares a file with the tree in force."""

    name = "settings diff"
    description = "Shows what applying a file would change."
    arguments = [argument("file", "Settings tree in YAML.")]
    help = "Example: sardinestairctl settings diff tree.yaml"

    def handle(self) -> int:
        """Shows the difference."""
        read = read_tree_file(self.argument("file"))
        if read.is_error():
            self.line_error(str(read.error))
            return EXIT_USAGE
        fetched = self.fetch_tree()
        if fetched.is_error():
            return self.show_error(fetched.error)
        lines = difference(fetched.ok[1], read.ok)
        if self.option("json"):
            return self.show_json(lines)
        for line in lines or ["no difference"]:
            self.line(line)
        return EXIT_OK


class ExplainCommand(SettingsCommand):
    """Shows where effective values come from."""

    name = "settings explain"
    description = "Shows the effective values for a scope, with their source."
    arguments = [
        argument("service", "Service."),
        argument("zone", "Availability zone.", optional=True, default="*"),
        argument("kind", "Kind of job.", optional=True, default="*"),
    ]
    help = "Example: sardinestairctl settings explain quotes leinster payout"

    def handle(self) -> int:
        """Shows the values."""
        names = ("service", "zone", "kind")
        scope = {name: self.argument(name) for name in names}
        query = urllib.parse.urlencode(scope)
        path = f"/admin/v1/settings/explain?{query}"
        result = self.client.call("GET", path)
        if result.is_error():
            return self.show_error(result.error)
        return self.show_rows(result.ok)


class HistoryCommand(SettingsCommand):
    """Shows the latest changes."""

    name = "settings history"
    description = "Shows the latest changes to the settings, newest first."
    help = "Example: sardinestairctl settings history --json"

    def handle(self) -> int:
        """Shows the changes."""
        result = self.client.call("GET", "/admin/v1/settings/history")
        if result.is_error():
            return self.show_error(result.error)
        if self.option("json"):
            return self.show_json(result.ok)
        for change in result.ok:
            self.line(f"{change['time']} {change['author']}")
            for line in change["difference"]:
                self.line(f"  {line}")
        return EXIT_OK


class CheckCommand(CtlCommand):
    """Checks a settings tree offline."""

    name = "check"
    description = "Checks a settings tree in YAML without contacting an entry."
    arguments = [argument("file", "Settings tree in YAML.")]
    help = "Example: sardinestairctl check tree.yaml"

    def handle(self) -> int:
        """Checks the file."""
        file = self.argument("file")
        read = read_tree_file(file)
        if read.is_error():
            self.line_error(str(read.error))
            return EXIT_FAILURE
        self.line(f"{file}: {len(read.ok.services)} services, valid")
        return EXIT_OK
