"""Retry budget of a service, divided among the entries."""

import collections
from typing import NamedTuple

from jasperweir.components.balance import const


class BudgetBounds:
    """Bounds of a service's retries.

    Attributes:
        ratio: Retries allowed per first attempt within the window.
        burst: Retries allowed in addition.
        window_s: Length of the sliding window, seconds.
    """

    def __init__(self, *, ratio: float, burst: float, window_s: float):
        self.ratio = ratio
        self.burst = burst
        self.window_s = window_s


class RetryDecision(NamedTuple):
    """Whether a retry is within the budget, and the figures that decided it.

    Attributes:
        allowed: Whether the retry may be made.
        entries: Number of entries that share the burst.
        first_attempts: First attempts of this entry within the window.
        retries: Retries of this entry within the window, without this one.
        limit: Retries that this entry may make within the window.
    """

    allowed: bool
    entries: int
    first_attempts: int
    retries: int
    limit: float


class RetryBudget:
    """One entry's share of the retry budget of each service.

    Each entry counts its own requests, and the burst is divided by the number
    of entries, so that the sum stays within the bounds without coordination.
    """

    def __init__(self, *, bounds: BudgetBounds) -> None:
        self._bounds = bounds
        self._attempts: dict[str, collections.deque[float]] = {}
        self._retries: dict[str, collections.deque[float]] = {}

    def count_first(self, service: str, now: float) -> None:
        """Count the first attempt of a request."""
        self._recent(self._attempts, service, now).append(now)

    def take(self, service: str, entries: int, now: float) -> RetryDecision:
        """Take one retry from the budget if one is left."""
        attempts = self._recent(self._attempts, service, now)
        retries = self._recent(self._retries, service, now)
        share = const.RETRY_BUDGET_SHARE
        limit = share * self._bounds.ratio * len(attempts)
        limit += share * self._bounds.burst / max(entries, 1)
        decision = RetryDecision(
            allowed=len(retries) + 1 <= limit,
            entries=entries,
            first_attempts=len(attempts),
            retries=len(retries),
            limit=limit,
        )
        if decision.allowed:
            retries.append(now)
        return decision

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
