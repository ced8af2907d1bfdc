"""Credits and demand of one entry, as a sidecar tracks them."""

from sardinestair.limits.credit_priority import REST_CLASS

__all__ = ["CreditHolder"]


class CreditHolder:
    """Credits and demand of one entry, as tracked by a sidecar.

    Attributes:
        granted: Credits granted in this epoch.
        spent: Credits spent on starts, whether accepted or refused.
        returned: Credits returned unused.
        demand: Credits that the entry wants, from its last report.
        head_units: Credits that its first waiting task needs.
        granted_since_report: Credits granted since the last report.
        head_order_key_s: Order key of its first waiting task, on the
            sidecar's clock.
        unmet_since_s: Time since which demand is unmet, on the sidecar's
            clock.
        recall_pending: True while a `Recall` is unanswered.
        head_class: Class of its first waiting task.
        class_units: Units of `demand` that are of this class.
        granted_s: When credits were granted last, on the sidecar's clock.
    """

    def __init__(self) -> None:
        self.granted = 0
        self.spent = 0
        self.returned = 0
        self.demand = 0
        self.head_units = 1
        self.granted_since_report = 0
        self.head_order_key_s = 0.0
        self.unmet_since_s = 0.0
        self.recall_pending = False
        self.head_class = 0
        self.class_units = 0
        self.granted_s = 0.0

    @property
    def current_class(self) -> int:
        """Class of its next unmet demand."""
        if self.granted_since_report < self.class_units:
            return self.head_class
        # The report says nothing of the tasks behind those of the first class.
        return max(self.head_class, REST_CLASS)

    @property
    def unmet(self) -> int:
        """Number of credits that are wanted and have not been granted."""
        unmet = self.demand - self.granted_since_report
        return unmet if unmet > 0 else 0

    @property
    def held(self) -> int:
        """Number of credits granted and neither spent nor returned."""
        return self.granted - self.spent - self.returned
