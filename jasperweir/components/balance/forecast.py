"""When a request that finds no place is likely to get one; sans-I/O."""

import math
import random
from typing import NamedTuple

from jasperweir.components.balance import const
from jasperweir.components.balance import messages


class Forecast:
    """Usual times of one service's requests at its targets.

    Attributes:
        whole_s: Usual time from sending to the end, seconds; 0 while unknown.
        first_s: Usual time from sending to the first byte, seconds.
    """

    def __init__(self) -> None:
        self.whole_s = 0.0
        self.first_s = 0.0

    def on_end(self, whole_s: float, first_s: float) -> None:
        """Take in how long a request took at its target."""
        self.whole_s = _smooth(self.whole_s, whole_s)
        self.first_s = _smooth(self.first_s, first_s)

    def wait_s(self, *, ahead: int, running: int) -> float:
        """Return the seconds until a request gets a place.

        Running requests end one after the other, evenly over the time that
        they take.

        Args:
            ahead: Requests that get a place before it, and places that must
                come free before anybody gets one.
            running: Requests at the targets.
        """
        return (ahead + 1) * self.whole_s / max(running, 1)


class Part(NamedTuple):
    """Free places that one entry gives away.

    Attributes:
        timely: To those who can be in time.
        late: To the others.
        yielding: How many of these to those who leave room.
    """

    timely: int
    late: int
    yielding: int

    @property
    def total(self) -> int:
        """To all of them."""
        return self.timely + self.late


def part(
    places: float,
    own: messages.Queue,
    others: messages.Queue,
    rng: random.Random,
    late_places: float = math.inf,
) -> Part:
    """Return how many free places this entry gives away.

    Entries see the same places; each takes the part that those who wait there
    are of all who wait, first of those who can be in time, then of the others.

    Args:
        places: Free places that these entries see, or their part of what more
            entries see.
        own: Requests that wait at this entry.
        others: Requests that wait at the others.
        rng: Random source.
        late_places: How many of the places are for those who are late and
            leave room for others.
    """
    places = max(places, 0.0)
    for_timely = min(places, own.timely + others.timely)
    for_late = places - for_timely
    yielding = min(for_late, late_places)
    return Part(
        timely=_drawn(for_timely, own.timely, others.timely, rng),
        late=_drawn(for_late, own.late, others.late, rng),
        yielding=_drawn(yielding, own.late, others.late, rng),
    )


def _drawn(places: float, own: int, others: int, rng: random.Random) -> int:
    """Return this entry's part; of a place that is left one entry's on average.

    Args:
        places: Places to share.
        own: Requests that wait here.
        others: Requests that wait elsewhere.
        rng: Random source.
    """
    if places <= 0 or own < 1:
        return 0
    wanted = min(places * own / (own + others), own)
    whole = int(wanted)
    return whole + (rng.random() < wanted - whole)


def _smooth(old: float, new: float) -> float:
    if old <= 0:
        return new
    return old + const.FORECAST_SMOOTHING * (new - old)
