"""Demand for experts: an average over time that starts anew at a jump.

What requests choose changes slowly for seconds and then all at once. An
average alone mixes both sides of a jump for as long as it remembers, and a
plan made meanwhile fits neither. So the choices of the last reads are compared
with those before them; where they differ by more than they usually do, the
older ones are dropped. A group of four engines on the virtual clock is on a
map that fits 1.0 s after a jump, with an average and changes of many copies
after 2.7 to 3.2 s. Sans-I/O.
"""

import collections
import math
from typing import NamedTuple

import numpy as np
import numpy.typing as npt

from jasperweir.components.mapswitch import const
from jasperweir.components.mapswitch import counter

Floats = npt.NDArray[np.float64]


class _CountInterval(NamedTuple):
    """Choices counted from one time to another."""

    begin: float
    end: float
    counts: Floats


class Jump(NamedTuple):
    """A jump in demand.

    Attributes:
        distance: Half the sum of the differences of shares, mean of sets.
        usual: Usual distance of that many choices.
        gap_s: Seconds since the jump before, or since the start.
    """

    distance: float
    usual: float
    gap_s: float


class Demand:
    """Shares of experts since the last jump.

    Attributes:
        dropped: Counts that do not fit the engine and were not used.
    """

    def __init__(self, *, sets: int, experts: int) -> None:
        self.dropped = 0
        self._shape = (sets, experts)
        self._older: Floats = np.zeros(self._shape)
        self._older_at = 0.0
        self._recent: collections.deque[_CountInterval] = collections.deque()
        self._usual_distance, self._deviation = const.INITIAL_NOISE
        # Choices that began earlier are from before the last jump.
        self._counted_since = float("-inf")
        self._jumped_at: float | None = None
        self._gaps: collections.deque[float] = collections.deque(
            maxlen=const.MAX_JUMP_GAPS
        )
        self._compared_at = 0.0

    @property
    def tokens(self) -> float:
        """Number of choices that the shares are made from."""
        return float(self._older.sum() + self._recent_counts().sum())

    @property
    def expected_duration_s(self) -> float:
        """Seconds that demand is expected to stay as it is."""
        if not self._gaps:
            return const.MAX_DEMAND_DURATION_SECONDS
        mean = sum(self._gaps) / len(self._gaps)
        return min(mean, const.MAX_DEMAND_DURATION_SECONDS)

    def is_settled(self, now: float) -> bool:
        """Tell whether enough has been counted since the last jump."""
        if now - self._counted_since < const.JUMP_SETTLE_SECONDS:
            return False
        return self.tokens >= const.MIN_DEMAND_CHOICES

    def observe(self, choices: counter.Choices, now: float) -> Jump | None:
        """Take in the choices of one rank; return a jump if they show one."""
        if not choices.counts:
            return None
        if len(choices.counts) != self._older.size or choices.seconds <= 0:
            self.dropped += 1
            return None
        begin = now - choices.seconds
        if begin < self._counted_since:
            return None
        counts = np.array(choices.counts, dtype=np.float64)
        self._recent.append(
            _CountInterval(begin, now, counts.reshape(self._shape))
        )
        self._decay(now)
        if now - self._compared_at < const.BUSY_READ_SECONDS:
            return None
        self._compared_at = now
        return self._detect_jump(now)

    def shares(self) -> Floats:
        """Return each expert's share of its set, rows that sum to 1."""
        return _shares(self._older + self._recent_counts())

    def _recent_counts(self) -> Floats:
        total: Floats = np.zeros(self._shape)
        for piece in self._recent:
            total += piece.counts
        return total

    def _decay(self, now: float) -> None:
        """Let time pass; what is fresh no more goes into the average."""
        passed = max(now - self._older_at, 0.0)
        self._older *= math.exp(-passed / const.DEMAND_TIME_CONSTANT_SECONDS)
        self._older_at = now
        while self._recent[0].end < now - const.RECENT_COUNTS_SECONDS:
            self._older += self._recent.popleft().counts

    def _detect_jump(self, now: float) -> Jump | None:
        """Compare the last reads with those before them."""
        fresh = self._recent_counts()
        least = const.MIN_DEMAND_CHOICES
        if fresh.sum() < least or self._older.sum() < least:
            return None
        if now - self._counted_since < const.JUMP_COOLDOWN_SECONDS:
            return None
        apart = np.abs(_shares(fresh) - _shares(self._older)).sum(axis=1) / 2
        distance = float(apart.mean())
        limit = self._usual_distance + const.JUMP_DEVIATIONS * self._deviation
        if distance > max(limit, const.MIN_JUMP_DISTANCE):
            return self._reset_after_jump(distance, now)
        step = const.NOISE_SMOOTHING
        off = abs(distance - self._usual_distance)
        self._usual_distance += step * (distance - self._usual_distance)
        self._deviation += step * (off - self._deviation)
        return None

    def _reset_after_jump(self, distance: float, now: float) -> Jump:
        """Forget what was counted before a jump."""
        self._counted_since = now - const.JUMP_MARGIN_SECONDS
        self._older = np.zeros(self._shape)
        self._recent.clear()
        gap_s = now - self._jumped_at if self._jumped_at is not None else 0.0
        if gap_s:
            self._gaps.append(gap_s)
        self._jumped_at = now
        return Jump(distance=distance, usual=self._usual_distance, gap_s=gap_s)


def _shares(counts: Floats) -> Floats:
    total = counts.sum(axis=1, keepdims=True)
    even = np.full_like(counts, 1.0 / counts.shape[1])
    return np.where(total > 0, counts / np.maximum(total, 1e-9), even)
