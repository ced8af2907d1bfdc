"""A limit on the number of objects that a decoder creates.

A body of legal size may consist of very many small objects, which take several
times its memory, and hold the interpreter while they are made.
"""

import math
import threading
from collections.abc import Iterator
from contextlib import contextmanager

__all__ = ["ObjectLimit", "count_object", "limit_objects"]


class ObjectLimit:
    """Number of objects that may still be created.

    Args:
        left: The number.
    """

    def __init__(self, left: float):
        self.left = left

    @property
    def too_many(self) -> bool:
        """True if one more was to be created."""
        return self.left < 0


_NO_LIMIT = ObjectLimit(math.inf)


class _Current(threading.local):
    """The limit in force in this thread."""

    limit = _NO_LIMIT


_current = _Current()


def count_object() -> None:
    """Counts an object; called by the `__post_init__` of its class.

    Raises:
        ValueError: If there are too many.
    """
    limit = _current.limit
    limit.left -= 1
    if limit.left < 0:
        raise ValueError("too many objects")


@contextmanager
def limit_objects(count: int) -> Iterator[ObjectLimit]:
    """Limits the objects that are decoded in the block, in this thread.

    Args:
        count: The largest number.

    Examples:
        >>> with limit_objects(1) as limit:
        ...     count_object()
        >>> limit.too_many
        False
    """
    _current.limit = ObjectLimit(count)
    try:
        yield _current.limit
    finally:
        _current.limit = _NO_LIMIT
