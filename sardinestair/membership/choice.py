"""Selection of the entries to which a sidecar announces itself."""

import hashlib
from collections.abc import Iterable

from sardinestair.ids import Incarnation

__all__ = ["choose_entries"]


def choose_entries(
    sidecar: Incarnation, endpoints: Iterable[str], count: int
) -> list[str]:
    """Chooses a bounded subset of entries by rendezvous hashing.

    This distributes sidecars evenly over the entries without coordination, and
    an entry that joins or leaves affects only the sidecars assigned to it.

    Args:
        sidecar: The sidecar's incarnation.
        endpoints: Membership endpoints of all known entries.
        count: Maximum number of entries to choose.

    Returns:
        The chosen endpoints.

    Examples:
        >>> sidecar = Incarnation(b"s" * 16)
        >>> chosen = choose_entries(sidecar, ["a:1", "b:1", "c:1"], 2)
        >>> len(chosen)
        2
        >>> rest = [e for e in ["a:1", "b:1", "c:1"] if e not in chosen]
        >>> choose_entries(sidecar, chosen, 2) == chosen
        True
    """

    def weight(endpoint: str) -> bytes:
        data = sidecar + endpoint.encode()
        return hashlib.blake2b(data, digest_size=8).digest()

    return sorted(dict.fromkeys(endpoints), key=weight)[:count]
