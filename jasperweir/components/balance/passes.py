"""Limit of concurrent streams of a group of engines; sans-I/O.

The engines of a group run each forward pass together, and each stream gets one
event per pass. More streams make a pass longer, until the pauses between events
exceed what callers allow and all streams of the group are late. Slow passes
also keep streams open, so that a group recovers slowly. The slots of an engine
don't prevent this, because the limit belongs to the group.

An entry measures the passes as the pauses of the streams that it carries, and
estimates how much a stream adds to a pass and how many streams fit. The cost of
a stream depends on the expert map; while the map doesn't fit the demand no new
streams are admitted, since reading their prompts would make passes longer.
Every entry sees the same passes and streams and computes the same limit.

Load: too many streams for the passes of a group; a group that has formed anew
with a map that may not fit. A service with several groups has one limit for
each, since each group runs its passes by itself.
"""

import math
from typing import NamedTuple

from jasperweir.components.balance import const


class PassBounds(NamedTuple):
    """Configured properties of a service's passes.

    Attributes:
        pause_s: Longest pause between events that its routes allow, seconds.
        fixed_s: Duration of a pass without streams, seconds.
        slots: Concurrent requests of one engine.
    """

    pause_s: float
    fixed_s: float
    slots: int


class PassLimit:
    """Limit of streams per target of one service.

    Attributes:
        bounds: Configured properties.
        pass_s: Smoothed duration of a pass, seconds; 0 while unknown.
    """

    def __init__(self, *, bounds: PassBounds) -> None:
        self.bounds = bounds
        self.pass_s = 0.0
        self._pauses: list[float] = []
        # Time that one stream per target adds to a pass, seconds; 0 while
        # passes are short.
        self._stream_cost_s = 0.0
        self._updated_at = float("-inf")
        # Streams per target that a group that has formed anew admits.
        self._ramp_streams = math.inf
        self._ramp_began_at = float("-inf")
        self._ramp_step_at = float("-inf")

    def on_pause(self, seconds: float) -> None:
        """Record the pause between two events of a stream."""
        self._pauses.append(seconds)

    def begin_ramp(self, now: float) -> None:
        """Admit streams slowly, since the group has formed anew."""
        if now - self._ramp_began_at < const.RAMP_MAX_SECONDS:
            return
        self._ramp_streams = const.STREAMS_MIN_SHARE * self.bounds.slots
        self._ramp_began_at = now
        self._ramp_step_at = now

    def _advance_ramp(self, streams: float, now: float) -> None:
        """Admit more streams if the passes with the admitted ones are short."""
        if (
            now - self._ramp_step_at < const.RAMP_STEP_SECONDS
            or streams < const.RAMP_USED_SHARE * self._ramp_streams
            or self.pass_s >= const.PASS_UNLIMITED_SHARE * self.bounds.pause_s
        ):
            return
        self._ramp_step_at = now
        self._ramp_streams *= const.RAMP_FACTOR
        if self._ramp_streams >= self.bounds.slots:
            self._ramp_streams = math.inf

    @property
    def has_pauses(self) -> bool:
        """Whether pauses were recorded since the last update."""
        return bool(self._pauses)

    def update(self, streams: float, now: float) -> None:
        """Update the estimates from the pauses since the last call.

        Args:
            streams: Mean number of open streams per target.
            now: Monotonic seconds.
        """
        # Longer pauses are stalls or lost connections, not passes.
        max_pause_s = const.PASS_MAX_FACTOR * self.bounds.pause_s
        valid = [pause for pause in self._pauses if pause <= max_pause_s]
        self._pauses.clear()
        if not valid:
            return
        mean_s = sum(valid) / len(valid)
        if now - self._updated_at > const.PASS_TTL_SECONDS:
            self.pass_s = mean_s
        self._updated_at = now
        self.pass_s += const.PASS_SMOOTHING * (mean_s - self.pass_s)
        self._stream_cost_s = 0.0
        if (
            self.pass_s >= const.PASS_UNLIMITED_SHARE * self.bounds.pause_s
            and streams > 0
        ):
            self._stream_cost_s = (self.pass_s - self.bounds.fixed_s) / streams
        if math.isfinite(self._ramp_streams):
            self._advance_ramp(streams, now)

    def is_stale(self, now: float) -> bool:
        """Return whether there are no recent passes."""
        return now - self._updated_at > const.PASS_TTL_SECONDS

    def streams(self, now: float) -> float:
        """Return the limit of streams per target, infinite if unlimited."""
        if now - self._ramp_began_at >= const.RAMP_MAX_SECONDS:
            self._ramp_streams = math.inf
        return min(self._find_pass_limit(now), self._ramp_streams)

    def _find_pass_limit(self, now: float) -> float:
        """Return the streams per target for which passes stay short."""
        if self.is_stale(now):
            return math.inf
        if self._stream_cost_s <= 0:
            return math.inf
        available_s = (
            const.PASS_ADMIT_SHARE * self.bounds.pause_s - self.bounds.fixed_s
        )
        min_streams = const.STREAMS_MIN_SHARE * self.bounds.slots
        return max(available_s / self._stream_cost_s, min_streams)


class DueLimit(NamedTuple):
    """A limit that needs an update.

    Attributes:
        service: Service of the unit.
        unit: Group of targets that the limit is for, or the whole service.
        limit: The limit.
    """

    service: str
    unit: str
    limit: PassLimit


class PassLimits:
    """Stream limits of all services whose engines run passes together."""

    def __init__(self) -> None:
        self._bounds: dict[str, PassBounds] = {}
        self._limits: dict[str, DueLimit] = {}

    def on_bounds(self, bounds: dict[str, PassBounds]) -> None:
        """Replace the services and their bounds."""
        self._bounds = bounds
        for unit, found in list(self._limits.items()):
            if found.service not in bounds:
                del self._limits[unit]
            else:
                found.limit.bounds = bounds[found.service]

    def get(self, service: str, unit: str = "") -> PassLimit | None:
        """Return the stream limit of a unit, None if it has none.

        Args:
            service: Its service.
            unit: A group of the service; the whole service if empty.
        """
        unit = unit or service
        found = self._limits.get(unit)
        if found is not None:
            return found.limit
        bounds = self._bounds.get(service)
        if bounds is None:
            return None
        limit = PassLimit(bounds=bounds)
        self._limits[unit] = DueLimit(service, unit, limit)
        return limit

    def keep_units(self, units: set[str]) -> None:
        """Drop the limits of groups that are no longer listed."""
        for unit, found in list(self._limits.items()):
            if unit != found.service and unit not in units:
                del self._limits[unit]

    def on_pause(self, service: str, seconds: float, unit: str = "") -> bool:
        """Record the pause between two events of a stream.

        Returns:
            Whether the service has a stream limit.
        """
        limit = self.get(service, unit)
        if limit is None:
            return False
        limit.on_pause(seconds)
        return True

    def due(self) -> list[DueLimit]:
        """Return the limits that need an update."""
        return [d for d in self._limits.values() if d.limit.has_pauses]
