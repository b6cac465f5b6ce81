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

    def on_pause(self, seconds: float) -> None:
        """Record the pause between two events of a stream."""
        self._pauses.append(seconds)

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

    def is_stale(self, now: float) -> bool:
        """Return whether there are no recent passes."""
        return now - self._updated_at > const.PASS_TTL_SECONDS

    def streams(self, now: float) -> float:
        """Return the limit of streams per target, infinite if unlimited."""
        if self.is_stale(now):
            return math.inf
        if self._stream_cost_s <= 0:
            return math.inf
        available_s = (
            const.PASS_ADMIT_SHARE * self.bounds.pause_s - self.bounds.fixed_s
        )
        min_streams = const.STREAMS_MIN_SHARE * self.bounds.slots
        return max(available_s / self._stream_cost_s, min_streams)


class PassLimits:
    """Stream limits of all services whose engines run passes together."""

    def __init__(self) -> None:
        self._limits: dict[str, PassLimit] = {}

    def on_bounds(self, bounds: dict[str, PassBounds]) -> None:
        """Replace the services and their bounds."""
        for name in self._limits.keys() - bounds.keys():
            del self._limits[name]
        for name, found in bounds.items():
            if name in self._limits:
                self._limits[name].bounds = found
            else:
                self._limits[name] = PassLimit(bounds=found)

    def get(self, service: str) -> PassLimit | None:
        """Return the stream limit of a service, None if it has none."""
        return self._limits.get(service)

    def on_pause(self, service: str, seconds: float) -> bool:
        """Record the pause between two events of a stream.

        Returns:
            Whether the service has a stream limit.
        """
        limit = self._limits.get(service)
        if limit is None:
            return False
        limit.on_pause(seconds)
        return True

    def due(self) -> list[tuple[str, PassLimit]]:
        """Return the services and limits that need an update."""
        return [item for item in self._limits.items() if item[1].has_pauses]
