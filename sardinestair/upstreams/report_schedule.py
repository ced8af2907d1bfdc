"""How long reports of an upstream wait, and how long it has been silent."""

__all__ = ["ReportSchedule"]

# An unanswered renewal must be repeated once within a lease of 0.45 s:
# 2 x (wait + round trip) < lease.
REPORT_WAIT_S = 0.1
REPORT_ROUND_TRIP_S = 0.1
# While nothing runs, reports are only needed for starts that come meanwhile:
# wait + 2 x round trip + retry delay < lease.
IDLE_REPORT_WAIT_S = 0.2
REPORT_RETRY_DELAY_S = 0.02
# After a lost request, reports are polled faster, so that another lost report
# delays the ends of tasks of 120 ms only briefly; this costs about 30 more
# calls a second.
DEGRADED_REPORT_WAIT_S = 0.025
DEGRADED_REPORT_ROUND_TRIP_S = 0.05
DEGRADED_PERIOD_S = 2.0
MAX_UNANSWERED_RENEWALS = 2


class ReportSchedule:
    """Counts unanswered reports, and sets the time-outs of the next one.

    Args:
        now_s: The current time, on the local clock.

    Attributes:
        unanswered: Number of consecutive reports without an answer.
        silent_since_s: When the first of these failed, or when the last report
            arrived.
        last_unanswered_s: When a start or report last got no answer.
    """

    def __init__(self, now_s: float):
        self.unanswered = 0
        self.silent_since_s = now_s
        self.last_unanswered_s = -DEGRADED_PERIOD_S

    @property
    def may_renew(self) -> bool:
        """True if the next report is to renew the lease.

        Any of the unanswered renewals may have been executed. Further ones
        would postpone the time at which the lease has certainly expired.
        """
        return self.unanswered < MAX_UNANSWERED_RENEWALS

    def timeouts(
        self, now_s: float, is_idle: bool, longest_wait_s: float
    ) -> tuple[float, float]:
        """Returns how long a report waits for an end, and its round trip.

        Args:
            now_s: The current time, on the local clock.
            is_idle: True if no run is active.
            longest_wait_s: After which time the report is needed anyway, in
                seconds.
        """
        if self.unanswered:
            return 0.0, REPORT_ROUND_TRIP_S
        if now_s - self.last_unanswered_s < DEGRADED_PERIOD_S:
            return DEGRADED_REPORT_WAIT_S, DEGRADED_REPORT_ROUND_TRIP_S
        wait_s = IDLE_REPORT_WAIT_S if is_idle else REPORT_WAIT_S
        return min(wait_s, longest_wait_s), REPORT_ROUND_TRIP_S

    def record_unanswered_start(self, now_s: float) -> None:
        """Records that a start got no answer."""
        self.last_unanswered_s = now_s

    def record_missing(self, now_s: float) -> None:
        """Records that a report got no answer."""
        self.last_unanswered_s = now_s
        if not self.unanswered:
            self.silent_since_s = now_s
        self.unanswered += 1

    def record_report(self, now_s: float) -> None:
        """Records that a report has arrived."""
        self.unanswered = 0
        self.silent_since_s = now_s
