"""Measures how long the parts of a switch take; sans-I/O."""

from typing import NamedTuple

from jasperweir.components.mapswitch import const

# Smoothing factor of the average durations.
_SMOOTHING = 0.3


class SwitchDurations(NamedTuple):
    """Durations of the parts of one switch, seconds.

    Attributes:
        copying_s: From the prepare order until all ranks have copied.
        ordering_s: From the hold order until all ranks are armed.
        settling_s: From then until every rank runs on the new map.
    """

    copying_s: float
    ordering_s: float
    settling_s: float


class SwitchTimes:
    """Average durations of the last switches.

    Attributes:
        switch_s: Average time of a switch without its copies, seconds.
    """

    def __init__(self) -> None:
        self.switch_s = const.INITIAL_SWITCH_SECONDS
        self._orders_s = const.INITIAL_ORDERING_SECONDS
        self._started_at = 0.0
        self._copied_at = 0.0
        self._armed_at = 0.0

    @property
    def hold_ahead_s(self) -> float:
        """Time by which the held pass lies ahead of the newest, seconds."""
        least, most = const.HOLD_AHEAD_RANGE_SECONDS
        ahead_s = self._orders_s * const.HOLD_AHEAD_FACTOR
        return min(max(ahead_s, least), most)

    def start(self, now: float) -> None:
        """Record that the ranks are ordered to prepare."""
        self._started_at = now
        self._copied_at = 0.0
        self._armed_at = 0.0

    def on_copied(self, now: float) -> None:
        """Record that all ranks have copied their experts."""
        self._copied_at = now

    def on_armed(self, now: float) -> None:
        """Record that all ranks are armed."""
        self._armed_at = now
        # An increase is adopted at once: a held pass that waits stalls all
        # ranks.
        took_s = now - self._copied_at
        smoothed_s = self._orders_s + _SMOOTHING * (took_s - self._orders_s)
        self._orders_s = max(took_s, smoothed_s)

    def on_late_hold(self) -> None:
        """Expect longer orders, since a hold arrived after its pass."""
        self._orders_s = min(
            2 * self._orders_s, const.HOLD_AHEAD_CAREFUL_SECONDS
        )

    def finish(self, now: float) -> SwitchDurations | None:
        """Return the durations of a finished switch, None if called off."""
        if not self._started_at or not self._copied_at or not self._armed_at:
            return None
        durations = SwitchDurations(
            copying_s=self._copied_at - self._started_at,
            ordering_s=self._armed_at - self._copied_at,
            settling_s=now - self._armed_at,
        )
        switch_s = durations.ordering_s + durations.settling_s
        self.switch_s += _SMOOTHING * (switch_s - self.switch_s)
        self._started_at = 0.0
        return durations
