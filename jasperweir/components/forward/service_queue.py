"""Waiting requests of one service and their order of service; sans-I/O."""

import collections
from collections.abc import Sequence
import math
import random

from jasperweir.components.balance import forecast as forecast_lib
from jasperweir.components.balance import wait_queue as wait_queue_lib
from jasperweir.components.scheduling import const
from jasperweir.components.scheduling import demand as demand_lib
from jasperweir.components.scheduling import fairness
from jasperweir.components.scheduling import order as order_lib
from jasperweir.components.scheduling import own_demand
from jasperweir.components.scheduling import returns


class Queue:
    """Waiting requests of one service at this entry.

    Attributes:
        wait_queue: Waiting requests by priority.
        forecast: Estimate of how long requests of this service take.
        demand: Arrivals and running requests by priority.
        virtual_time: Turns of the customers.
        returns: Return times of refused callers.
        order: Order of the last decision, None if the entry's own applied.
        order_at: Time of the last decision, monotonic seconds.
        order_applied: Whether the order over all entries applied when slots
            were last scarce.
        over_share: Customers whose requests go after those of others.
        over_share_at: When these were found, monotonic seconds.
    """

    def __init__(self, *, rng: random.Random) -> None:
        self.wait_queue = wait_queue_lib.WaitQueue()
        self.forecast = forecast_lib.Forecast()
        self.demand = own_demand.OwnDemand()
        self.virtual_time = fairness.VirtualTime()
        self.returns = returns.ReturnSchedule(rng=rng)
        self.order: order_lib.Order | None = None
        self.order_at = -math.inf
        self.order_applied = False
        self.over_share: frozenset[str] = frozenset()
        self.over_share_at = -math.inf

    def take(
        self,
        slots: Sequence[order_lib.BandSlots],
        now: float,
        customers: collections.Counter[str],
    ) -> list[int]:
        """Remove and return the requests to send now, in order.

        Args:
            slots: Slots for each priority band.
            now: Monotonic seconds.
            customers: Running requests by customer.
        """
        sent = self.wait_queue.admit_bands(
            slots, now, customers, self.over_share
        )
        for request in sent:
            self.virtual_time.on_served(request.start_tag)
        return [request.number for request in sent]

    def list_demand(self, now: float) -> list[own_demand.WaitingRequest]:
        """Return what counts of the waiting requests."""
        return [
            own_demand.WaitingRequest(
                w.band,
                w.is_late(now) or w.customer in self.over_share,
                now - w.since,
            )
            for w in self.wait_queue.list_waiting()
        ]

    def find_hopeless(
        self, now: float, customers: collections.Counter[str]
    ) -> list[int]:
        """Return the waiting requests that will get no slot in their time.

        Args:
            now: Monotonic seconds, the time of the last decision.
            customers: Running requests by customer.
        """
        order = self.order
        if order is None or self.order_at < now:
            return []
        if order.releases_per_s <= 0:
            # No forecast: no answer was completed yet, or nothing runs.
            return []
        out = []
        ahead = max(-order.supply.free, 0.0)
        for band, own in enumerate(order.own):
            if own.waiting:
                out += self.wait_queue.find_hopeless(
                    band,
                    now,
                    customers,
                    self.over_share,
                    ahead=ahead,
                    spacing=order.total[band].waiting / own.waiting,
                    per_s=order.compute_rate(band),
                )
            ahead += order.total[band].waiting
        return out

    def is_most_urgent(
        self, priority: int, customer: str, now: float
    ) -> bool | None:
        """Return whether no more urgent requests compete with a request.

        Args:
            priority: Its priority.
            customer: Its customer.
            now: Monotonic seconds.

        Returns:
            None if the entry's own order applies.
        """
        if self.order is None or self.order_at < now:
            return None
        if customer in self.over_share:
            return False
        band = demand_lib.find_band(priority)
        return not any(b.is_present for b in self.order.total[:band])

    def plan_return(
        self, priority: int, now: float, *, left_s: float, entries: int
    ) -> float | None:
        """Return the delay after which a refused caller should return, seconds.

        Args:
            priority: Priority of its request.
            now: Monotonic seconds.
            left_s: Time that the caller has left, seconds.
            entries: Entries that share the slots.

        Returns:
            None if the entry's own order applies.
        """
        order = self.order
        is_recent = now - self.order_at <= const.ORDER_TTL_SECONDS
        if order is None or not is_recent:
            return None
        band = demand_lib.find_band(priority)
        return self.returns.plan(
            band,
            now,
            wait_s=order.forecast_wait_s(band, ahead=order.count_ahead(band)),
            slots_per_s=order.compute_rate(band) / entries,
            left_s=left_s,
        )
