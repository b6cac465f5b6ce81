"""Moving average of expert demand that is reset at a jump; sans-I/O.

A moving average alone would mix the counts from before and after a jump, and a
plan made from it would fit neither. So recent counts are compared with older
ones, and the older ones are dropped if the distance is unusually large.
"""

import collections
import math
from typing import NamedTuple

import numpy as np
import numpy.typing as npt

from jasperweir.components.mapswitch import const
from jasperweir.components.mapswitch import expert_counts

Floats = npt.NDArray[np.float64]


class _CountInterval(NamedTuple):
    """Selections counted in one interval; monotonic seconds."""

    begin: float
    end: float
    counts: Floats


class Jump(NamedTuple):
    """A jump in demand.

    Attributes:
        distance: Half the sum of the differences of shares, mean of sets.
        usual: Usual distance between recent and older counts.
        gap_s: Seconds since the previous jump, 0 for the first.
    """

    distance: float
    usual: float
    gap_s: float


class Demand:
    """Estimates the share of each expert since the last jump.

    Attributes:
        dropped: Number of counts of a wrong size that were not used.
    """

    def __init__(self, *, sets: int, experts: int) -> None:
        self.dropped = 0
        self._shape = (sets, experts)
        self._older: Floats = np.zeros(self._shape)
        self._older_at = 0.0
        self._recent: collections.deque[_CountInterval] = collections.deque()
        self._usual_distance, self._deviation = const.INITIAL_NOISE
        # Start of the counts that belong to the present demand.
        self._counted_since = float("-inf")
        self._jumped_at: float | None = None
        self._gaps: collections.deque[float] = collections.deque(
            maxlen=const.MAX_JUMP_GAPS
        )
        self._compared_at = 0.0

    @property
    def tokens(self) -> float:
        """Number of selections that the shares are computed from."""
        return float(self._older.sum() + self._recent_counts().sum())

    @property
    def expected_duration_s(self) -> float:
        """Time for which the present demand is expected to last, seconds."""
        if not self._gaps:
            return const.MAX_DEMAND_DURATION_SECONDS
        mean = sum(self._gaps) / len(self._gaps)
        return min(mean, const.MAX_DEMAND_DURATION_SECONDS)

    def is_settled(self, now: float) -> bool:
        """Return whether enough has been counted since the last jump."""
        if now - self._counted_since < const.JUMP_SETTLE_SECONDS:
            return False
        return self.tokens >= const.MIN_DEMAND_CHOICES

    def observe(
        self, choices: expert_counts.ExpertCounts, now: float
    ) -> Jump | None:
        """Add the selections of one rank; return a jump if one is detected."""
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
        """Decay the average and add counts that are no longer recent."""
        passed = max(now - self._older_at, 0.0)
        self._older *= math.exp(-passed / const.DEMAND_TIME_CONSTANT_SECONDS)
        self._older_at = now
        while self._recent[0].end < now - const.RECENT_COUNTS_SECONDS:
            self._older += self._recent.popleft().counts

    def _detect_jump(self, now: float) -> Jump | None:
        """Compare recent counts with older ones."""
        recent = self._recent_counts()
        least = const.MIN_DEMAND_CHOICES
        if recent.sum() < least or self._older.sum() < least:
            return None
        if now - self._counted_since < const.JUMP_COOLDOWN_SECONDS:
            return None
        apart = np.abs(_shares(recent) - _shares(self._older)).sum(axis=1) / 2
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
        """Drop the counts from before a jump."""
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
