"""Estimate of expert popularity from delayed and incomplete counts."""

import numpy as np
import numpy.typing as npt

from jasperweir.components.experts import const

Array = npt.NDArray[np.float64]


class Popularity:
    """Time-averaged share of tokens per expert, with jump detection.

    An interval moves the average by the part of their distance that sampling
    noise does not explain, so that jumps are adopted at once and slow drift is
    followed.

    Attributes:
        shares: Estimates, shape (layers, experts); rows sum to 1.
        jumps: Number of jumps detected, over all layers.
    """

    def __init__(self, *, layers: int, experts: int) -> None:
        self.shares: Array = np.full((layers, experts), 1.0 / experts)
        self.jumps = 0
        self._seen = np.zeros(layers, dtype=bool)

    def observe(self, counts: Array) -> None:
        """Update the estimates with the token counts of one interval.

        Args:
            counts: Shape (layers, experts); a row of zeros or NaN is a gap
                and does not change that layer's estimate.
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
        # Share of the distance that sampling noise does not explain.
        drift = 1.0 - (noise / np.maximum(distance, 1e-12)) ** 2
        gain = np.where(first, 1.0, np.clip(drift, const.MIN_AVERAGE_GAIN, 1.0))
        self.shares[present] = old + gain[:, None] * (new - old)
        self._seen |= present
        self.jumps += int((jumped & ~first).sum())
