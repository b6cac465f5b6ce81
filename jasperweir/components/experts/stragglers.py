"""Distinguishes slow ranks from ranks with a higher load."""

import numpy as np
import numpy.typing as npt

from jasperweir.components.experts import const

Floats = npt.NDArray[np.float64]


class SpeedEstimator:
    """Estimates the relative speed of each rank from step times and loads.

    A step time in proportion to the load does not lower a rank's speed.
    """

    def __init__(self, *, ranks: int) -> None:
        self._speeds: Floats = np.ones(ranks)
        self._samples = np.zeros(ranks, dtype=np.int64)

    @property
    def speeds(self) -> Floats:
        """Speed of each rank for placement; 1 unless it is a straggler."""
        shown = self._samples >= const.MIN_STRAGGLER_SAMPLES
        slow = self._speeds < 1 / const.STRAGGLER_FACTOR
        return np.where(
            shown & slow, np.maximum(self._speeds, const.MIN_SPEED), 1.0
        )

    @property
    def stragglers(self) -> list[int]:
        """Ranks that are slower than their load explains."""
        return [int(rank) for rank in np.flatnonzero(self.speeds < 1.0)]

    def observe(self, seconds: Floats, loads: Floats) -> None:
        """Update the speeds with one step.

        Args:
            seconds: Time of each rank, shape (ranks,); NaN if not reported.
            loads: Load of each rank, shape (ranks,), in any unit.
        """
        known = np.isfinite(seconds) & (seconds > 0) & (loads > 0)
        if known.sum() < 2:
            return
        pace = loads[known] / seconds[known]
        typical = float(np.median(pace))
        relative = np.clip(pace / typical, 0.0, 1.5)
        gain = const.SPEED_SMOOTHING
        self._speeds[known] += gain * (relative - self._speeds[known])
        self._samples[known] += 1
