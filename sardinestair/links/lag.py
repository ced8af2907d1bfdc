"""Delay of frames whose sender and receiver have different clocks."""

__all__ = ["FrameLag"]


class FrameLag:
    """Measures how much later than the fastest ones a frame is received.

    The clocks of sender and receiver start at different times and may run at
    rates that differ by up to 2%, so the smallest difference between the two
    is taken from recent frames only.

    Args:
        window_s: Length of the two periods in which it is searched, in
            seconds.

    Attributes:
        excess_s: Delay of the latest frame beyond the fastest recent one, in
            seconds.

    Examples:
        >>> lag = FrameLag()
        >>> lag.observe(sent_s=7.0, received_s=100.0)
        >>> lag.observe(sent_s=8.0, received_s=101.25)
        >>> lag.excess_s
        0.25
    """

    def __init__(self, window_s: float = 2.0):
        self.window_s = window_s
        self.window_end_s = float("-inf")
        self.previous_min_s = float("inf")
        self.current_min_s = float("inf")
        self.excess_s = 0.0

    def observe(self, sent_s: float, received_s: float) -> None:
        """Records a frame.

        Args:
            sent_s: When it was sent, on the sender's clock.
            received_s: When it was received, on the receiver's clock.
        """
        offset_s = received_s - sent_s
        if received_s >= self.window_end_s:
            self.window_end_s = received_s + self.window_s
            self.previous_min_s = self.current_min_s
            self.current_min_s = offset_s
        self.current_min_s = min(self.current_min_s, offset_s)
        fastest_s = min(self.previous_min_s, self.current_min_s)
        self.excess_s = offset_s - fastest_s
