"""Queues of requests that wait for a slot, by service; sans-I/O."""

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


class Queue:
    """Waiting requests of one service at this entry.

    Attributes:
        wait_queue: Waiting requests by priority.
        forecast: Estimate of how long requests of this service take.
    """

    def __init__(self) -> None:
        self.wait_queue = wait_queue_lib.WaitQueue()
        self.forecast = forecast_lib.Forecast()


class Queues:
    """Waiting requests of this entry and its share of the free slots."""

    def __init__(
        self,
        *,
        balancer: balancer_lib.Balancer,
        cell: entry_cell_lib.EntryCell,
        outages: outage_lib.Outages,
        rng: random.Random,
    ) -> None:
        self._balancer = balancer
        self._cell = cell
        self._outages = outages
        self._rng = rng
        self._by_service: dict[str, Queue] = {}

    def get(self, service: str) -> Queue:
        """Return the queue of a service."""
        return self._by_service.setdefault(service, Queue())

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
    ) -> float:
        """Estimate when one more request would get a slot, in seconds.

        Args:
            service: Its service.
            candidates: Targets that it may be sent to.
            running: Number of requests that run at the service's targets.
            now: Monotonic seconds.
        """
        queue = self.get(service)
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
        queue.wait_queue.enqueue(
            wait_queue_lib.QueuedRequest(
                priority=state.match.priority,
                since=state.first_attempt_at,
                number=exchange.number,
                until=state.wait_deadline,
                not_before=not_before,
                timely_until=self._timely_until(exchange),
            )
        )

    def remove(self, exchange: exchange_lib.Exchange) -> bool:
        """Remove a finished request and return whether it was queued."""
        return self.get(exchange.service).wait_queue.remove(exchange.number)

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
        for service in self._by_service:
            self._balancer.note_queue(self._summarize(service, now))

    def _summarize(self, service: str, now: float) -> messages.Queue:
        wait_queue = self.get(service).wait_queue
        timely = wait_queue.count_timely(now)
        return messages.Queue(service, timely, len(wait_queue) - timely)
