"""Relays to each entry the work that waits at all others."""

from collections.abc import Collection

from sardinestair.limits.load_view import ClassLoad, LoadSum
from sardinestair.links.session import SidecarSession

__all__ = ["LoadRelay"]


class LoadRelay:
    """Makes the load reports for entries, of which a sum is made once.

    Args:
        sessions: The sessions with all entries.

    Attributes:
        total: Sum of the entries' reports; None until a report is due.
    """

    def __init__(self, sessions: Collection[SidecarSession]):
        self.sessions = sessions
        self.total: LoadSum | None = None

    def reset(self) -> None:
        """Forgets the sum, since the reports may have changed."""
        self.total = None

    def report_to(
        self, session: SidecarSession, now_s: float
    ) -> list[ClassLoad] | None:
        """Returns the others' waiting work, or None if it is not due."""
        if not session.reporter.is_due(now_s):
            return None
        if self.total is None:
            self.total = self._sum_backlogs()
        others = self.total.without(session.backlog)
        return session.reporter.report(others, now_s)

    def _sum_backlogs(self) -> LoadSum:
        return LoadSum(
            session.backlog
            for session in self.sessions
            if not session.fence.is_epoch_invalid
        )
