"""Counts of expert selections between two reads of an engine; sans-I/O."""

from typing import NamedTuple


class ExpertCounts(NamedTuple):
    """Expert selections in the interval since the last read.

    Attributes:
        seconds: Length of the interval, seconds.
        counts: How often each expert was selected, all sets in one row; empty
            if unknown.
    """

    seconds: float
    counts: tuple[int, ...]


NO_COUNTS = ExpertCounts(seconds=0.0, counts=())


class CountDiffer:
    """Computes the differences of an engine's cumulative counts.

    Differences take a third of the bytes of cumulative counts, and a lost one
    does not affect later ones.

    Attributes:
        dropped: Number of inconsistent readings that were not used.
    """

    def __init__(self) -> None:
        self.dropped = 0
        self._counts: tuple[int, ...] = ()
        self._at = 0.0

    def update(self, counts: tuple[int, ...], now: float) -> ExpertCounts:
        """Return the selections between the last reading and this one.

        After a reading of another length or with a lower count the differences
        restart: the engine has restarted, or the reading is damaged.
        """
        old, self._counts = self._counts, counts
        since, self._at = self._at, now
        if not old or not counts:
            return NO_COUNTS
        if len(counts) != len(old):
            self.dropped += 1
            return NO_COUNTS
        new = tuple(b - a for a, b in zip(old, counts, strict=True))
        if min(new) < 0:
            self.dropped += 1
            return NO_COUNTS
        return ExpertCounts(seconds=now - since, counts=new)
