"""Credit-based flow control between entries and a sidecar.

A sidecar grants the free capacity of its upstream to the entries as credits,
so that an entry sends a task only when there is room for it. On an upstream
that counts slots, a task takes one credit. On an upstream with a capacity, a
credit is one unit of it, and a task takes credits in proportion to its need.
All counters are cumulative within one epoch of a link, so that a repeated
message changes nothing.
"""

import math
from collections.abc import Container

from sardinestair.ids import Incarnation
from sardinestair.limits.credit_holder import CreditHolder
from sardinestair.limits.credit_priority import (
    REST_CLASS,
    ClassGuarantee,
    priority_of,
)

__all__ = ["CreditAccount", "CreditLedger"]

# Idle capacity is granted in this many parts, so that the shares of the entries
# differ by a few percent at most.
IDLE_GRANT_PARTS = 64
# Age at which unspent credits of an entry with demand count as idle, in
# seconds. Until then, a frame with the grant or the start may be on its way.
UNSPENT_AGE_S = 0.1
# Limit on how much less urgent the task of an entry may be that gets a frame
# anyway, in seconds: less than the slack of most jobs.
FRAME_LEAD_S = 0.2


class CreditAccount:
    """An entry's credits at one sidecar.

    Attributes:
        granted: Credits granted in this epoch.
        spent: Credits spent on starts.
        returned: Credits returned unused.

    Examples:
        >>> account = CreditAccount()
        >>> account.grant(3)
        >>> account.spend()
        >>> account.available
        2
        >>> account.return_unused(5)
        2
    """

    def __init__(self) -> None:
        self.granted = 0
        self.spent = 0
        self.returned = 0

    @property
    def available(self) -> int:
        """Number of credits that can be spent now."""
        return self.granted - self.spent - self.returned

    def reset(self) -> None:
        """Clears all counters at the start of a new epoch."""
        self.granted = self.spent = self.returned = 0

    def grant(self, total: int) -> None:
        """Updates the cumulative count of granted credits."""
        self.granted = max(self.granted, total)

    def spend(self, units: int = 1) -> None:
        """Spends the credits of one task.

        Raises:
            AssertionError: If there are too few credits.
        """
        assert self.available >= units, (
            "a task was placed without enough credits"
        )
        self.spent += units

    def return_unused(self, count: int) -> int:
        """Returns unused credits to the sidecar.

        Args:
            count: Maximum number of credits to return.

        Returns:
            The cumulative count of returned credits.
        """
        self.returned += min(count, self.available)
        return self.returned


class CreditLedger:
    """Allocates the credits of one upstream to the entries.

    Free units are granted to the entry whose first waiting task is of the most
    urgent class, and among these to the smallest order key, in steps of the
    units that this task needs. If fewer are free, they are kept until there
    are enough. If demand is unmet, idle credits of other entries are recalled:
    those of entries without demand, and those that an entry with less urgent
    demand has left unspent.

    Of entries that are about as urgent, one that gets a frame anyway goes
    first: a grant that travels with an outcome costs no frame, and the entry is
    not woken twice.

    While any entry has demand, free units beyond the unmet demand are kept for
    the next report. Without any demand for a time, they are granted in advance,
    evenly to all entries.

    Args:
        slots: Credit units of the upstream. Without a capacity, one unit is
            one task that runs concurrently with others.
        read_ahead: Credits beyond the slots, for tasks that wait at the
            sidecar.
        recall_delay_s: Time for which demand must be unmet before idle credits
            of other entries are recalled, in seconds.

    Attributes:
        idle_grant_delay_s: Time without demand after which free units are
            granted in advance, in seconds. Those granted sooner would mostly
            be recalled for the next demand of another entry.
        last_demand_s: When any entry had demand last, on the sidecar's clock.
        holders: Credits and demand by incarnation of the entry.
        occupied_units: Units that running tasks occupy.
        task_units: Units of the largest task so far. Idle units are granted in
            such steps, since fewer can't start a task and must be recalled.
        guarantee: Keeps a small share of the room for less urgent classes.
        priorities: The priorities that entries have reported, `REST_CLASS` for
            unnamed ones. With only one, classes have no effect.

    Examples:
        >>> ledger = CreditLedger(slots=2)
        >>> entry = Incarnation(b"e" * 16)
        >>> ledger.reset_entry(entry)
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
        self.idle_grant_delay_s = 0.0
        self.last_demand_s = -math.inf
        self.holders: dict[Incarnation, CreditHolder] = {}
        self.occupied_units = 0
        self.task_units = 1
        self.guarantee = ClassGuarantee()
        self.priorities: set[int] = set()

    @property
    def free(self) -> int:
        """Number of credits that can be granted now."""
        held = sum(holder.held for holder in self.holders.values())
        return self.slots + self.read_ahead - self.occupied_units - held

    def reset_entry(self, entry: Incarnation) -> None:
        """Starts a new epoch of an entry, without credits."""
        self.holders[entry] = CreditHolder()

    def remove_entry(self, entry: Incarnation) -> None:
        """Removes an entry, which frees its unspent credits."""
        self.holders.pop(entry, None)

    def update_demand(
        self,
        entry: Incarnation,
        count: int,
        head_order_key_s: float,
        now_s: float = 0.0,
        head_units: int = 1,
        head_class: int = 0,
        class_units: int = 0,
    ) -> None:
        """Records an entry's report of its demand.

        Args:
            entry: Incarnation of the entry.
            count: Number of credits that it wants.
            head_order_key_s: Order key of its first waiting task, on the
                sidecar's clock.
            now_s: Current time in seconds.
            head_units: Credits that this task needs.
            head_class: Class of this task; a smaller one goes first.
            class_units: Credits that tasks of this class need; 0 if all are.
        """
        holder = self.holders[entry]
        if count:
            self.last_demand_s = now_s
        if not holder.unmet:
            holder.unmet_since_s = now_s
        holder.demand = count
        holder.head_units = max(1, head_units)
        holder.granted_since_report = 0
        holder.head_order_key_s = head_order_key_s
        holder.head_class = head_class
        holder.class_units = class_units or count
        if count:
            self.priorities.add(priority_of(head_class))
        if holder.class_units < count:
            self.priorities.add(REST_CLASS)

    def update_returned(self, entry: Incarnation, total: int) -> None:
        """Records an entry's cumulative count of returned credits."""
        holder = self.holders[entry]
        holder.returned = max(holder.returned, total)
        holder.recall_pending = False

    def spend(self, entry: Incarnation, units: int = 1) -> bool:
        """Spends the credits of a start.

        Returns:
            True if the entry held enough credits.
        """
        holder = self.holders.get(entry)
        if holder is None or holder.held < units:
            return False
        holder.spent += units
        self.task_units = max(self.task_units, units)
        return True

    def allocate(
        self,
        now_s: float = 0.0,
        addressed: Container[Incarnation] = frozenset(),
    ) -> set[Incarnation]:
        """Grants free credits.

        Args:
            now_s: Current time in seconds.
            addressed: Entries to which a frame is sent now in any case.

        Returns:
            The entries whose count of granted credits has changed.
        """
        granted: set[Incarnation] = set()
        free = self.free
        if free <= 0:
            return granted
        asking = {e: h for e, h in self.holders.items() if h.unmet > 0}
        while free > 0:
            wanted = self._wanted_by_class(asking)
            entry = self._next_entry(asking, wanted, addressed, now_s)
            if entry is None:
                break
            holder = self.holders[entry]
            units = self._grant_size(holder)
            if units > free:
                break
            if len(wanted) > 1:
                self.guarantee.observe_grant(
                    holder.current_class, units, wanted
                )
            holder.granted += units
            holder.granted_since_report += units
            holder.granted_s = now_s
            free -= units
            granted.add(entry)
            if holder.unmet <= 0:
                asking.pop(entry, None)
        return granted

    def _grant_size(self, holder: CreditHolder) -> int:
        """Returns the credits to grant to an entry in one step."""
        if holder.unmet > 0:
            return min(holder.unmet, holder.head_units)
        return max(self.task_units, self.slots // IDLE_GRANT_PARTS)

    def start_recalls(self, now_s: float = 0.0) -> dict[Incarnation, int]:
        """Chooses the idle credits to recall for unmet demand.

        The entries chosen are marked as having a pending recall.

        Args:
            now_s: Current time in seconds.

        Returns:
            The number of credits to recall from each entry.
        """
        waiting = [
            holder
            for holder in self.holders.values()
            if holder.unmet > 0
            and now_s - holder.unmet_since_s >= self.recall_delay_s
        ]
        recalls: dict[Incarnation, int] = {}
        if not waiting:
            return recalls
        unmet = sum(holder.unmet for holder in waiting)
        most_urgent = min(holder.current_class for holder in waiting)
        for entry, holder in self.holders.items():
            if unmet <= 0:
                break
            idle = self._idle_units(holder, most_urgent, now_s)
            if idle <= 0 or holder.recall_pending:
                continue
            recalls[entry] = min(idle, unmet)
            holder.recall_pending = True
            unmet -= recalls[entry]
        return recalls

    def _idle_units(
        self, holder: CreditHolder, most_urgent: int, now_s: float
    ) -> int:
        """Returns the credits of an entry that can be recalled.

        Args:
            holder: The entry.
            most_urgent: The most urgent class that wants room.
            now_s: Current time in seconds.
        """
        if not holder.demand:
            return holder.held
        if not self.has_classes:
            return 0
        is_unspent = now_s - holder.granted_s >= UNSPENT_AGE_S
        is_less_urgent = holder.head_class > most_urgent
        return holder.held if is_less_urgent and is_unspent else 0

    @property
    def has_classes(self) -> bool:
        """True if entries have reported jobs of different priorities."""
        return len(self.priorities) > 1

    def _wanted_by_class(
        self, asking: dict[Incarnation, CreditHolder]
    ) -> dict[int, int]:
        """Returns the units of the next grant to each class with demand.

        It is empty if there is no choice between classes.
        """
        wanted: dict[int, int] = {}
        if len(asking) < 2 or not self.has_classes:
            return wanted
        for holder in asking.values():
            units = self._grant_size(holder)
            number = holder.current_class
            if units > wanted.get(number, 0):
                wanted[number] = units
        return wanted

    def _next_entry(
        self,
        asking: dict[Incarnation, CreditHolder],
        wanted: dict[int, int],
        addressed: Container[Incarnation],
        now_s: float,
    ) -> Incarnation | None:
        """Returns the entry that the next grant goes to, or None.

        Args:
            asking: The entries with unmet demand.
            wanted: Units of the next grant to each class.
            addressed: Entries to which a frame is sent now in any case.
            now_s: Current time in seconds.
        """

        def order_key_s(entry: Incarnation) -> float:
            key_s = asking[entry].head_order_key_s
            return key_s - FRAME_LEAD_S if entry in addressed else key_s

        if len(wanted) > 1:
            number = self.guarantee.next_class(wanted)
            asking = {
                entry: holder
                for entry, holder in asking.items()
                if holder.current_class == number
            }
        if asking:
            return min(asking, key=order_key_s)
        if any(holder.demand for holder in self.holders.values()):
            self.last_demand_s = now_s
            return None
        is_demand_recent = now_s - self.last_demand_s < self.idle_grant_delay_s
        if is_demand_recent or not self.holders:
            return None
        return min(self.holders, key=lambda e: self.holders[e].held)
