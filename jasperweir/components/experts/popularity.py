"""Expert popularity from late and gappy counts."""

import numpy as np
import numpy.typing as npt

from jasperweir.components.experts import const

Array = npt.NDArray[np.float64]


class Popularity:
    """Time-averaged share of tokens per expert, with change detection.

    A slow average rides out noise. When a fast one has moved away from it,
    as at the start of a booking season or a new repertoire, the fast one is
    adopted at once instead of being approached over many intervals.

    Attributes:
        jumps: How often the fast average was adopted, over all layers.
    """

    def __init__(self, *, layers: int, experts: int) -> None:
        even = 1.0 / experts
        self._slow: Array = np.full((layers, experts), even)
        self._fast: Array = np.full((layers, experts), even)
        self._seen = np.zeros(layers, dtype=bool)
        self.jumps = 0

    @property
    def shares(self) -> Array:
        """Estimated shares, shape (layers, experts), rows sum to 1."""
        return self._slow

    def observe(self, counts: Array) -> None:
        """Take in the token counts of one interval.

        Args:
            counts: Shape (layers, experts); a row of zeros or NaN is a gap
                and leaves that layer's estimate as it is.
        """
        totals = counts.sum(axis=1)
        present = np.isfinite(totals) & (totals > 0)
        if not present.any():
            return
        shares = counts[present] / totals[present, None]
        fresh = present & ~self._seen
        self._blend(self._slow, present, shares, const.SLOW_SMOOTHING)
        self._blend(self._fast, present, shares, const.FAST_SMOOTHING)
        if fresh.any():
            first = counts[fresh] / totals[fresh, None]
            self._slow[fresh] = first
            self._fast[fresh] = first
            self._seen |= fresh
        self._adopt_jumps()

    def _blend(
        self,
        average: Array,
        rows: npt.NDArray[np.bool_],
        new: Array,
        gain: float,
    ) -> None:
        average[rows] += gain * (new - average[rows])

    def _adopt_jumps(self) -> None:
        distance = 0.5 * np.abs(self._fast - self._slow).sum(axis=1)
        jumped = distance > const.JUMP_DISTANCE
        self._slow[jumped] = self._fast[jumped]
        self.jumps += int(jumped.sum())
