"""Grants and recalls of credits for the slots of the upstream."""

from sardinestair.limits.credits import CreditLedger
from sardinestair.messages import Recall
from sardinestair.sidecar.availability import UpstreamAvailability
from sardinestair.sidecar.policy import SidecarPolicy
from sardinestair.sidecar.session_table import SessionTable

__all__ = ["CreditAllocator"]


class CreditAllocator:
    """Sends entries the credits that the ledger allots to them.

    Args:
        ledger: Allots the upstream's slots to entries as credits.
        availability: Whether the upstream takes tasks.
        sessions: The sessions with the entries.

    Attributes:
        cold_share: Share of its capacity that an upstream gets when it is
            coldest.
    """

    def __init__(
        self,
        ledger: CreditLedger,
        availability: UpstreamAvailability,
        sessions: SessionTable,
    ):
        self.ledger = ledger
        self.availability = availability
        self.sessions = sessions
        self.cold_share = SidecarPolicy().cold_share

    def adopt(self, policy: SidecarPolicy) -> None:
        """Adopts the settings that concern credits."""
        self.ledger.read_ahead = policy.read_ahead
        self.ledger.recall_delay_s = policy.recall_delay_s
        self.ledger.idle_grant_delay_s = policy.idle_grant_delay_s
        self.cold_share = policy.cold_share

    def allocate(self, now_s: float) -> None:
        """Queues grants and recalls, unless the upstream takes no tasks."""
        if not self.availability.accepts_tasks:
            return
        caller = self.availability.caller
        if (
            caller is None
            or not caller.has_no_orphans
            or caller.is_lease_ending
        ):
            return
        self.ledger.slots = self._granted_slots(now_s)
        sessions = self.sessions.by_entry
        addressed = {
            entry for entry, session in sessions.items() if session.outbox
        }
        for entry in self.ledger.allocate(now_s, addressed):
            holder = self.ledger.holders[entry]
            sessions[entry].grant(holder.granted, holder.demand > 0)
        for entry, count in self.ledger.start_recalls(now_s).items():
            sessions[entry].outbox.append(Recall(count))

    def _granted_slots(self, now_s: float) -> int:
        """Returns the credits to grant: fewer while the upstream is cold."""
        upstream = self.availability.upstream
        slots = upstream.slots
        share = upstream.warmup.share(now_s, self.cold_share)
        # At least one task at a time.
        return min(slots, max(round(share * slots), self.ledger.task_units))
