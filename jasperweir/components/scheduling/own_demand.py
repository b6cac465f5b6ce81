"""Demand of one service at this entry; sans-I/O."""

import collections
from collections.abc import Iterable
from typing import NamedTuple

from jasperweir.components.scheduling import arrivals
from jasperweir.components.scheduling import const
from jasperweir.components.scheduling import demand as demand_lib


class RunningRequest(NamedTuple):
    """A request that is at a target."""

    band: int
    customer: str


class WaitingRequest(NamedTuple):
    """A request that waits for a slot.

    Attributes:
        band: Its priority band.
        is_late: Whether it can no longer meet its target time.
        age_s: Time since its caller's first attempt, seconds.
    """

    band: int
    is_late: bool
    age_s: float


class OwnDemand:
    """Arrivals and running requests of one service at this entry.

    Attributes:
        arrivals: Smoothed arrival rates.
        clamped: Requests whose priority is outside the bands.
    """

    def __init__(self) -> None:
        self.arrivals = arrivals.ArrivalRates()
        self.clamped = 0
        self._running: dict[int, RunningRequest] = {}
        self._by_band = [0] * const.BANDS
        self._by_customer: collections.Counter[str] = collections.Counter()

    def on_arrival(self, priority: int, now: float) -> int:
        """Count a new request and return its band."""
        band = demand_lib.find_band(priority)
        self.clamped += band != priority
        self.arrivals.on_arrival(band, now)
        return band

    def on_sent(self, number: int, band: int, customer: str) -> None:
        """Count a request as running."""
        if number in self._running:
            return
        self._running[number] = RunningRequest(band, customer)
        self._by_band[band] += 1
        if customer:
            self._by_customer[customer] += 1

    def on_ended(self, number: int) -> None:
        """Remove a request that has ended or waits again."""
        ended = self._running.pop(number, None)
        if ended is None:
            return
        self._by_band[ended.band] -= 1
        if ended.customer:
            self._by_customer[ended.customer] -= 1
            if not self._by_customer[ended.customer]:
                del self._by_customer[ended.customer]

    @property
    def customers(self) -> collections.Counter[str]:
        """Running requests by customer."""
        return self._by_customer

    def summarize(
        self, waiting: Iterable[WaitingRequest], now: float
    ) -> demand_lib.Bands:
        """Return the demand of each band."""
        timely = [0] * const.BANDS
        late = [0] * const.BANDS
        for request in waiting:
            (late if request.is_late else timely)[request.band] += 1
        return tuple(
            demand_lib.BandTotal(
                timely[band],
                late[band],
                self._by_band[band],
                self.arrivals.get(band, now),
            )
            for band in range(const.BANDS)
        )

    def build_message(
        self, service: str, waiting: list[WaitingRequest], now: float
    ) -> list[demand_lib.BandDemand]:
        """Return the demand to send to the other entries.

        Bands without any request are left out.
        """
        oldest = find_oldest(waiting)
        largest = self._by_customer.most_common(const.CUSTOMERS_SENT)
        customers = tuple(demand_lib.CustomerLoad(*each) for each in largest)
        out: list[demand_lib.BandDemand] = []
        for band, total in enumerate(self.summarize(waiting, now)):
            if not total.is_present and total.arrivals_per_s < const.RATE_MIN:
                continue
            out.append(
                demand_lib.BandDemand(
                    service=service,
                    band=band,
                    timely=int(total.timely),
                    late=int(total.late),
                    running=int(total.running),
                    oldest_s=round(oldest[band], 3),
                    arrivals_per_s=round(total.arrivals_per_s, 3),
                    # With the first band only: they are those of the service.
                    customers=() if out else customers,
                )
            )
        return out


def find_oldest(waiting: Iterable[WaitingRequest]) -> list[float]:
    """Return for each band the age of its oldest request, seconds."""
    oldest = [0.0] * const.BANDS
    for request in waiting:
        oldest[request.band] = max(oldest[request.band], request.age_s)
    return oldest
