"""Commands that evacuate availability zones."""

import getpass
import urllib.parse

from cleo.helpers import argument, option

from sardinestair.cli.ctl_command import COMMON_OPTIONS, CtlCommand
from sardinestair.cli.service import EXIT_OK

__all__ = ["EvacuateCommand"]

PATH = "/admin/v1/evacuations"


class EvacuateCommand(CtlCommand):
    """Evacuates a zone, ends that, or shows the evacuated zones."""

    name = "evacuate"
    description = "Starts no new tasks in an availability zone, until --end."
    arguments = [
        argument(
            "zone",
            "The availability zone; without it the evacuated ones are shown.",
            optional=True,
        )
    ]
    options = [
        *COMMON_OPTIONS,
        option("end", None, "Use the zone again."),
        option(
            "author",
            None,
            "Author of the change; default the login name.",
            flag=False,
        ),
    ]
    help = """\
Running tasks continue. All entries follow within about 2 s.

Examples:
  sardinestairctl evacuate munster
  sardinestairctl evacuate munster --end
  sardinestairctl evacuate"""

    def handle(self) -> int:
        """Changes or shows the evacuations."""
        zone = self.argument("zone")
        if zone is None:
            listed = self.client.call("GET", PATH)
            if listed.is_error():
                return self.show_error(listed.error)
            return self.show_rows(listed.ok)
        author = self.option("author") or getpass.getuser()
        query = urllib.parse.urlencode({"author": author})
        path = f"{PATH}/{urllib.parse.quote(zone, safe='')}?{query}"
        method = "DELETE" if self.option("end") else "PUT"
        done = self.client.call(method, path)
        if done.is_error():
            return self.show_error(done.error)
        if self.option("json"):
            return self.show_json(done.ok)
        self.line(self._describe(done.ok))
        return EXIT_OK

    def _describe(self, done) -> str:
        state = "in use" if self.option("end") else "evacuated"
        already = "" if done["changed"] else "already "
        return (
            f"{done['zone']} is {already}{state}: {done['upstreams']} "
            f"upstreams, {done['running_tasks']} running tasks of this entry"
        )
