"""Requests that wait for a place, by service, at one entry; sans-I/O."""

import math
import random

from jasperweir.components.balance import balancer as balancer_lib
from jasperweir.components.balance import const as balance_const
from jasperweir.components.balance import forecast as forecast_lib
from jasperweir.components.balance import gate as gate_lib
from jasperweir.components.balance import messages
from jasperweir.components.balance import neighbours as neighbours_lib
from jasperweir.components.balance import outage as outage_lib
from jasperweir.components.forward import capacity as capacity_lib
from jasperweir.components.forward import exchange as exchange_lib


class Queue:
    """Requests of one service that wait here.

    Attributes:
        gate: Who waits.
        forecast: How long requests of this service take.
    """

    def __init__(self) -> None:
        self.gate = gate_lib.Gate()
        self.forecast = forecast_lib.Forecast()


class Queues:
    """All that wait at this entry, and their part of the free places."""

    def __init__(
        self,
        *,
        balancer: balancer_lib.Balancer,
        neighbours: neighbours_lib.Neighbours,
        outages: outage_lib.Outages,
        rng: random.Random,
    ) -> None:
        self._balancer = balancer
        self._neighbours = neighbours
        self._outages = outages
        self._rng = rng
        self._by_service: dict[str, Queue] = {}

    def get(self, service: str) -> Queue:
        """Return the queue of a service."""
        return self._by_service.setdefault(service, Queue())

    def list_waiting_services(self) -> list[str]:
        """Return the services for which any request waits."""
        return [name for name, q in self._by_service.items() if len(q.gate)]

    def estimate_wait_s(
        self,
        service: str,
        candidates: capacity_lib.Candidates,
        running: int,
        now: float,
    ) -> float:
        """Return the seconds after which a further request gets a place.

        Args:
            service: Its service.
            candidates: Targets that it may go to; free_slots is negative while
                requests ahead of it need that many slots.
            running: Requests at the service's targets.
            now: Monotonic seconds.
        """
        queue = self.get(service)
        # Who is late already waits behind it.
        ahead = queue.gate.timely(now) - min(candidates.free_slots, 0)
        ahead += self._balancer.queue_elsewhere(service, now).timely
        return queue.forecast.wait_s(ahead=ahead, running=running)

    def enqueue(
        self, exchange: exchange_lib.Exchange, not_before: float
    ) -> None:
        """Queue a request."""
        life = exchange.life
        queue = self.get(exchange.service)
        queue.gate.wait(
            gate_lib.Waiting(
                priority=life.match.priority,
                since=life.asked_at,
                number=exchange.number,
                until=life.waits_until,
                not_before=not_before,
                timely_until=self._timely_until(exchange),
            )
        )

    def remove(self, exchange: exchange_lib.Exchange) -> bool:
        """Take out a request that has ended; return whether it waited."""
        return self.get(exchange.service).gate.withdraw(exchange.number)

    def is_timely(self, exchange: exchange_lib.Exchange, now: float) -> bool:
        """Tell whether a request that is sent now can be in time."""
        return now <= self._timely_until(exchange)

    def _timely_until(self, exchange: exchange_lib.Exchange) -> float:
        life = exchange.life
        if life.is_resumed:
            # Its caller holds a part of the answer and has no further try: the
            # rest is late whenever it comes, and lost if it does not.
            return math.inf
        ends_in_time = life.asked_at + life.match.route.target_s
        return ends_in_time - self.get(exchange.service).forecast.first_s

    def count_admissible(
        self,
        service: str,
        candidates: capacity_lib.Candidates,
        now: float,
        *,
        starts: bool = False,
    ) -> forecast_lib.Part:
        """Return how many of those who wait are sent now.

        Args:
            service: Their service.
            candidates: Places that they may have.
            now: Monotonic seconds.
            starts: Whether this entry, and the targets with it most likely, has
                just started.
        """
        if self._is_in_outage(service, now, starts=starts):
            probes = int(
                candidates.free_slots >= 1
                and self._take_probe(service, now, starts)
            )
            return forecast_lib.Part(timely=0, late=probes, yielding=probes)
        others = self._balancer.queue_elsewhere(service, now)
        # Of entries beyond the own cell nothing is known but their number.
        known = 1 + len(self._neighbours.peers)
        seen = min(1.0, known / max(candidates.entry_count, 1))
        own = self._summarize(service, now)
        return forecast_lib.part(
            candidates.free_slots * seen,
            own,
            others,
            self._rng,
            late_places=candidates.late_slots * seen,
        )

    def _is_in_outage(self, service: str, now: float, *, starts: bool) -> bool:
        """Tell whether all targets of a service refuse at present."""
        outage = self._outages.of(service)
        return outage.lasts(now) and not (starts and outage.seems_over(now))

    def _take_probe(self, service: str, now: float, starts: bool) -> bool:
        outage = self._outages.of(service)
        if starts:
            return outage.take_probe(now, balance_const.START_PROBE_SECONDS)
        return outage.take_probe(now)

    def publish(self, now: float) -> None:
        """Let the other entries be told who waits here."""
        for service in self._by_service:
            self._balancer.note_queue(self._summarize(service, now))

    def _summarize(self, service: str, now: float) -> messages.Queue:
        gate = self.get(service).gate
        timely = gate.timely(now)
        return messages.Queue(service, timely, len(gate) - timely)
