"""Deadline-aware admission with weighted fair queueing by customer."""

import collections
import dataclasses
import math
import random
from typing import NamedTuple

from jasperweir import result_codes
from jasperweir.components.limits import const

Code = result_codes.Code


class Ticket(NamedTuple):
    """One request that asks to be admitted.

    Attributes:
        rid: Request id.
        customer: Whose share it uses.
        weight: Share of the customer.
        priority: 0 is the most urgent, 9 the least.
        deadline: Monotonic time by which the answer must be whole.
        needs: Least seconds in which an answer is possible.
    """

    rid: str
    customer: str
    weight: float
    priority: int
    deadline: float
    needs: float


class Admit(NamedTuple):
    """The request may go on now."""

    rid: str


class Queued(NamedTuple):
    """The request waits; a later call admits or refuses it."""

    rid: str


class Refuse(NamedTuple):
    """The request gets its final answer at once."""

    rid: str
    code: Code
    retry_after: float


Verdict = Admit | Queued | Refuse


@dataclasses.dataclass(kw_only=True, slots=True)
class Waiting:
    """A queued ticket with its place in virtual time."""

    ticket: Ticket
    finish: float
    queued_at: float


class Admission:
    """Admit requests to one service at one entry.

    Start-time fair queueing (Goyal, Vin and Cheng, 1996): each customer's
    requests are spaced in virtual time by the inverse of its weight, so a
    customer that floods its queue delays only itself.
    """

    def __init__(self, *, limit: int, rng: random.Random) -> None:
        self._ceiling = limit
        self._factor = 1.0
        self._congested_at = float("-inf")
        self._recovered_at = float("-inf")
        self._rng = rng
        self._active: dict[str, float] = {}
        self._by_customer: collections.Counter[str] = collections.Counter()
        self._customer_of: dict[str, str] = {}
        self._queues: dict[str, collections.deque[Waiting]] = {}
        self._finish: dict[str, float] = {}
        self._weights: dict[str, float] = {}
        self._virtual = 0.0
        self._mean_seconds = const.DEFAULT_SERVICE_SECONDS

    @property
    def limit(self) -> int:
        """Number of requests that may be active now."""
        return max(1, round(self._ceiling * self._factor))

    def set_ceiling(self, limit: int) -> None:
        """Set how many requests may be active when nothing is congested."""
        self._ceiling = limit

    def congested(self, now: float) -> None:
        """Note that a target had no slot left for an admitted request."""
        if now - self._congested_at < const.CONGESTION_EVERY_SECONDS:
            return
        self._congested_at = now
        self._recovered_at = now
        self._factor = max(
            self._factor * const.CONGESTION_FACTOR, const.CONGESTION_FLOOR
        )

    @property
    def active(self) -> int:
        """Number of admitted requests that have not ended."""
        return len(self._active)

    @property
    def waiting(self) -> int:
        """Number of queued requests."""
        return sum(len(queue) for queue in self._queues.values())

    def offer(self, ticket: Ticket, now: float) -> Verdict:
        """Admit, queue or refuse a request."""
        if ticket.deadline <= now + ticket.needs:
            return self._refuse(ticket, Code.DEADLINE_TOO_NEAR)
        if self.active < self.limit and not self._queues:
            return self._admit(ticket, now)
        if self.waiting >= self._queue_limit():
            if not self._may_displace(ticket):
                return self._refuse(ticket, Code.OVERLOADED)
        if self._customer_full(ticket):
            return self._refuse(ticket, Code.CUSTOMER_LIMIT)
        if now + self._wait_of(ticket) + ticket.needs > ticket.deadline:
            return self._refuse(ticket, Code.DEADLINE_TOO_NEAR)
        self._enqueue(ticket, now)
        return Queued(rid=ticket.rid)

    def release(self, rid: str, now: float) -> list[Verdict]:
        """End a request; return what that admits or makes hopeless."""
        started = self._active.pop(rid, None)
        if started is not None:
            customer = self._customer_of.pop(rid)
            self._by_customer[customer] -= 1
            if not self._by_customer[customer]:
                del self._by_customer[customer]
            step = const.SERVICE_TIME_SMOOTHING * (now - started)
            keep = 1 - const.SERVICE_TIME_SMOOTHING
            self._mean_seconds = keep * self._mean_seconds + step
        return self.poll(now)

    def withdraw(self, rid: str) -> None:
        """Take a queued request out, its caller has gone."""
        for customer, queue in list(self._queues.items()):
            for waiting in list(queue):
                if waiting.ticket.rid == rid:
                    queue.remove(waiting)
            if not queue:
                del self._queues[customer]

    def poll(self, now: float) -> list[Verdict]:
        """Admit what fits and refuse what can no longer be in time."""
        self._recover(now)
        out: list[Verdict] = self._drop_hopeless(now)
        while self._queues and self.active < self.limit:
            out.append(self._admit(self._next().ticket, now))
        return out

    def _recover(self, now: float) -> None:
        if self._factor >= 1.0:
            return
        gained = (now - self._recovered_at) * const.RECOVERY_PER_SECOND
        self._factor = min(1.0, self._factor + gained)
        self._recovered_at = now

    def _wait_of(self, ticket: Ticket) -> float:
        """Return the seconds that one customer's request would wait.

        A customer below its share is served before those above theirs, so
        only its own queue stands before it.
        """
        busy = self._queues.keys() | self._by_customer.keys()
        total = sum(self._weights.get(name, 1.0) for name in busy)
        share = ticket.weight / max(total, ticket.weight) * self.limit
        if self._by_customer[ticket.customer] >= share:
            return self.expected_wait()
        own = len(self._queues.get(ticket.customer, ()))
        return (own + 1) * self._mean_seconds / self.limit

    def expected_wait(self) -> float:
        """Return the seconds that a newly queued request would wait."""
        if self.limit <= 0:
            return math.inf
        return (self.waiting + 1) * self._mean_seconds / self.limit

    def retry_after(self) -> float:
        """Return when a refused caller should come back, with jitter."""
        base = min(
            max(self.expected_wait(), const.RETRY_AFTER_MIN_SECONDS),
            const.RETRY_AFTER_MAX_SECONDS,
        )
        return base * self._rng.uniform(0.75, 1.5)

    def _admit(self, ticket: Ticket, now: float) -> Admit:
        self._active[ticket.rid] = now
        self._customer_of[ticket.rid] = ticket.customer
        self._by_customer[ticket.customer] += 1
        return Admit(rid=ticket.rid)

    def _refuse(self, ticket: Ticket, code: Code) -> Refuse:
        return Refuse(rid=ticket.rid, code=code, retry_after=self.retry_after())

    def _enqueue(self, ticket: Ticket, now: float) -> None:
        boost = 2.0 ** ((const.NEUTRAL_PRIORITY - ticket.priority) / 2)
        start = max(self._virtual, self._finish.get(ticket.customer, 0.0))
        finish = start + 1.0 / (ticket.weight * boost)
        self._finish[ticket.customer] = finish
        self._weights[ticket.customer] = ticket.weight
        queue = self._queues.setdefault(ticket.customer, collections.deque())
        queue.append(Waiting(ticket=ticket, finish=finish, queued_at=now))

    def _next(self) -> Waiting:
        """Take out the queued request that is first in fairness.

        A customer that holds less than its share of the active requests
        goes before one that holds more.
        """
        customer = min(self._queues, key=self._fair_order)
        queue = self._queues[customer]
        waiting = queue.popleft()
        if not queue:
            del self._queues[customer]
        self._virtual = max(self._virtual, waiting.finish)
        if len(self._finish) > 4096:
            self._forget_idle()
        return waiting

    def _fair_order(self, customer: str) -> tuple[float, float]:
        held = self._by_customer[customer] / self._weights[customer]
        return (held, self._queues[customer][0].finish)

    def _forget_idle(self) -> None:
        busy = self._queues.keys() | self._by_customer.keys()
        for customer in list(self._finish):
            if customer not in busy:
                del self._finish[customer]
                self._weights.pop(customer, None)

    def _drop_hopeless(self, now: float) -> list[Verdict]:
        out: list[Verdict] = []
        for customer, queue in list(self._queues.items()):
            for waiting in list(queue):
                ticket = waiting.ticket
                if now + ticket.needs <= ticket.deadline:
                    continue
                queue.remove(waiting)
                out.append(self._refuse(ticket, Code.DEADLINE_TOO_NEAR))
            if not queue:
                del self._queues[customer]
        return out

    def _queue_limit(self) -> int:
        return max(const.QUEUE_MIN, round(self.limit * const.QUEUE_FACTOR))

    def _may_displace(self, ticket: Ticket) -> bool:
        """Tell whether a full queue still has room for this customer.

        A customer without any queued request gets a place, so that large
        ones cannot fill the queue for the small.
        """
        return ticket.customer not in self._queues

    def _customer_full(self, ticket: Ticket) -> bool:
        queue = self._queues.get(ticket.customer)
        if queue is None:
            return False
        total = sum(self._weights[name] for name in self._queues)
        share = self._queue_limit() * ticket.weight / total
        return len(queue) >= max(const.CUSTOMER_QUEUE_MIN, share)


def share_of_slots(slots: int, entries: int) -> int:
    """Return how many target slots one of several entries may use."""
    even = slots / max(entries, 1)
    share = math.ceil(even * const.SHARE_SLACK)
    return max(const.MIN_SHARE, min(share, slots))
