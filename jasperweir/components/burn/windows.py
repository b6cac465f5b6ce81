"""Counts of responses by service, customer and verdict over windows."""

import collections
from typing import NamedTuple

from jasperweir.components.burn import const


class Cell(NamedTuple):
    """Counts by verdict of one service and customer in one window."""

    service: str
    customer: str
    window_s: float
    counts: dict[str, int]


class Windows:
    """Ring of buckets that counts responses by their verdict."""

    def __init__(self) -> None:
        self._buckets: collections.deque[
            tuple[int, collections.Counter[tuple[str, str, str]]]
        ] = collections.deque()

    def add(
        self, service: str, customer: str, verdict: str, now: float
    ) -> None:
        """Count one response, with `now` in seconds."""
        number = int(now // const.BUCKET_SECONDS)
        if not self._buckets or self._buckets[-1][0] != number:
            self._buckets.append((number, collections.Counter()))
            oldest = number - int(const.KEPT_SECONDS // const.BUCKET_SECONDS)
            while self._buckets[0][0] < oldest:
                self._buckets.popleft()
        self._buckets[-1][1][(service, customer, verdict)] += 1

    def list_cells(self, window: float, now: float) -> list[Cell]:
        """Return the counts of the last `window` seconds."""
        oldest = int((now - window) // const.BUCKET_SECONDS)
        totals: dict[tuple[str, str], collections.Counter[str]] = {}
        for number, counts in self._buckets:
            if number <= oldest:
                continue
            for (service, customer, verdict), count in counts.items():
                key = (service, customer)
                totals.setdefault(key, collections.Counter())[verdict] += count
        return [
            Cell(service, customer, window, dict(counts))
            for (service, customer), counts in sorted(totals.items())
        ]

    def worst_burn_rate(
        self, objectives: dict[str, float], now: float
    ) -> float:
        """Return the highest burn rate of a service in the shortest window."""
        by_service: dict[str, collections.Counter[str]] = {}
        for cell in self.list_cells(const.SHORTEST_WINDOW_SECONDS, now):
            counts = by_service.setdefault(cell.service, collections.Counter())
            counts.update(cell.counts)
        worst = 0.0
        for service, counts in by_service.items():
            objective = objectives.get(service)
            if objective is None or sum(counts.values()) < const.MIN_SAMPLES:
                continue
            worst = max(worst, burn_rate(counts, objective))
        return worst


def burn_rate(counts: dict[str, int], objective: float) -> float:
    """Return the burn rate; at 1.0 the error budget is spent exactly."""
    total = sum(counts.values())
    if not total:
        return 0.0
    bad = total - counts.get(const.GOOD, 0)
    return bad / total / (1 - objective)
