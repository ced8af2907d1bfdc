"""Credits: the right to start tasks on an upstream.

A sidecar hands the free capacity of its upstream to the entries as credits,
so that a task is sent only when there is room for it. A credit is one slot,
or one unit of an upstream that has a capacity; a task then spends as many as
its share of that capacity. The counters of an account are cumulative within
one epoch of a link.
"""

from sardinestair.ids import Incarnation

__all__ = ["CreditAccount", "CreditHolder", "CreditLedger"]

# Idle capacity is spread in this many parts, so that each entry's share is
# even to within a few hundredths.
IDLE_STEPS = 64


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

    def spend(self, units: int = 1) -> None:
        """Spends the credits of one task.

        Raises:
            AssertionError: If there are too few, a broken invariant.
        """
        assert self.available >= units, "a task was placed without credits"
        self.spent += units

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
        demand: Credits that the entry wants, as last told.
        head_units: Credits that its first waiting task needs.
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
        self.head_units = 1
        self.granted_since = 0
        self.urgent_at_s = 0.0
        self.unmet_since_s = 0.0
        self.recall_pending = False

    @property
    def unmet(self) -> int:
        """Credits that are wanted and have not been granted."""
        return max(0, self.demand - self.granted_since)

    @property
    def held(self) -> int:
        """Credits granted and neither spent nor given back."""
        return self.granted - self.spent - self.returned


class CreditLedger:
    """Divides the slots or units of one upstream among the entries.

    Free units go to the entry whose first waiting task has the smallest order
    key, as many as that task needs at a time; units too few for it are kept
    until more are free. When demand is unmet, idle credits of other entries
    are called back. While any entry reports waiting tasks, units that nobody
    asks for right now are kept for the next report; with no demand at all,
    idle ones are spread evenly ahead of demand.

    Args:
        slots: Units of the upstream; tasks that it runs at a time if it
            counts slots.
        read_ahead: Credits beyond the slots, whose tasks wait at the sidecar.
        recall_delay_s: How long tasks must wait before idle credits of other
            entries are called back, in seconds.

    Attributes:
        holders: The entries by incarnation.
        running: Units that tasks occupy.

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
        head_units: int = 1,
    ) -> None:
        """Takes an entry's report of its waiting tasks.

        Args:
            entry: The entry.
            count: Credits that it wants.
            urgent_at_s: Order key of its first waiting task.
            now_s: The present, in seconds.
            head_units: Credits that this task needs.
        """
        holder = self.holders[entry]
        if not holder.unmet:
            holder.unmet_since_s = now_s
        holder.demand = count
        holder.head_units = max(1, head_units)
        holder.granted_since = 0
        holder.urgent_at_s = urgent_at_s

    def observe_return(self, entry: Incarnation, total: int) -> None:
        """Takes an entry's cumulative count of credits given back."""
        holder = self.holders[entry]
        holder.returned = max(holder.returned, total)
        holder.recall_pending = False

    def spend(self, entry: Incarnation, units: int = 1) -> bool:
        """Spends the credits of a start.

        Returns:
            True if the entry held as many.
        """
        holder = self.holders.get(entry)
        if holder is None or holder.held < units:
            return False
        holder.spent += units
        return True

    def allocate(self) -> set[Incarnation]:
        """Grants what is free.

        Returns:
            The entries whose cumulative grant has changed.
        """
        granted: set[Incarnation] = set()
        free = self.free
        while free > 0:
            entry = self._next_entry()
            if entry is None:
                break
            units = self._next_units(self.holders[entry])
            if units > free:
                break
            holder = self.holders[entry]
            holder.granted += units
            holder.granted_since += units
            free -= units
            granted.add(entry)
        return granted

    def _next_units(self, holder: CreditHolder) -> int:
        """Returns how many credits an entry gets in one step."""
        if holder.unmet > 0:
            return min(holder.unmet, holder.head_units)
        return max(1, self.slots // IDLE_STEPS)

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
