"""Queues of requests that wait for a slot, by service; sans-I/O."""

import collections
from collections.abc import Callable
import math
import random

from jasperweir.components.balance import balancer as balancer_lib
from jasperweir.components.balance import const as balance_const
from jasperweir.components.balance import entry_cell as entry_cell_lib
from jasperweir.components.balance import forecast as forecast_lib
from jasperweir.components.balance import messages
from jasperweir.components.balance import outage as outage_lib
from jasperweir.components.balance import wait_queue as wait_queue_lib
from jasperweir.components.forward import capacity as capacity_lib
from jasperweir.components.forward import exchange as exchange_lib
from jasperweir.components.forward import service_queue
from jasperweir.components.forward import startup_grace as startup_grace_lib
from jasperweir.components.scheduling import const as scheduling_const
from jasperweir.components.scheduling import demand as demand_lib
from jasperweir.components.scheduling import fairness
from jasperweir.components.scheduling import order as order_lib
from jasperweir.components.scheduling import own_demand
from jasperweir.components.scheduling import view as view_lib


class Queues:
    """Waiting requests of this entry and its share of the free slots.

    Attributes:
        on_order_change: Called with a service when the order over all entries
            starts or stops to apply to it; see ``Recorder.record_order``.
    """

    def __init__(
        self,
        *,
        balancer: balancer_lib.Balancer,
        cell: entry_cell_lib.EntryCell,
        outages: outage_lib.Outages,
        startup_grace: startup_grace_lib.StartupGrace,
        rng: random.Random,
    ) -> None:
        self._balancer = balancer
        self._startup_grace = startup_grace
        self._view = view_lib.DemandView()
        self.on_order_change: Callable[..., None] = lambda *_, **__: None
        self._demand_sent_at = -math.inf
        self._has_sent_waiting = False
        self._sent_waiting: tuple[tuple[tuple[int, bool], ...], ...] = ()
        # Number of services whose queues were all empty when last published, 0
        # if one was not.
        self._empty_published = 0
        self._cell = cell
        self._outages = outages
        self._rng = rng
        self._by_service: dict[str, service_queue.Queue] = {}

    def get(self, service: str) -> service_queue.Queue:
        """Return the queue of a service."""
        queue = self._by_service.get(service)
        if queue is None:
            queue = service_queue.Queue(rng=self._rng)
            self._by_service[service] = queue
        return queue

    def list_waiting_services(self) -> list[str]:
        """Return the services that have waiting requests."""
        return [
            name for name, q in self._by_service.items() if len(q.wait_queue)
        ]

    def estimate_wait_s(
        self,
        service: str,
        candidates: capacity_lib.Candidates,
        running: int,
        now: float,
        *,
        priority: int,
    ) -> float:
        """Estimate when one more request would get a slot, in seconds.

        Args:
            service: Its service.
            candidates: Targets that it may be sent to.
            running: Number of requests that run at the service's targets.
            now: Monotonic seconds.
            priority: Its priority.
        """
        queue = self.get(service)
        order = self.find_order(service, candidates, now)
        if order is not None:
            band = demand_lib.find_band(priority)
            return order.forecast_wait_s(band, ahead=order.count_ahead(band))
        # Late requests are served after timely ones and do not count.
        ahead = queue.wait_queue.count_timely(now) - min(
            candidates.free_slots, 0
        )
        ahead += self._balancer.queue_elsewhere(service, now).timely
        return queue.forecast.wait_s(ahead=ahead, running=running)

    def enqueue(
        self, exchange: exchange_lib.Exchange, not_before: float
    ) -> None:
        """Add a request to the queue of its service.

        Args:
            exchange: The request.
            not_before: Earliest time to send it, monotonic seconds.
        """
        state = exchange.state
        queue = self.get(exchange.service)
        queue.demand.on_ended(exchange.number)
        busy = (w.customer for w in queue.wait_queue.list_waiting())
        queue.wait_queue.enqueue(
            wait_queue_lib.QueuedRequest(
                priority=state.match.priority,
                since=state.first_attempt_at,
                number=exchange.number,
                until=state.wait_deadline,
                not_before=not_before,
                timely_until=self._timely_until(exchange),
                customer=state.customer_name,
                is_return=state.is_last_attempt,
                start_tag=queue.virtual_time.tag(state.customer_name, busy),
            )
        )

    def remove(self, exchange: exchange_lib.Exchange) -> bool:
        """Remove a finished request and return whether it was queued."""
        self.get(exchange.service).demand.on_ended(exchange.number)
        return self.get(exchange.service).wait_queue.remove(exchange.number)

    def is_over_share(self, exchange: exchange_lib.Exchange) -> bool:
        """Return whether requests of other customers go before a request."""
        over_share = self.get(exchange.service).over_share
        return exchange.state.customer_name in over_share

    def is_timely(self, exchange: exchange_lib.Exchange, now: float) -> bool:
        """Return whether a request sent now can meet its target time."""
        return now <= self._timely_until(exchange)

    def _timely_until(self, exchange: exchange_lib.Exchange) -> float:
        state = exchange.state
        if state.is_resumed:
            # The caller cannot retry a partial response again, so the rest is
            # worth sending however late it is.
            return math.inf
        target_end = state.first_attempt_at + state.match.route.target_s
        return target_end - self.get(exchange.service).forecast.first_s

    # Order of service over all entries.

    def on_arrival(self, exchange: exchange_lib.Exchange, now: float) -> None:
        """Count a new request."""
        queue = self.get(exchange.service)
        queue.demand.on_arrival(exchange.state.match.priority, now)

    def on_sent(self, exchange: exchange_lib.Exchange) -> None:
        """Count a request that is sent to a target."""
        state = exchange.state
        self.get(exchange.service).demand.on_sent(
            exchange.number,
            demand_lib.find_band(state.match.priority),
            state.customer_name,
        )

    def on_share(self, src: str, msg: messages.Share, now: float) -> None:
        """Handle another entry's load report."""
        self._view.on_share(src, msg.sequence, msg.demand, msg.queues, now)

    def build_demand(self, now: float) -> tuple[demand_lib.BandDemand, ...]:
        """Return the demand to send to the other entries.

        Without waiting requests it is left out of most messages: it would
        double their size, and running requests change slowly.
        """
        is_waiting = any(len(q.wait_queue) for q in self._by_service.values())
        since_s = now - self._demand_sent_at
        if not (is_waiting or self._has_sent_waiting) and (
            since_s < scheduling_const.DEMAND_INTERVAL_SECONDS
        ):
            return ()
        self._has_sent_waiting = is_waiting
        self._demand_sent_at = now
        return tuple(
            item
            for service, queue in self._by_service.items()
            for item in queue.demand.build_message(
                service, queue.list_demand(now), now
            )
        )

    def find_order(
        self, service: str, candidates: capacity_lib.Candidates, now: float
    ) -> order_lib.Order | None:
        """Return the order of service, None if the entry's own order applies.

        The entry's own order applies to requests of a single priority, while
        there are slots for all, after the start of this entry, and to an entry
        that hears less than half of the entries in its cell or no demand by
        priority.
        """
        queue = self.get(service)
        if self._has_plenty(queue, candidates):
            # The demand of all entries need not be summed for each request.
            queue.order = None
            queue.order_at = now
            return None
        order = self._build_order(service, candidates, now)
        if (order is None) == queue.order_applied:
            queue.order_applied = order is not None
            bands = order.total if order else ()
            self.on_order_change(
                service,
                applies=order is not None,
                peers=self._view.count_peers(now),
                bands=sum(band.is_present for band in bands),
            )
        queue.order = order
        queue.order_at = now
        return order

    def _has_plenty(
        self, queue: service_queue.Queue, candidates: capacity_lib.Candidates
    ) -> bool:
        """Return whether each entry can send its next requests at once."""
        if len(queue.wait_queue):
            return False
        slots = scheduling_const.PLENTY_SLOTS_PER_ENTRY
        return candidates.free_slots >= slots * candidates.entry_count

    def _build_order(
        self, service: str, candidates: capacity_lib.Candidates, now: float
    ) -> order_lib.Order | None:
        if self._startup_grace.is_active(now):
            return None
        known = 1 + len(self._cell.peers)
        if self._cell.peers:
            if 2 * (1 + self._view.count_peers(now)) <= known:
                return None
            if not self._view.has_demand(now):
                return None
        queue = self.get(service)
        if now - queue.over_share_at >= scheduling_const.SUM_TTL_SECONDS:
            queue.over_share_at = now
            queue.over_share = fairness.find_over_share(
                self._count_customers(service, now)
            )
        own = queue.demand.summarize(queue.list_demand(now), now)
        elsewhere = self._view.sum_elsewhere(service, now)
        order = order_lib.Order(
            own=own,
            elsewhere=elsewhere.bands,
            supply=order_lib.Supply(
                free=self._scale(candidates.free_slots, candidates),
                whole_s=queue.forecast.whole_s,
            ),
            groups=elsewhere.groups,
        )
        return order if order_lib.has_several_bands(order.total) else None

    def _scale(
        self, slots: float, candidates: capacity_lib.Candidates
    ) -> float:
        """Return the part of some slots that the entries in view share."""
        if slots <= 0:
            return slots
        # The queues of entries outside the own cell are unknown.
        known_entries = 1 + len(self._cell.peers)
        return slots * min(1.0, known_entries / max(candidates.entry_count, 1))

    def admit(
        self,
        service: str,
        candidates: capacity_lib.Candidates,
        now: float,
        *,
        is_starting: bool,
    ) -> list[int]:
        """Remove and return the waiting requests to send now, in order.

        Args:
            service: Their service.
            candidates: Targets that they may be sent to.
            now: Monotonic seconds.
            is_starting: Whether this entry, and so probably its targets, has
                just started.
        """
        queue = self.get(service)
        is_recent = now - queue.order_at < scheduling_const.ORDER_REUSE_SECONDS
        if queue.order is not None and is_recent and candidates.free_slots < 1:
            # Nothing can be sent, whatever the order is.
            return []
        order = None
        if not self._is_in_outage(service, now, is_starting=is_starting):
            order = self.find_order(service, candidates, now)
        if order is not None:
            oldest_s = own_demand.find_oldest(queue.list_demand(now))
            slots = order.allocate(oldest_s, self._rng)
            if not any(granted.total for granted in slots):
                return []
            customers = self._count_customers(service, now)
            return queue.take(slots, now, customers)
        admissible = self.count_admissible(
            service, candidates, now, is_starting=is_starting
        )
        # Late requests yield slots to timely ones only during startup. In any
        # other overload this costs more rejections than it avoids.
        yielding = admissible.yielding if is_starting else None
        return queue.wait_queue.admit(admissible.total, now, yielding=yielding)

    def _count_customers(
        self, service: str, now: float
    ) -> collections.Counter[str]:
        """Return the running requests by customer at all entries in view."""
        elsewhere = self._view.sum_elsewhere(service, now).customers
        customers = collections.Counter(self.get(service).demand.customers)
        for name, count in elsewhere.items():
            if count > 0:
                customers[name] += count
        return customers

    def hand_over(
        self, service: str, candidates: capacity_lib.Candidates, now: float
    ) -> list[int]:
        """Remove and return the request that takes over a slot of this entry.

        Args:
            service: Service of the slot, which has just come free.
            candidates: Targets that its requests may be sent to.
            now: Monotonic seconds.
        """
        queue = self.get(service)
        if self._outages.get(service).is_active(now):
            return []
        order = self.find_order(service, candidates, now)
        if order is None:
            return []
        customers = self._count_customers(service, now)
        slots = order.hand_over(is_flooded=bool(queue.over_share))
        return queue.take(slots, now, customers)

    def find_hopeless(self, service: str, now: float) -> list[int]:
        """Return the waiting requests that will get no slot in their time.

        To be called after ``admit``, whose order applies.
        """
        customers = self._count_customers(service, now)
        return self.get(service).find_hopeless(now, customers)

    def is_most_urgent(
        self, exchange: exchange_lib.Exchange, now: float
    ) -> bool | None:
        """Return whether no more urgent requests compete with a request.

        Returns:
            None if the entry's own order applies.
        """
        state = exchange.state
        return self.get(exchange.service).is_most_urgent(
            state.match.priority, state.customer_name, now
        )

    def plan_return(
        self, exchange: exchange_lib.Exchange, now: float
    ) -> float | None:
        """Return the delay after which a refused caller should return, seconds.

        Returns:
            None if the entry's own order applies.
        """
        return self.get(exchange.service).plan_return(
            exchange.state.match.priority,
            now,
            left_s=exchange.state.caller_deadline - now,
            entries=1 + len(self._cell.peers),
        )

    def count_clamped(self) -> int:
        """Return how many requests had a priority outside the bands."""
        return sum(q.demand.clamped for q in self._by_service.values())

    def count_admissible(
        self,
        service: str,
        candidates: capacity_lib.Candidates,
        now: float,
        *,
        is_starting: bool = False,
    ) -> forecast_lib.SlotAllocation:
        """Return how many waiting requests may be sent now.

        Args:
            service: Their service.
            candidates: Targets that they may be sent to.
            now: Monotonic seconds.
            is_starting: Whether this entry, and so probably its targets, has
                just started.
        """
        if self._is_in_outage(service, now, is_starting=is_starting):
            probes = int(
                candidates.free_slots >= 1
                and self._take_probe(service, now, is_starting)
            )
            return forecast_lib.SlotAllocation(
                timely=0, late=probes, yielding=probes
            )
        other_queues = self._balancer.queue_elsewhere(service, now)
        # The queues of entries outside the own cell are unknown.
        known_entries = 1 + len(self._cell.peers)
        known_share = min(1.0, known_entries / max(candidates.entry_count, 1))
        own_queue = self._summarize(service, now)
        return forecast_lib.allocate_slots(
            candidates.free_slots * known_share,
            own_queue,
            other_queues,
            self._rng,
            late_slots=candidates.late_slots * known_share,
        )

    def _is_in_outage(
        self, service: str, now: float, *, is_starting: bool
    ) -> bool:
        """Return whether all targets of a service refuse requests."""
        outage = self._outages.get(service)
        return outage.is_active(now) and not (
            is_starting and outage.seems_over(now)
        )

    def _take_probe(self, service: str, now: float, is_starting: bool) -> bool:
        outage = self._outages.get(service)
        if is_starting:
            return outage.take_probe(now, balance_const.START_PROBE_SECONDS)
        return outage.take_probe(now)

    def publish(self, now: float) -> None:
        """Update the queue lengths in the load report for other entries."""
        is_waiting = any(len(q.wait_queue) for q in self._by_service.values())
        if not is_waiting and self._empty_published == len(self._by_service):
            # Most ticks only measure passes.
            return
        self._empty_published = 0 if is_waiting else len(self._by_service)
        for service in self._by_service:
            self._balancer.note_queue(self._summarize(service, now))
        # The balancer doesn't notice when requests of one priority have taken
        # the place of others.
        waiting = tuple(
            tuple(sorted((w.band, w.is_late) for w in queue.list_demand(now)))
            for queue in self._by_service.values()
        )
        if waiting != self._sent_waiting:
            self._sent_waiting = waiting
            self._balancer.on_change()

    def _summarize(self, service: str, now: float) -> messages.Queue:
        wait_queue = self.get(service).wait_queue
        timely = wait_queue.count_timely(now)
        return messages.Queue(service, timely, len(wait_queue) - timely)
