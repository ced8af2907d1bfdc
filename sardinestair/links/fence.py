"""Fencing of frames: rejects stale and duplicate frames, detects lost ones."""

import enum

__all__ = ["FrameFence", "FrameStatus"]


class FrameStatus(enum.Enum):
    """How a frame relates to those received before."""

    ACCEPTED = "accept"
    NEW_EPOCH = "new_epoch"
    STALE = "stale"
    GAP = "gap"


class FrameFence:
    """Fences off stale frames of one peer by epoch and sequence number.

    The first frame of a higher epoch opens that epoch and fences off all
    earlier ones, as a newly initialised producer fences off the previous one
    in transactional snapshot writes (see docs/DESIGN.md). Within an epoch the
    sequence numbers are consecutive. A gap means that frames were lost, and
    no further frame of that epoch is accepted.

    Attributes:
        epoch: Highest epoch seen, 0 before the first.
        sequence: Highest sequence number accepted in this epoch.
        is_epoch_invalid: True after a gap, until the next epoch.

    Examples:
        >>> fence = FrameFence()
        >>> fence.check(epoch=1, sequence=1)
        <FrameStatus.NEW_EPOCH: 'new_epoch'>
        >>> fence.check(epoch=1, sequence=1)
        <FrameStatus.STALE: 'stale'>
        >>> fence.check(epoch=1, sequence=2)
        <FrameStatus.ACCEPTED: 'accept'>
        >>> fence.check(epoch=1, sequence=4)
        <FrameStatus.GAP: 'gap'>
    """

    def __init__(self) -> None:
        self.epoch = 0
        self.sequence = 0
        self.is_epoch_invalid = False

    def check(self, epoch: int, sequence: int) -> FrameStatus:
        """Classifies a frame, and records its numbers if it is accepted.

        Args:
            epoch: Epoch of the frame.
            sequence: Sequence number of the frame.

        Returns:
            The status of the frame.
        """
        if epoch > self.epoch:
            return self._open(epoch, sequence)
        if epoch < self.epoch or sequence <= self.sequence:
            return FrameStatus.STALE
        if self.is_epoch_invalid or sequence > self.sequence + 1:
            self.is_epoch_invalid = True
            return FrameStatus.GAP
        self.sequence = sequence
        return FrameStatus.ACCEPTED

    def _open(self, epoch: int, sequence: int) -> FrameStatus:
        if sequence != 1:
            return FrameStatus.GAP
        self.epoch = epoch
        self.sequence = sequence
        self.is_epoch_invalid = False
        return FrameStatus.NEW_EPOCH
