"""How long the parts of a switch take, as a leader has seen; sans-I/O."""

from typing import NamedTuple

from jasperweir.components.mapswitch import const

# How far one switch moves the average of what a switch takes.
_SMOOTHING = 0.3


class SwitchDurations(NamedTuple):
    """Parts of one switch, seconds.

    Attributes:
        copying_s: From the order to prepare until all had copied.
        ordering_s: From the order to hold until all were armed.
        settling_s: From there until every rank was seen on the new map.
    """

    copying_s: float
    ordering_s: float
    settling_s: float


class SwitchTimes:
    """Times of the last switches.

    Attributes:
        switch_s: Usual time of a switch besides its copies, seconds.
    """

    def __init__(self) -> None:
        self.switch_s = const.INITIAL_SWITCH_SECONDS
        self._orders_s = const.INITIAL_ORDERING_SECONDS
        self._started_at = 0.0
        self._copied_at = 0.0
        self._armed_at = 0.0

    @property
    def hold_ahead_s(self) -> float:
        """How far ahead a pass is held so that nothing waits, seconds."""
        least, most = const.HOLD_AHEAD_RANGE_SECONDS
        ahead_s = self._orders_s * const.HOLD_AHEAD_FACTOR
        return min(max(ahead_s, least), most)

    def start(self, now: float) -> None:
        """Note that ranks are ordered to prepare."""
        self._started_at = now
        self._copied_at = 0.0
        self._armed_at = 0.0

    def on_copied(self, now: float) -> None:
        """Note that all ranks have copied."""
        self._copied_at = now

    def on_armed(self, now: float) -> None:
        """Note that all ranks are armed."""
        self._armed_at = now
        # Slow orders count at once, since a pass that waits holds up everyone.
        took_s = now - self._copied_at
        less_s = self._orders_s + _SMOOTHING * (took_s - self._orders_s)
        self._orders_s = max(took_s, less_s)

    def on_late_hold(self) -> None:
        """Note that a hold came after its pass: orders take longer now."""
        self._orders_s = min(
            2 * self._orders_s, const.HOLD_AHEAD_CAREFUL_SECONDS
        )

    def finish(self, now: float) -> SwitchDurations | None:
        """Note that a switch has ended; None if it was called off."""
        if not self._started_at or not self._copied_at or not self._armed_at:
            return None
        took = SwitchDurations(
            copying_s=self._copied_at - self._started_at,
            ordering_s=self._armed_at - self._copied_at,
            settling_s=now - self._armed_at,
        )
        switch_s = took.ordering_s + took.settling_s
        self.switch_s += _SMOOTHING * (switch_s - self.switch_s)
        self._started_at = 0.0
        return took
