"""Bytes that connections hold in memory, one by one and together; sans-I/O."""

from collections.abc import Callable
from typing import Generic
from typing import TypeVar

Holder = TypeVar("Holder")


class ByteTotal(Generic[Holder]):
    """Bytes by holder and their sum.

    Attributes:
        limit: Most bytes of all holders together.
        total: Bytes of all holders together.
    """

    def __init__(self, *, limit: int) -> None:
        self.limit = limit
        self.total = 0
        self._sizes: dict[Holder, int] = {}

    def set(self, holder: Holder, size: int) -> None:
        """Set the bytes of a holder; 0 removes it."""
        self.total += size - self._sizes.get(holder, 0)
        if size:
            self._sizes[holder] = size
        else:
            self._sizes.pop(holder, None)

    def get(self, holder: Holder) -> int:
        """Return the bytes of a holder."""
        return self._sizes.get(holder, 0)

    @property
    def is_exceeded(self) -> bool:
        """Whether all holders together have more than the limit."""
        return self.total > self.limit

    def refresh(self, measure: Callable[[Holder], int]) -> None:
        """Measure each holder again, since buffers drain without notice."""
        for holder in list(self._sizes):
            self.set(holder, measure(holder))

    def find_largest(self) -> Holder:
        """Return the holder with the most bytes; there must be one."""
        return max(self._sizes, key=self._sizes.__getitem__)
