"""Forecast of waiting times and division of free slots; sans-I/O."""

import math
import random
from typing import NamedTuple

from jasperweir.components.balance import const
from jasperweir.components.balance import messages


class Forecast:
    """Smoothed durations of one service's requests.

    Attributes:
        whole_s: Time from sending to the end of the answer, seconds; 0 while
            unknown.
        first_s: Time from sending to the first byte, seconds.
    """

    def __init__(self) -> None:
        self.whole_s = 0.0
        self.first_s = 0.0

    def on_end(self, whole_s: float, first_s: float) -> None:
        """Record the durations of a request that has ended."""
        self.whole_s = _smooth(self.whole_s, whole_s)
        self.first_s = _smooth(self.first_s, first_s)

    def wait_s(self, *, ahead: int, running: int) -> float:
        """Return the forecast time until a request gets a slot, seconds.

        Assumes that the running requests end evenly over their duration.

        Args:
            ahead: Requests that are served before it, plus slots that have to
                become free before any request is served.
            running: Requests at the targets.
        """
        return (ahead + 1) * self.whole_s / max(running, 1)


class SlotAllocation(NamedTuple):
    """Free slots that one entry may fill.

    Attributes:
        timely: Slots for requests that can still meet their target time.
        late: Slots for late requests.
        yielding: How many of the late ones may go to requests that leave room.
    """

    timely: int
    late: int
    yielding: int

    @property
    def total(self) -> int:
        """Slots for all requests."""
        return self.timely + self.late


def allocate_slots(
    free_slots: float,
    own: messages.Queue,
    others: messages.Queue,
    rng: random.Random,
    late_slots: float = math.inf,
) -> SlotAllocation:
    """Return how many of the free slots this entry may fill.

    All entries see the same free slots. Each takes a share in proportion to its
    waiting requests: first for timely requests, then for late ones.

    Args:
        free_slots: Free slots that these entries see, or their share of them.
        own: Requests that wait at this entry.
        others: Requests that wait at the other entries.
        rng: Random source.
        late_slots: How many of the slots may go to late requests that leave
            room for others.
    """
    free_slots = max(free_slots, 0.0)
    for_timely = min(free_slots, own.timely + others.timely)
    for_late = free_slots - for_timely
    yielding = min(for_late, late_slots)
    return SlotAllocation(
        timely=_draw_share(for_timely, own.timely, others.timely, rng),
        late=_draw_share(for_late, own.late, others.late, rng),
        yielding=_draw_share(yielding, own.late, others.late, rng),
    )


def _draw_share(slots: float, own: int, others: int, rng: random.Random) -> int:
    """Return this entry's share, rounded up or down at random.

    Args:
        slots: Slots to share.
        own: Requests that wait at this entry.
        others: Requests that wait at the other entries.
        rng: Random source.
    """
    if slots <= 0 or own < 1:
        return 0
    share = min(slots * own / (own + others), own)
    floor = int(share)
    return floor + (rng.random() < share - floor)


def _smooth(old: float, new: float) -> float:
    if old <= 0:
        return new
    return old + const.FORECAST_SMOOTHING * (new - old)
