"""Rules that keep late, repeated and lost frames from taking effect."""

import enum

__all__ = ["FrameFence", "FrameVerdict"]


class FrameVerdict(enum.Enum):
    """What to do with a frame."""

    ACCEPT = "accept"
    NEW_EPOCH = "new_epoch"
    STALE = "stale"
    GAP = "gap"


class FrameFence:
    """Decides which frames of one peer are current.

    The first frame of a higher epoch opens that epoch and fences all earlier
    ones, as the initialisation of a new producer fences the previous one in
    transactional snapshot writes (see docs/DESIGN.md). Within an epoch frames
    count in sequence; a gap means that frames were lost, after which the
    epoch is of no further use.

    Attributes:
        epoch: Highest epoch seen, 0 before the first.
        sequence: Highest sequence number seen in this epoch.
        broken: True after a gap, until the next epoch.

    Examples:
        >>> fence = FrameFence()
        >>> fence.check(epoch=1, sequence=1)
        <FrameVerdict.NEW_EPOCH: 'new_epoch'>
        >>> fence.check(epoch=1, sequence=1)
        <FrameVerdict.STALE: 'stale'>
        >>> fence.check(epoch=1, sequence=2)
        <FrameVerdict.ACCEPT: 'accept'>
        >>> fence.check(epoch=1, sequence=4)
        <FrameVerdict.GAP: 'gap'>
    """

    def __init__(self) -> None:
        self.epoch = 0
        self.sequence = 0
        self.broken = False

    def check(self, epoch: int, sequence: int) -> FrameVerdict:
        """Judges a frame and remembers it if it is current.

        Args:
            epoch: Epoch of the frame.
            sequence: Sequence number of the frame.

        Returns:
            The verdict.
        """
        if epoch > self.epoch:
            return self._open(epoch, sequence)
        if epoch < self.epoch or sequence <= self.sequence:
            return FrameVerdict.STALE
        if self.broken or sequence > self.sequence + 1:
            self.broken = True
            return FrameVerdict.GAP
        self.sequence = sequence
        return FrameVerdict.ACCEPT

    def _open(self, epoch: int, sequence: int) -> FrameVerdict:
        if sequence != 1:
            return FrameVerdict.GAP
        self.epoch = epoch
        self.sequence = sequence
        self.broken = False
        return FrameVerdict.NEW_EPOCH
