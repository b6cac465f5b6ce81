"""Turns of customers within a priority band; sans-I/O.

Load: one customer sends many more requests than its share while slots are
scarce. Start-time fair queueing (Goyal, Vin and Cheng, 1996): each customer's
requests are spaced in virtual time, and a customer with fewer running requests
goes first, so a customer that floods delays only itself.
"""

import collections
from collections.abc import Iterable
from collections.abc import Mapping
import heapq
from typing import NamedTuple

from jasperweir.components.scheduling import const


class FairRequest(NamedTuple):
    """A waiting request.

    Attributes:
        number: Number of the request.
        customer: Its customer, empty if it has none.
        rank: Requests of a lower rank go first, whoever their customers are.
        start_tag: Its place in virtual time.
        since: Time of its caller's first attempt, monotonic seconds.
    """

    number: int
    customer: str
    rank: tuple[int, ...]
    start_tag: float
    since: float


class VirtualTime:
    """Virtual time of the customers of one service at one entry."""

    def __init__(self) -> None:
        self._now = 0.0
        self._finish_tags: dict[str, float] = {}

    def tag(self, customer: str, busy: Iterable[str]) -> float:
        """Return the start tag of a customer's next request.

        Args:
            customer: The customer.
            busy: Customers with waiting requests; these are remembered.
        """
        if len(self._finish_tags) >= const.CUSTOMERS_MAX:
            kept = set(busy)
            self._finish_tags = {
                name: tag
                for name, tag in self._finish_tags.items()
                if name in kept
            }
        start = max(self._now, self._finish_tags.get(customer, 0.0))
        self._finish_tags[customer] = start + 1.0
        return start

    def on_served(self, start_tag: float) -> None:
        """Advance to the start of a request that is sent."""
        self._now = max(self._now, start_tag)

    def __len__(self) -> int:
        """Return the number of remembered customers."""
        return len(self._finish_tags)


def find_over_share(running: Mapping[str, int]) -> frozenset[str]:
    """Return the customers that use clearly more than an equal share.

    Their waiting requests go after those of the others, like late ones. With
    nobody else waiting they get every slot.

    Args:
        running: Running requests by customer, as far as they are known.
    """
    named = {name: count for name, count in running.items() if name}
    if len(named) < 2:
        return frozenset()
    share = sum(named.values()) / len(named)
    most = const.CUSTOMER_SHARE_SLACK * share + 1
    return frozenset(name for name, count in named.items() if count > most)


def sort_fairly(
    requests: Iterable[FairRequest], running: Mapping[str, int]
) -> list[int]:
    """Return the numbers of waiting requests in order of service.

    Args:
        requests: The requests.
        running: Running requests by customer, as far as they are known.
    """
    by_rank: dict[tuple[int, ...], list[FairRequest]] = collections.defaultdict(
        list
    )
    for request in requests:
        by_rank[request.rank].append(request)
    held = collections.Counter(running)
    out: list[int] = []
    for rank in sorted(by_rank):
        out += _take_turns(by_rank[rank], held)
    return out


def _take_turns(
    requests: list[FairRequest], held: collections.Counter[str]
) -> list[int]:
    """Return requests of one rank by turns, and count them as running."""
    queues: dict[str, list[FairRequest]] = collections.defaultdict(list)
    for request in sorted(requests, key=lambda r: (r.since, r.number)):
        queues[request.customer].append(request)
    if len(queues) == 1:
        ((customer, queue),) = queues.items()
        held[customer] += len(queue)
        return [request.number for request in queue]
    places = dict.fromkeys(queues, 0)
    heap = [
        (held[name], queue[0].start_tag, queue[0].since, name)
        for name, queue in queues.items()
    ]
    heapq.heapify(heap)
    out = []
    while heap:
        name = heapq.heappop(heap)[-1]
        queue = queues[name]
        out.append(queue[places[name]].number)
        places[name] += 1
        held[name] += 1
        if places[name] < len(queue):
            following = queue[places[name]]
            heapq.heappush(
                heap, (held[name], following.start_tag, following.since, name)
            )
    return out
