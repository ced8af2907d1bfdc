"""Credits: the right to start one task on an upstream.

A sidecar hands the free slots of its upstream to the entries as credits, so
that a task is sent only when a slot is there for it. The counters of an
account are cumulative within one epoch of a link.
"""

from sardinestair.ids import Incarnation

__all__ = ["CreditAccount", "CreditHolder", "CreditLedger"]


class CreditAccount:
    """An entry's view of the credits that one sidecar has granted it.

    Attributes:
        granted: Credits granted in this epoch.
        spent: Credits spent on starts.
        returned: Credits given back.

    Examples:
        >>> account = CreditAccount()
        >>> account.grant(3)
        >>> account.spend()
        >>> account.available
        2
        >>> account.give_back(5)
        2
    """

    def __init__(self) -> None:
        self.granted = 0
        self.spent = 0
        self.returned = 0

    @property
    def available(self) -> int:
        """Credits that can be spent now."""
        return self.granted - self.spent - self.returned

    def reset(self) -> None:
        """Forgets all credits; a new epoch starts from nothing."""
        self.granted = self.spent = self.returned = 0

    def grant(self, total: int) -> None:
        """Takes the sidecar's cumulative count of granted credits."""
        self.granted = max(self.granted, total)

    def spend(self) -> None:
        """Spends one credit.

        Raises:
            AssertionError: If there is none, which is a broken invariant.
        """
        assert self.available > 0, "a task was placed without a credit"
        self.spent += 1

    def give_back(self, count: int) -> int:
        """Gives unused credits back.

        Args:
            count: How many at most.

        Returns:
            The cumulative count of credits given back.
        """
        self.returned += min(count, self.available)
        return self.returned


class CreditHolder:
    """What a sidecar knows of one entry's credits and demand.

    Attributes:
        granted: Credits granted in this epoch.
        spent: Credits spent on starts, whether accepted or refused.
        returned: Credits given back.
        demand: Tasks that wait at the entry, as last told.
        granted_since: Credits granted since then.
        urgent_at_s: Order key of the first of them, on the sidecar's clock.
        unmet_since_s: Since when tasks have waited, on the sidecar's clock.
        recall_pending: True while a `Recall` is unanswered.
    """

    def __init__(self) -> None:
        self.granted = 0
        self.spent = 0
        self.returned = 0
        self.demand = 0
        self.granted_since = 0
        self.urgent_at_s = 0.0
        self.unmet_since_s = 0.0
        self.recall_pending = False

    @property
    def unmet(self) -> int:
        """Waiting tasks that no credit has been granted for."""
        return max(0, self.demand - self.granted_since)

    @property
    def held(self) -> int:
        """Credits granted and neither spent nor given back."""
        return self.granted - self.spent - self.returned


class CreditLedger:
    """Divides the slots of one upstream among the entries.

    A free slot goes to the entry whose first waiting task has the smallest
    order key. When demand is unmet, idle credits of other entries are called
    back. While any entry reports waiting tasks, a slot that nobody asks for
    right now is kept for the next report; with no demand at all, idle slots
    are spread evenly ahead of demand.

    Args:
        slots: Tasks that the upstream runs at a time.
        read_ahead: Credits beyond the slots, whose tasks wait at the sidecar.
        recall_delay_s: How long tasks must wait before idle credits of other
            entries are called back, in seconds.

    Attributes:
        holders: The entries by incarnation.
        running: Tasks that occupy a slot.

    Examples:
        >>> ledger = CreditLedger(slots=2)
        >>> entry = Incarnation(b"e" * 16)
        >>> ledger.open(entry)
        >>> ledger.allocate()
        {b'eeeeeeeeeeeeeeee'}
        >>> ledger.holders[entry].held
        2
    """

    def __init__(
        self, slots: int, read_ahead: int = 0, recall_delay_s: float = 0.0
    ):
        self.slots = slots
        self.read_ahead = read_ahead
        self.recall_delay_s = recall_delay_s
        self.holders: dict[Incarnation, CreditHolder] = {}
        self.running = 0

    @property
    def free(self) -> int:
        """Credits that can still be granted."""
        held = sum(holder.held for holder in self.holders.values())
        return self.slots + self.read_ahead - self.running - held

    def open(self, entry: Incarnation) -> None:
        """Starts an entry's account for a new epoch, without credits."""
        self.holders[entry] = CreditHolder()

    def close(self, entry: Incarnation) -> None:
        """Takes back all that an entry holds."""
        self.holders.pop(entry, None)

    def observe_demand(
        self,
        entry: Incarnation,
        count: int,
        urgent_at_s: float,
        now_s: float = 0.0,
    ) -> None:
        """Takes an entry's report of its waiting tasks."""
        holder = self.holders[entry]
        if not holder.unmet:
            holder.unmet_since_s = now_s
        holder.demand = count
        holder.granted_since = 0
        holder.urgent_at_s = urgent_at_s

    def observe_return(self, entry: Incarnation, total: int) -> None:
        """Takes an entry's cumulative count of credits given back."""
        holder = self.holders[entry]
        holder.returned = max(holder.returned, total)
        holder.recall_pending = False

    def spend(self, entry: Incarnation) -> bool:
        """Spends a credit for a start.

        Returns:
            True if the entry held one.
        """
        holder = self.holders.get(entry)
        if holder is None or holder.held <= 0:
            return False
        holder.spent += 1
        return True

    def allocate(self) -> set[Incarnation]:
        """Grants the free slots.

        Returns:
            The entries whose cumulative grant has changed.
        """
        granted: set[Incarnation] = set()
        for _ in range(max(self.free, 0)):
            entry = self._next_entry()
            if entry is None:
                break
            holder = self.holders[entry]
            holder.granted += 1
            holder.granted_since += 1
            granted.add(entry)
        return granted

    def recalls(self, now_s: float = 0.0) -> dict[Incarnation, int]:
        """Decides which idle credits to call back for unmet demand.

        Args:
            now_s: The present, in seconds.

        Returns:
            For each entry that should give credits back, how many.
        """
        unmet = sum(
            holder.unmet
            for holder in self.holders.values()
            if now_s - holder.unmet_since_s >= self.recall_delay_s
        )
        calls: dict[Incarnation, int] = {}
        for entry, holder in self.holders.items():
            idle = 0 if holder.demand else holder.held
            if unmet <= 0 or idle <= 0 or holder.recall_pending:
                continue
            calls[entry] = min(idle, unmet)
            holder.recall_pending = True
            unmet -= calls[entry]
        return calls

    def _next_entry(self) -> Incarnation | None:
        asking = [e for e, h in self.holders.items() if h.unmet > 0]
        if asking:
            return min(asking, key=lambda e: self.holders[e].urgent_at_s)
        if any(holder.demand for holder in self.holders.values()):
            return None
        if not self.holders:
            return None
        return min(self.holders, key=lambda e: self.holders[e].held)
