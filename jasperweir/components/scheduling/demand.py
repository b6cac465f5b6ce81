"""Demand for the slots of a service, by priority, over all entries; sans-I/O.

Load: requests of several priorities compete for too few slots, and each entry
receives only some of them. An entry that knows how many requests of each
priority wait elsewhere can leave a free slot to the most urgent one.
"""

from collections.abc import Iterable
from collections.abc import Sequence
import math
from typing import Any
from typing import NamedTuple

from jasperweir.components.scheduling import const


class CustomerLoad(NamedTuple):
    """Running requests of one customer at one entry."""

    customer: str
    running: int


class BandDemand(NamedTuple):
    """Demand of one priority band of a service at one entry.

    Attributes:
        service: Name of the service.
        band: Priority band, from 0, the most urgent, to 9.
        timely: Waiting requests that can still meet their target time.
        late: Waiting requests that can't.
        running: Requests that run at targets.
        oldest_s: Time since the first attempt of the oldest waiting request,
            seconds.
        arrivals_per_s: Smoothed arrival rate, requests a second.
        customers: Customers with the most running requests.
    """

    service: str
    band: int
    timely: int
    late: int
    running: int
    oldest_s: float = 0.0
    arrivals_per_s: float = 0.0
    customers: tuple[CustomerLoad, ...] = ()


class BandTotal(NamedTuple):
    """Demand of one band, summed over entries.

    Attributes:
        timely: Waiting requests that can still meet their target time.
        late: Waiting requests that can't.
        running: Requests that run at targets.
        arrivals_per_s: Arrival rate, requests a second.
    """

    timely: float = 0.0
    late: float = 0.0
    running: float = 0.0
    arrivals_per_s: float = 0.0

    @property
    def waiting(self) -> float:
        """Number of waiting requests."""
        return self.timely + self.late

    @property
    def is_present(self) -> bool:
        """Whether any request of the band waits or runs."""
        return self.timely + self.late + self.running > 0


_SEQUENCES = (list, tuple)
_NUMBERS = (int, float)

# One total for each band, the most urgent first.
Bands = tuple[BandTotal, ...]

NO_DEMAND: Bands = (BandTotal(),) * const.BANDS


def find_band(priority: int) -> int:
    """Return the band of a priority, the nearest one if it has none."""
    return min(max(priority, 0), const.LOWEST_BAND)


def add(one: Bands, other: Bands) -> Bands:
    """Return the sum of two lists of bands."""
    return tuple(
        BandTotal(
            a.timely + b.timely,
            a.late + b.late,
            a.running + b.running,
            a.arrivals_per_s + b.arrivals_per_s,
        )
        for a, b in zip(one, other, strict=True)
    )


def parse(raw: Iterable[Any]) -> list[BandDemand]:
    """Return the readable entries of a peer's demand.

    Fields that a newer peer adds are ignored, missing ones get their defaults,
    and counts out of range are clamped.

    Args:
        raw: Decoded field ``demand`` of a peer's message.
    """
    found = []
    for item in raw:
        if not isinstance(item, _SEQUENCES) or len(item) < 2:
            continue
        if _is_regular(item):
            service, band, timely, late, running, oldest_s, per_s, loads = item
            found.append(
                BandDemand(
                    service,
                    band,
                    timely,
                    late,
                    running,
                    oldest_s,
                    per_s,
                    _parse_customers(loads),
                )
            )
            continue
        if not isinstance(item[0], str) or not _is_number(item[1]):
            continue
        fields = [*item[2:8], *([None] * max(0, 8 - len(item)))]
        found.append(
            BandDemand(
                service=item[0],
                band=int(min(max(item[1], 0), const.LOWEST_BAND)),
                timely=int(_clamp(fields[0])),
                late=int(_clamp(fields[1])),
                running=int(_clamp(fields[2])),
                oldest_s=_clamp(fields[3]),
                arrivals_per_s=_clamp(fields[4]),
                customers=_parse_customers(fields[5]),
            )
        )
    return found


def _is_regular(item: Sequence[Any]) -> bool:
    """Return whether all counts of an entry are valid as they are.

    Nearly all are, and clamping each count takes several times as long.
    """
    if len(item) != len(BandDemand._fields):
        return False
    service, band, timely, late, running, oldest_s, per_s, _ = item
    most = const.COUNT_MAX
    return (
        type(service) is str
        and type(band) is type(timely) is type(late) is type(running) is int
        and type(oldest_s) is type(per_s) is float
        and 0 <= band <= const.LOWEST_BAND
        and 0 <= timely <= most
        and 0 <= late <= most
        and 0 <= running <= most
        and 0.0 <= oldest_s <= most
        and 0.0 <= per_s <= most
    )


def _parse_customers(raw: Any) -> tuple[CustomerLoad, ...]:
    if not isinstance(raw, _SEQUENCES):
        return ()
    return tuple(
        CustomerLoad(item[0], int(_clamp(item[1])))
        for item in raw[: const.CUSTOMERS_SENT]
        if isinstance(item, _SEQUENCES)
        and len(item) >= 2
        and isinstance(item[0], str)
    )


def _is_number(value: Any) -> bool:
    if isinstance(value, bool) or not isinstance(value, _NUMBERS):
        return False
    return math.isfinite(value)


def _clamp(value: Any) -> float:
    """Return a count within its range, 0 if it is no number."""
    # Most counts are valid; the checks below take several times as long.
    if type(value) is int and 0 <= value <= const.COUNT_MAX:
        return float(value)
    if not _is_number(value):
        return 0.0
    return float(min(max(value, 0), const.COUNT_MAX))
