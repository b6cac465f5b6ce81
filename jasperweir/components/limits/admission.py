"""Deadline-aware admission with weighted fair queueing per customer."""

import collections
import dataclasses
import math
import random
from typing import NamedTuple

from jasperweir import result_codes
from jasperweir.components.limits import const

Code = result_codes.Code


class AdmissionRequest(NamedTuple):
    """One request to be admitted.

    Attributes:
        rid: Request id.
        customer: Customer whose share the request uses.
        weight: Weight of the customer.
        priority: From 0, the most urgent, to 9.
        deadline: Monotonic time by which the answer must be complete.
        min_service_s: Minimum seconds needed for an answer.
    """

    rid: str
    customer: str
    weight: float
    priority: int
    deadline: float
    min_service_s: float


class Admit(NamedTuple):
    """Verdict: the request may proceed."""

    rid: str


class Queued(NamedTuple):
    """Verdict: the request waits; a later call admits or refuses it."""

    rid: str


class Refuse(NamedTuple):
    """Verdict: the request is refused.

    Attributes:
        rid: Request id.
        code: Result code.
        retry_after: Seconds after which the caller should retry.
    """

    rid: str
    code: Code
    retry_after: float


Verdict = Admit | Queued | Refuse


@dataclasses.dataclass(kw_only=True, slots=True)
class QueuedRequest:
    """A queued request with its place in virtual time."""

    request: AdmissionRequest
    finish_tag: float
    queued_at: float


class AdmissionQueue:
    """Admit requests to one service at one entry.

    Start-time fair queueing (Goyal, Vin and Cheng, 1996): each customer's
    requests are spaced in virtual time by the inverse of its weight, so a
    customer that floods its queue delays only itself. The limit of active
    requests shrinks on congestion and recovers over time.
    """

    def __init__(self, *, limit: int, rng: random.Random) -> None:
        self._ceiling = limit
        self._limit_factor = 1.0
        self._congested_at = float("-inf")
        self._recovered_at = float("-inf")
        self._rng = rng
        self._admitted_at: dict[str, float] = {}
        self._active_by_customer: collections.Counter[str] = (
            collections.Counter()
        )
        self._customer_of: dict[str, str] = {}
        self._queues: dict[str, collections.deque[QueuedRequest]] = {}
        self._last_finish_tags: dict[str, float] = {}
        self._weights: dict[str, float] = {}
        self._virtual_time = 0.0
        self._mean_service_s = const.DEFAULT_SERVICE_SECONDS

    @property
    def limit(self) -> int:
        """Number of requests that may be active at once."""
        return max(1, round(self._ceiling * self._limit_factor))

    def set_ceiling(self, limit: int) -> None:
        """Set the limit of active requests without congestion."""
        self._ceiling = limit

    def record_congestion(self, now: float) -> None:
        """Reduce the limit, as a target had no slot for an admitted request."""
        if now - self._congested_at < const.CONGESTION_INTERVAL_SECONDS:
            return
        self._congested_at = now
        self._recovered_at = now
        self._limit_factor = max(
            self._limit_factor * const.CONGESTION_FACTOR,
            const.MIN_CONGESTION_FACTOR,
        )

    @property
    def active(self) -> int:
        """Number of admitted requests that have not ended."""
        return len(self._admitted_at)

    @property
    def waiting(self) -> int:
        """Number of queued requests."""
        return sum(len(queue) for queue in self._queues.values())

    def submit(self, request: AdmissionRequest, now: float) -> Verdict:
        """Admit, queue or refuse a request."""
        if request.deadline <= now + request.min_service_s:
            return self._refuse(request, Code.DEADLINE_TOO_NEAR)
        if self.active < self.limit and not self._queues:
            return self._admit(request, now)
        if self.waiting >= self._queue_limit():
            if not self._is_first_of_customer(request):
                return self._refuse(request, Code.OVERLOADED)
        if self._is_customer_queue_full(request):
            return self._refuse(request, Code.CUSTOMER_LIMIT)
        if (
            now + self._expected_customer_wait(request) + request.min_service_s
            > request.deadline
        ):
            return self._refuse(request, Code.DEADLINE_TOO_NEAR)
        self._enqueue(request, now)
        return Queued(rid=request.rid)

    def release(self, rid: str, now: float) -> list[Verdict]:
        """End a request; return the verdicts on queued requests."""
        started = self._admitted_at.pop(rid, None)
        if started is not None:
            customer = self._customer_of.pop(rid)
            self._active_by_customer[customer] -= 1
            if not self._active_by_customer[customer]:
                del self._active_by_customer[customer]
            new_part = const.SERVICE_TIME_SMOOTHING * (now - started)
            old_weight = 1 - const.SERVICE_TIME_SMOOTHING
            self._mean_service_s = old_weight * self._mean_service_s + new_part
        return self.poll(now)

    def cancel(self, rid: str) -> None:
        """Remove a queued request whose caller has disconnected."""
        for customer, queue in list(self._queues.items()):
            for queued in list(queue):
                if queued.request.rid == rid:
                    queue.remove(queued)
            if not queue:
                del self._queues[customer]

    def poll(self, now: float) -> list[Verdict]:
        """Admit queued requests up to the limit and refuse late ones."""
        self._recover(now)
        out: list[Verdict] = self._refuse_late(now)
        while self._queues and self.active < self.limit:
            out.append(self._admit(self._pop_next().request, now))
        return out

    def _recover(self, now: float) -> None:
        if self._limit_factor >= 1.0:
            return
        gained = (now - self._recovered_at) * const.RECOVERY_PER_SECOND
        self._limit_factor = min(1.0, self._limit_factor + gained)
        self._recovered_at = now

    def _expected_customer_wait(self, request: AdmissionRequest) -> float:
        """Return the expected wait of a customer's request, in seconds.

        A customer below its share is served before those above theirs, so
        only its own queue counts.
        """
        busy = self._queues.keys() | self._active_by_customer.keys()
        total = sum(self._weights.get(name, 1.0) for name in busy)
        share = request.weight / max(total, request.weight) * self.limit
        if self._active_by_customer[request.customer] >= share:
            return self.expected_wait()
        own = len(self._queues.get(request.customer, ()))
        return (own + 1) * self._mean_service_s / self.limit

    def expected_wait(self) -> float:
        """Return the expected wait of a newly queued request, in seconds."""
        if self.limit <= 0:
            return math.inf
        return (self.waiting + 1) * self._mean_service_s / self.limit

    def retry_after(self) -> float:
        """Return the seconds after which to retry, with jitter."""
        base = min(
            max(self.expected_wait(), const.RETRY_AFTER_MIN_SECONDS),
            const.RETRY_AFTER_MAX_SECONDS,
        )
        return base * self._rng.uniform(0.75, 1.5)

    def _admit(self, request: AdmissionRequest, now: float) -> Admit:
        self._admitted_at[request.rid] = now
        self._customer_of[request.rid] = request.customer
        self._active_by_customer[request.customer] += 1
        return Admit(rid=request.rid)

    def _refuse(self, request: AdmissionRequest, code: Code) -> Refuse:
        return Refuse(
            rid=request.rid, code=code, retry_after=self.retry_after()
        )

    def _enqueue(self, request: AdmissionRequest, now: float) -> None:
        boost = 2.0 ** ((const.NEUTRAL_PRIORITY - request.priority) / 2)
        start = max(
            self._virtual_time,
            self._last_finish_tags.get(request.customer, 0.0),
        )
        finish = start + 1.0 / (request.weight * boost)
        self._last_finish_tags[request.customer] = finish
        self._weights[request.customer] = request.weight
        queue = self._queues.setdefault(request.customer, collections.deque())
        queue.append(
            QueuedRequest(request=request, finish_tag=finish, queued_at=now)
        )

    def _pop_next(self) -> QueuedRequest:
        """Remove and return the queued request that is next in fair order.

        A customer that holds less than its share of the active requests
        goes before one that holds more.
        """
        customer = min(self._queues, key=self._fairness_key)
        queue = self._queues[customer]
        queued = queue.popleft()
        if not queue:
            del self._queues[customer]
        self._virtual_time = max(self._virtual_time, queued.finish_tag)
        if len(self._last_finish_tags) > 4096:
            self._remove_idle_customers()
        return queued

    def _fairness_key(self, customer: str) -> tuple[float, float]:
        held = self._active_by_customer[customer] / self._weights[customer]
        return (held, self._queues[customer][0].finish_tag)

    def _remove_idle_customers(self) -> None:
        busy = self._queues.keys() | self._active_by_customer.keys()
        for customer in list(self._last_finish_tags):
            if customer not in busy:
                del self._last_finish_tags[customer]
                self._weights.pop(customer, None)

    def _refuse_late(self, now: float) -> list[Verdict]:
        out: list[Verdict] = []
        for customer, queue in list(self._queues.items()):
            for queued in list(queue):
                request = queued.request
                if now + request.min_service_s <= request.deadline:
                    continue
                queue.remove(queued)
                out.append(self._refuse(request, Code.DEADLINE_TOO_NEAR))
            if not queue:
                del self._queues[customer]
        return out

    def _queue_limit(self) -> int:
        return max(
            const.MIN_QUEUE_LIMIT, round(self.limit * const.QUEUE_LIMIT_FACTOR)
        )

    def _is_first_of_customer(self, request: AdmissionRequest) -> bool:
        """Return whether the customer has no queued request yet.

        Its first request is queued even when the queue is full, so that
        customers with many requests cannot lock out others.
        """
        return request.customer not in self._queues

    def _is_customer_queue_full(self, request: AdmissionRequest) -> bool:
        queue = self._queues.get(request.customer)
        if queue is None:
            return False
        total = sum(self._weights[name] for name in self._queues)
        share = self._queue_limit() * request.weight / total
        return len(queue) >= max(const.MIN_CUSTOMER_QUEUE_LIMIT, share)


def entry_slot_limit(slots: int, entries: int) -> int:
    """Return the number of target slots that each entry may use."""
    equal_share = slots / max(entries, 1)
    share = math.ceil(equal_share * const.SHARE_SLACK)
    return max(const.MIN_SHARE, min(share, slots))
