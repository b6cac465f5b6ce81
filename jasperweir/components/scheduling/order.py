"""Which requests may take the free slots, by priority; sans-I/O.

Load: the least urgent requests arrive at 2.5 times their rate while urgent ones
need the same slots. Every entry decides by itself, with the demand that all
entries in view have sent. Slots go to the bands in order of urgency, and within
a band to requests in time before late ones.

Two rules complete the order. Less urgent requests leave a reserve of slots for
the urgent ones that arrive before the next slots come free. Each band with
demand may use a tenth of the slots, so that none is starved.
"""

from collections.abc import Sequence
import itertools
import math
import random
from typing import NamedTuple

from jasperweir.components.scheduling import const
from jasperweir.components.scheduling import demand as demand_lib


class Supply(NamedTuple):
    """Slots of a service that the entries in view share.

    Attributes:
        free: Free slots; negative if targets are overloaded.
        whole_s: Smoothed duration of a request, seconds; 0 while unknown.
    """

    free: float
    whole_s: float


class BandSlots(NamedTuple):
    """Free slots that one entry may fill with requests of one band.

    Attributes:
        timely: Slots for requests that can still meet their target time.
        late: Slots for late requests.
    """

    timely: int
    late: int

    @property
    def total(self) -> int:
        """Slots for all requests."""
        return self.timely + self.late


class WaitingGroup(NamedTuple):
    """Waiting requests of one band at one entry.

    Attributes:
        timely: Requests that can still meet their target time.
        late: Requests that can't.
        oldest_s: Time since the first attempt of the oldest one, seconds.
    """

    timely: float
    late: float
    oldest_s: float


class Order:
    """Order of service at one moment.

    Attributes:
        own: Demand at this entry.
        total: Demand at all entries in view.
        supply: Slots that they share.
    """

    def __init__(
        self,
        *,
        own: demand_lib.Bands,
        elsewhere: demand_lib.Bands,
        supply: Supply,
        groups: Sequence[Sequence[WaitingGroup]] = (),
    ) -> None:
        """Initialize the order.

        Args:
            own: Demand at this entry.
            elsewhere: Demand at the other entries.
            supply: Slots that all of them share.
            groups: For each band the waiting requests of each other entry.
        """
        self.own = own
        self.total = demand_lib.add(own, elsewhere)
        self.supply = supply
        self._elsewhere = elsewhere
        self._groups = groups
        self._running = sum(band.running for band in self.total)
        # Arrival rate of the bands before each one, and of all at the end.
        self._arrivals_before = list(
            itertools.accumulate(
                (band.arrivals_per_s for band in self.total), initial=0.0
            )
        )
        free = max(supply.free, 0.0)
        self._floor = const.FLOOR_SHARE * (self._running + free)

    @property
    def releases_per_s(self) -> float:
        """Rate at which slots come free, slots a second."""
        if self.supply.whole_s <= 0:
            return 0.0
        return self._running / self.supply.whole_s

    def compute_reserve(self, band: int) -> float:
        """Return the slots that a band leaves to more urgent arrivals.

        The reserve covers the arrivals that are expected until the next slot
        comes free and is seen to be free, plus one standard deviation. It is 0
        while the slots are enough for the arrivals of all bands.
        """
        if self.supply.whole_s <= 0:
            return 0.0
        urgent_per_s = self._urgent_per_s(band)
        if urgent_per_s <= 0 or not self.is_scarce:
            return 0.0
        release_s = 1 / max(self.releases_per_s, 1.0)
        expected = urgent_per_s * (release_s + const.VIEW_DELAY_SECONDS)
        return float(math.floor(expected + math.sqrt(expected)))

    @property
    def is_scarce(self) -> bool:
        """Whether requests arrive faster than all slots can serve them."""
        if self.supply.whole_s <= 0:
            return False
        slots = self._running + max(self.supply.free, 0.0)
        return self._arrivals_before[-1] > slots / self.supply.whole_s

    def may_overtake(self, band: int) -> bool:
        """Return whether a new request in time may take a free slot at once.

        It may not take a slot that is due to a waiting request which is more
        urgent, or as urgent and older, whichever entry that waits at.
        """
        free = self.supply.free
        ahead = self._elsewhere[band].timely
        below_floor = self.total[band].running + ahead + 1 <= self._floor
        if not below_floor:
            ahead += sum(self.total[urgent].waiting for urgent in range(band))
            ahead += self.compute_reserve(band)
        return free - ahead >= 1

    def hand_over(self, *, is_flooded: bool = False) -> list[BandSlots]:
        """Return the slots for a request that takes over a slot of this entry.

        A slot that has just come free at this entry is not seen by the others
        yet. If a request of the most urgent band that waits anywhere waits
        here, it gets the slot without the delay until all entries see it. No
        reserve is kept from it: the slot would otherwise stay unused while a
        request waits for it.

        Args:
            is_flooded: Whether a customer is over its share. The requests that
                count as late are then mostly of that customer, and the slot is
                left to requests in time that wait elsewhere.
        """
        out = [BandSlots(0, 0)] * const.BANDS
        for band, total in enumerate(self.total):
            if not total.waiting:
                continue
            own = self.own[band]
            in_time_elsewhere = total.timely > own.timely
            if is_flooded and in_time_elsewhere and not own.timely:
                break
            if own.waiting and self.supply.free >= 1:
                out[band] = BandSlots(int(own.timely >= 1), int(not own.timely))
            break
        return out

    def allocate(
        self, own_oldest_s: Sequence[float], rng: random.Random
    ) -> list[BandSlots]:
        """Return how many requests of each band this entry may send now.

        The slots of a band go to its oldest requests, whichever entry they wait
        at, so that two entries with the same view don't take the same slot.

        Args:
            own_oldest_s: For each band the age of the oldest request that waits
                at this entry, seconds.
            rng: Random source.
        """
        left = max(self.supply.free, 0.0)
        granted = []
        for total in self.total:
            # The floors are served first.
            slots = min(max(self._floor - total.running, 0.0), total.waiting)
            slots = min(slots, left)
            granted.append(slots)
            left -= slots
        out = []
        for band, total in enumerate(self.total):
            if not total.waiting:
                out.append(BandSlots(0, 0))
                continue
            spare = max(left - self.compute_reserve(band), 0.0)
            more = min(spare, total.waiting - granted[band])
            left -= more
            slots = granted[band] + more
            out.append(self._take_turns(band, slots, own_oldest_s[band], rng))
        return out

    def _take_turns(
        self, band: int, slots: float, oldest_s: float, rng: random.Random
    ) -> BandSlots:
        """Return this entry's part of a band's slots."""
        own, total = self.own[band], self.total[band]
        if slots <= 0 or not own.waiting:
            return BandSlots(0, 0)
        groups = self._groups[band] if self._groups else ()
        timely = _count_turns(
            min(slots, total.timely),
            own.timely,
            oldest_s,
            [(group.timely, group.oldest_s) for group in groups],
            rng,
        )
        late = _count_turns(
            slots - total.timely,
            own.late,
            oldest_s,
            [(group.late, group.oldest_s) for group in groups],
            rng,
        )
        return BandSlots(timely=timely, late=late)

    def forecast_wait_s(self, band: int, *, ahead: float) -> float:
        """Return the forecast time until a request gets a slot, seconds.

        More urgent requests that arrive meanwhile are served before it.

        Args:
            band: Band of the request.
            ahead: Waiting requests that are served before it, plus slots that
                must become free before any request is served.
        """
        rate = self.compute_rate(band)
        if rate <= 0:
            return self.supply.whole_s * (ahead + 1)
        return (ahead + 1) / rate

    def compute_rate(self, band: int) -> float:
        """Return the rate at which slots come free for a band, slots a second.

        More urgent arrivals are served first. A band keeps at least its floor.
        """
        releases_per_s = self.releases_per_s
        return max(
            releases_per_s - self._urgent_per_s(band),
            const.FLOOR_SHARE * releases_per_s,
        )

    def count_ahead(self, band: int) -> float:
        """Return the waiting requests that go before a new one of a band."""
        ahead = sum(self.total[urgent].waiting for urgent in range(band))
        ahead += self.total[band].timely
        return ahead + max(-self.supply.free, 0.0)

    def _urgent_per_s(self, band: int) -> float:
        """Return the arrival rate of the more urgent bands."""
        return self._arrivals_before[band]


def has_several_bands(bands: demand_lib.Bands) -> bool:
    """Return whether requests of several priorities compete."""
    return sum(band.is_present for band in bands) > 1


def _count_turns(
    slots: float,
    own: float,
    oldest_s: float,
    others: list[tuple[float, float]],
    rng: random.Random,
) -> int:
    """Return how many of this entry's requests are among the oldest.

    Only the age of the oldest request of an entry is known; the ages of its
    others are taken to be spaced evenly.

    Args:
        slots: Free slots, at most one for each request.
        own: Requests that wait at this entry.
        oldest_s: Age of the oldest of them, seconds.
        others: For each other entry its number of requests and the age of the
            oldest, seconds.
        rng: Random source, for a fraction of a slot.
    """
    taken = 0
    while taken < own:
        age_s = oldest_s * (1 - taken / own)
        ahead = taken + sum(_count_older(*other, age_s) for other in others)
        if ahead + 1 > slots and ahead + rng.random() >= slots:
            break
        taken += 1
    return taken


def _count_older(count: float, oldest_s: float, age_s: float) -> float:
    """Return how many requests of a group are older than an age."""
    if oldest_s <= age_s or oldest_s <= 0:
        return 0.0
    return min(count, math.ceil(count * (1 - age_s / oldest_s)))
