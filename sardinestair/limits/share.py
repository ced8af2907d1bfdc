"""The share of an entry in what all entries use."""

__all__ = ["EntryShare"]


class EntryShare:
    """Share of the upstreams and quotas when all entries have demand.

    Attributes:
        entry_count: Number of entries, with this one.

    Examples:
        >>> share = EntryShare()
        >>> share.entry_count = 4
        >>> share.value
        0.25
    """

    def __init__(self, entry_count: int = 1):
        self.entry_count = entry_count

    @property
    def value(self) -> float:
        """The share, above 0 and at most 1."""
        return 1 / self.entry_count
