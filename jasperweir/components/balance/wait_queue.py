"""Queue of requests that wait for a free slot of a service; sans-I/O.

Requests that can still be answered within their target time are served first:
serving a late request first would make the next one late as well, and with a
queue of one second every request would be late. Late requests get the slots
that are left.
"""

from collections.abc import Mapping
from collections.abc import Sequence
import math
from typing import NamedTuple

from jasperweir.components.scheduling import const as scheduling_const
from jasperweir.components.scheduling import demand as demand_lib
from jasperweir.components.scheduling import fairness
from jasperweir.components.scheduling import order as order_lib


class QueuedRequest(NamedTuple):
    """A waiting request, served in order of arrival within its priority.

    Attributes:
        priority: Priority; 0 is served first.
        since: Time of its caller's first attempt, monotonic seconds.
        number: Number of the request at this entry.
        until: Time at which it is refused, monotonic seconds.
        not_before: Earliest time at which it may be sent, monotonic seconds.
        timely_until: Latest time to send it that still meets its target time,
            monotonic seconds; infinite if it resumes an answer.
        customer: Name of its customer, or empty.
        is_return: Whether its caller returns after a refusal.
        start_tag: Its place in the virtual time of its customer.
    """

    priority: int
    since: float
    number: int
    until: float
    not_before: float
    timely_until: float = -math.inf
    customer: str = ""
    is_return: bool = False
    start_tag: float = 0.0

    @property
    def band(self) -> int:
        """Its priority band."""
        return demand_lib.find_band(self.priority)

    def is_late(self, now: float) -> bool:
        """Return whether it can no longer meet its target time."""
        return now > self.timely_until


class WaitQueue:
    """Requests of one service that wait for a free slot at this entry."""

    def __init__(self) -> None:
        self._waiting: dict[int, QueuedRequest] = {}

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._waiting)

    def numbers(self) -> list[int]:
        """Return the numbers of the waiting requests."""
        return list(self._waiting)

    def count_timely(self, now: float) -> int:
        """Return how many waiting requests can still meet their target time."""
        return sum(not w.is_late(now) for w in self._waiting.values())

    def list_waiting(self) -> list[QueuedRequest]:
        """Return the waiting requests."""
        return list(self._waiting.values())

    def enqueue(self, waiting: QueuedRequest) -> None:
        """Queue a request."""
        self._waiting[waiting.number] = waiting

    def remove(self, number: int) -> bool:
        """Remove a request; return whether it was waiting."""
        return self._waiting.pop(number, None) is not None

    def admit(
        self, free_slots: int, now: float, *, yielding: int | None = None
    ) -> list[int]:
        """Remove and return the requests to send now, in order.

        Args:
            free_slots: Number of free slots.
            now: Monotonic seconds.
            yielding: Most slots that late requests may get; None for all.
        """
        if free_slots < 1:
            return []
        due = [w for w in self._waiting.values() if w.not_before <= now]
        due.sort(key=lambda w: (w.priority, w.is_late(now), w.since, w.number))
        if yielding is not None:
            are_late = [w for w in due if w.is_late(now)]
            excluded = {w.number for w in are_late[max(yielding, 0) :]}
            due = [w for w in due if w.number not in excluded]
        chosen = [w.number for w in due[:free_slots]]
        for number in chosen:
            del self._waiting[number]
        return chosen

    def admit_bands(
        self,
        slots: Sequence[order_lib.BandSlots],
        now: float,
        running: Mapping[str, int],
        over_share: frozenset[str] = frozenset(),
    ) -> list[QueuedRequest]:
        """Remove and return the requests to send now, in order.

        Args:
            slots: Slots for each priority band.
            now: Monotonic seconds.
            running: Running requests by customer.
            over_share: Customers whose requests go after those of others.
        """
        chosen = []
        for band, granted in enumerate(slots):
            if not granted.total:
                continue
            numbers = self.sort_band(band, now, running, over_share)
            chosen += numbers[: granted.total]
        return [self._waiting.pop(number) for number in chosen]

    def sort_band(
        self,
        band: int,
        now: float,
        running: Mapping[str, int],
        over_share: frozenset[str] = frozenset(),
    ) -> list[int]:
        """Return the due requests of a band in order of service.

        Requests in time go first, then callers that return, then others.
        """
        return fairness.sort_fairly(
            (
                fairness.FairRequest(
                    number=w.number,
                    customer=w.customer,
                    rank=(
                        w.is_late(now) or w.customer in over_share,
                        w.is_late(now) and not w.is_return,
                    ),
                    start_tag=w.start_tag,
                    since=w.since,
                )
                for w in self._waiting.values()
                if w.band == band and w.not_before <= now
            ),
            running,
        )

    def find_hopeless(
        self,
        band: int,
        now: float,
        running: Mapping[str, int],
        over_share: frozenset[str] = frozenset(),
        *,
        ahead: float,
        spacing: float,
        per_s: float,
    ) -> list[int]:
        """Return the requests of a band that will get no slot before they end.

        Requests that resume an answer are left out: their callers have no
        further attempt.

        Args:
            band: The band.
            now: Monotonic seconds.
            running: Running requests by customer.
            over_share: Customers whose requests go after those of others.
            ahead: Requests that are served before the first of the band here.
            spacing: Requests of the band at all entries for each one here.
            per_s: Slots that come free for the band in a second.
        """
        numbers = self.sort_band(band, now, running, over_share)
        out = []
        for number in numbers:
            waiting = self._waiting[number]
            wait_s = (ahead + 1) / max(per_s, 1e-9)
            left_s = waiting.until - now
            is_resumed = math.isinf(waiting.timely_until)
            if wait_s > scheduling_const.FORECAST_SLACK * left_s:
                if not is_resumed and left_s > 0:
                    out.append(number)
                    continue
            ahead += spacing
        return out

    def expire(self, now: float) -> list[int]:
        """Remove and return the requests whose waiting time has run out."""
        late = [w.number for w in self._waiting.values() if w.until <= now]
        for number in late:
            del self._waiting[number]
        return late
