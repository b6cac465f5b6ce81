"""Tell ranks that are slow from ranks that merely carry more."""

import numpy as np
import numpy.typing as npt

from jasperweir.components.experts import const

Floats = npt.NDArray[np.float64]


class SpeedEstimator:
    """Relative speed of each rank, from step times and expected loads.

    A rank whose step takes longer in proportion to its load is not slow, it
    is loaded; only the rest of the difference lowers its speed.
    """

    def __init__(self, *, ranks: int) -> None:
        self._speeds: Floats = np.ones(ranks)
        self._samples = np.zeros(ranks, dtype=np.int64)

    @property
    def speeds(self) -> Floats:
        """Speeds that placement may use: 1 unless shown to be less."""
        shown = self._samples >= const.MIN_STRAGGLER_SAMPLES
        slow = self._speeds < 1 / const.STRAGGLER_FACTOR
        return np.where(
            shown & slow, np.maximum(self._speeds, const.MIN_SPEED), 1.0
        )

    @property
    def stragglers(self) -> list[int]:
        """Ranks that trail for another reason than their load."""
        return [int(rank) for rank in np.flatnonzero(self.speeds < 1.0)]

    def observe(self, seconds: Floats, loads: Floats) -> None:
        """Take in one step.

        Args:
            seconds: Time that each rank took; NaN if it was not reported.
            loads: Load that each rank carried, in any unit.
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
