"""How many streams a group of engines may run; sans-I/O.

The engines of a group make each pass together, and each stream gets one event
a pass. With more streams a pass takes longer, until every pause exceeds what
callers allow and all streams are late at once; slow passes also keep streams
open, so that a group gets into that state quickly and out of it slowly. The
slots of an engine say nothing of this: the limit belongs to the group.

An entry sees the pauses of the streams that it carries, which are the passes.
From them it follows what a stream adds to a pass, and how many fit. That
changes with the expert map, up to threefold when demand jumps: for the second
until the map fits again nothing new is let in, since reading new prompts would
make the passes longer still. Every entry sees the same passes and streams, so
all come to the same limit without asking each other.
"""

import math
from typing import NamedTuple

from jasperweir.components.balance import const


class PassBounds(NamedTuple):
    """What is known of a service's passes from the configuration.

    Attributes:
        pause_s: Longest pause that its routes allow, seconds.
        fixed_s: Time of a pass without any stream, seconds.
        slots: Requests that one engine runs at once.
    """

    pause_s: float
    fixed_s: float
    slots: int


class PassLimit:
    """Limit of streams for each target of one service.

    Attributes:
        bounds: What is known from the configuration.
        pass_s: Smoothed time of a pass, 0 while it is not known.
    """

    def __init__(self, *, bounds: PassBounds) -> None:
        self.bounds = bounds
        self.pass_s = 0.0
        self._pauses: list[float] = []
        # What one stream at each target adds to a pass, seconds; 0 while
        # passes are short.
        self._cost_s = 0.0
        self._heard_at = float("-inf")

    def on_pause(self, seconds: float) -> None:
        """Take in the pause between two events of a stream."""
        self._pauses.append(seconds)

    @property
    def is_due(self) -> bool:
        """Whether pauses were seen since the last update."""
        return bool(self._pauses)

    def update(self, streams: float, now: float) -> None:
        """Learn from the pauses since the last call.

        Args:
            streams: Open streams for each target, on average.
            now: Monotonic seconds.
        """
        # A longer one is a stall or a lost connection, not a pass.
        longest_s = const.PASS_LONGEST * self.bounds.pause_s
        usual = [pause for pause in self._pauses if pause <= longest_s]
        self._pauses.clear()
        if not usual:
            return
        mean_s = sum(usual) / len(usual)
        if now - self._heard_at > const.PASS_FRESH_SECONDS:
            self.pass_s = mean_s
        self._heard_at = now
        self.pass_s += const.PASS_SMOOTHING * (mean_s - self.pass_s)
        self._cost_s = 0.0
        if self.pass_s >= const.PASS_CALM * self.bounds.pause_s and streams > 0:
            self._cost_s = (self.pass_s - self.bounds.fixed_s) / streams

    def is_cold(self, now: float) -> bool:
        """Tell whether no pass has been seen of late."""
        return now - self._heard_at > const.PASS_FRESH_SECONDS

    def streams(self, now: float) -> float:
        """Return how many streams each target may run on average."""
        if self.is_cold(now):
            return math.inf
        if self._cost_s <= 0:
            return math.inf
        room_s = const.PASS_SHARE * self.bounds.pause_s - self.bounds.fixed_s
        least = const.PASS_LEAST_SHARE * self.bounds.slots
        return max(room_s / self._cost_s, least)


class PassLimits:
    """Limits of all services whose engines make passes together."""

    def __init__(self) -> None:
        self._limits: dict[str, PassLimit] = {}

    def on_bounds(self, bounds: dict[str, PassBounds]) -> None:
        """Take in which services there are, and their bounds."""
        for name in self._limits.keys() - bounds.keys():
            del self._limits[name]
        for name, found in bounds.items():
            if name in self._limits:
                self._limits[name].bounds = found
            else:
                self._limits[name] = PassLimit(bounds=found)

    def of(self, service: str) -> PassLimit | None:
        """Return the limit of a service, None if it has none."""
        return self._limits.get(service)

    def on_pause(self, service: str, seconds: float) -> bool:
        """Take in the pause between two events of a stream.

        Returns:
            Whether the service has a limit that can learn from it.
        """
        limit = self._limits.get(service)
        if limit is None:
            return False
        limit.on_pause(seconds)
        return True

    def due(self) -> list[tuple[str, PassLimit]]:
        """Return the services with pauses that were not learnt from yet."""
        return [item for item in self._limits.items() if item[1].is_due]
