"""Smoothed arrival rates by priority band; sans-I/O."""

import math

from jasperweir.components.scheduling import const


class ArrivalRates:
    """Smoothed arrival rate of each band of one service at this entry.

    Each arrival adds to a rate that decays exponentially, so that the state
    doesn't grow with the load.
    """

    def __init__(self) -> None:
        self._per_s = [0.0] * const.BANDS
        self._at = [float("-inf")] * const.BANDS

    def on_arrival(self, band: int, now: float) -> None:
        """Count a request."""
        self._per_s[band] = self.get(band, now) + 1 / const.ARRIVAL_SECONDS
        self._at[band] = now

    def get(self, band: int, now: float) -> float:
        """Return the arrival rate of a band, requests a second."""
        per_s = self._per_s[band]
        if not per_s:
            return 0.0
        age_s = max(now - self._at[band], 0.0)
        return per_s * math.exp(-age_s / const.ARRIVAL_SECONDS)
