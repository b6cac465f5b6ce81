"""Expert popularity from late and gappy counts."""

import numpy as np
import numpy.typing as npt

from jasperweir.components.experts import const

Array = npt.NDArray[np.float64]


class Popularity:
    """Time-averaged share of tokens per expert, with change detection.

    The average rides out noise: an interval moves it by the share of their
    distance that sampling does not explain. So the jump of a booking season
    or of a new repertoire is adopted at once, and slow drift is followed.

    Attributes:
        shares: Estimates, shape (layers, experts); rows sum to 1.
        jumps: How often an interval lay far off, over all layers.
    """

    def __init__(self, *, layers: int, experts: int) -> None:
        self.shares: Array = np.full((layers, experts), 1.0 / experts)
        self.jumps = 0
        self._seen = np.zeros(layers, dtype=bool)

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
        new = counts[present] / totals[present, None]
        old = self.shares[present]
        distance = 0.5 * np.abs(new - old).sum(axis=1)
        noise = const.SAMPLING_NOISE * np.sqrt(
            counts.shape[1] / totals[present]
        )
        jumped = distance > np.maximum(
            const.MIN_JUMP_DISTANCE, const.JUMP_NOISE_FACTOR * noise
        )
        first = ~self._seen[present]
        # The share of the distance that sampling does not explain is drift.
        drift = 1.0 - (noise / np.maximum(distance, 1e-12)) ** 2
        gain = np.where(first, 1.0, np.clip(drift, const.MIN_AVERAGE_GAIN, 1.0))
        self.shares[present] = old + gain[:, None] * (new - old)
        self._seen |= present
        self.jumps += int((jumped & ~first).sum())
