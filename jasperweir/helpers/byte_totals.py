"""Bytes that connections hold in memory, one by one and together; sans-I/O."""

from collections.abc import Callable
from typing import Generic
from typing import TypeVar

Holder = TypeVar("Holder")


class ByteTotal(Generic[Holder]):
    """Bytes by holder and their sum.

    Attributes:
        total: Bytes of all holders together.
    """

    def __init__(self) -> None:
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

    def list_holders(self) -> list[Holder]:
        """Return all holders, the first one first."""
        return list(self._sizes)

    def refresh(self, measure: Callable[[Holder], int]) -> None:
        """Measure each holder again, since buffers drain without notice."""
        for holder in list(self._sizes):
            self.set(holder, measure(holder))

    def find_largest(self, besides: Holder | None = None) -> Holder | None:
        """Return the holder with the most bytes, None if there is none.

        Args:
            besides: A holder that doesn't count.
        """
        return max(
            (holder for holder in self._sizes if holder is not besides),
            key=self._sizes.__getitem__,
            default=None,
        )
