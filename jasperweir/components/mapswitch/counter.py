"""What the requests of an engine chose since it was last read; sans-I/O."""

from typing import NamedTuple


class Choices(NamedTuple):
    """Choices of experts in some last time.

    Attributes:
        seconds: Length of that time.
        counts: How often each expert was chosen, set after set; empty if that
            is not known.
    """

    seconds: float
    counts: tuple[int, ...]


NO_CHOICES = Choices(seconds=0.0, counts=())


class Counter:
    """Turn counts that only grow into what was chosen between two reads.

    Differences are a third of the bytes of the counts, and one that is lost
    takes nothing from those that follow.

    Attributes:
        dropped: Readings that made no sense and were not used.
    """

    def __init__(self) -> None:
        self.dropped = 0
        self._counts: tuple[int, ...] = ()
        self._at = 0.0

    def take(self, counts: tuple[int, ...], now: float) -> Choices:
        """Take in a reading; return what was chosen since the last one.

        A reading of another length, or one that goes back, begins anew: the
        engine has restarted, or the reading is damaged.
        """
        old, self._counts = self._counts, counts
        since, self._at = self._at, now
        if not old or not counts:
            return NO_CHOICES
        if len(counts) != len(old):
            self.dropped += 1
            return NO_CHOICES
        new = tuple(b - a for a, b in zip(old, counts, strict=True))
        if min(new) < 0:
            self.dropped += 1
            return NO_CHOICES
        return Choices(seconds=now - since, counts=new)
