"""Demand for experts, averaged over time, from counts of all ranks."""

import math

import numpy as np
import numpy.typing as npt

from jasperweir.components.mapswitch import const

Floats = npt.NDArray[np.float64]


class Demand:
    """Exponential average of how often each expert is chosen.

    Attributes:
        tokens: Decayed number of choices seen.
    """

    def __init__(self, *, sets: int, experts: int) -> None:
        self._sum: Floats = np.zeros((sets, experts))
        self._last: dict[str, Floats] = {}
        self._at = 0.0

    @property
    def tokens(self) -> float:
        """Return the decayed number of choices."""
        return float(self._sum.sum())

    def observe(self, rank: str, counts: tuple[int, ...], now: float) -> None:
        """Take in the counts of a rank, which only grow until it restarts."""
        if len(counts) != self._sum.size:
            return
        new = np.array(counts, dtype=np.float64).reshape(self._sum.shape)
        old = self._last.get(rank)
        self._last[rank] = new
        if old is None or (new < old).any():
            return
        self._decay(now)
        self._sum += new - old

    def shares(self) -> Floats:
        """Return each expert's share of its set, rows that sum to 1."""
        total = self._sum.sum(axis=1, keepdims=True)
        even = np.full_like(self._sum, 1.0 / self._sum.shape[1])
        return np.where(total > 0, self._sum / np.maximum(total, 1e-9), even)

    def _decay(self, now: float) -> None:
        if self._at:
            passed = max(now - self._at, 0.0)
            self._sum *= math.exp(-passed / const.DEMAND_SECONDS)
        self._at = now
