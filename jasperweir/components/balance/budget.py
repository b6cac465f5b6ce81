"""Retry budget that all entries keep together without asking each other."""

import collections

from jasperweir.components.balance import const


class BudgetBounds:
    """Bounds of a service's second sends.

    Attributes:
        ratio: Second sends allowed per first request in a window.
        burst: Second sends allowed besides.
        window_s: Length of the sliding window, seconds.
    """

    def __init__(self, *, ratio: float, burst: float, window_s: float):
        self.ratio = ratio
        self.burst = burst
        self.window_s = window_s


class RetryBudget:
    """One entry's share of the budget, by service.

    Each entry counts its own requests; the burst is divided by the number of
    entries, so the sum stays within the bounds under any partition.
    """

    def __init__(self, *, bounds: BudgetBounds) -> None:
        self._bounds = bounds
        self._first: dict[str, collections.deque[float]] = {}
        self._second: dict[str, collections.deque[float]] = {}

    def count_first(self, service: str, now: float) -> None:
        """Count a request of a caller."""
        self._recent(self._first, service, now).append(now)

    def take(self, service: str, entries: int, now: float) -> bool:
        """Take one second send from the budget if it holds one."""
        first = self._recent(self._first, service, now)
        second = self._recent(self._second, service, now)
        share = const.BUDGET_SHARE
        allowed = share * self._bounds.ratio * len(first)
        allowed += share * self._bounds.burst / max(entries, 1)
        if len(second) + 1 > allowed:
            return False
        second.append(now)
        return True

    def _recent(
        self,
        table: dict[str, collections.deque[float]],
        service: str,
        now: float,
    ) -> collections.deque[float]:
        times = table.setdefault(service, collections.deque())
        while times and times[0] <= now - self._bounds.window_s:
            times.popleft()
        return times
