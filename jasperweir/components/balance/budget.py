"""Retry budgets of services; sans-I/O.

A budget holds for the sum over all entries: within any window, retries must not
exceed a ratio of the requests, plus a burst. Entries don't coordinate their
retries. Each starts with none and earns them in two ways:

* A part of the ratio for its own requests within the window. The sum over all
  entries follows without knowing how many there are.
* A share of the burst that accrues over time, so that an entry gains nothing by
  a restart. It accrues only while the leader of the log is heard from, which
  counts all entries that hear from it. There is one leader at a time, so the
  sides of a network partition don't both divide the burst.

When the whole system starts for the first time no retries were made before, and
each entry gets RETRIES_AT_FIRST_START for each service.
"""

import collections
import math
from typing import NamedTuple

from jasperweir.components.balance import const


class BudgetBounds:
    """Bounds of a service's retries.

    Attributes:
        ratio: Retries allowed per first attempt within the window.
        burst: Retries allowed in addition.
        window_s: Length of the sliding window, seconds; 0 allows no retries.
    """

    def __init__(self, *, ratio: float, burst: float, window_s: float):
        self.ratio = ratio
        self.burst = burst
        self.window_s = window_s


class RetryDecision(NamedTuple):
    """Whether a retry is within the budget, and the figures that decided it.

    Attributes:
        allowed: Whether the retry may be made.
        entries: Number of entries that share the burst, 0 while unknown.
        first_attempts: First attempts of this entry within the window.
        retries: Retries within the window that were charged to these.
        burst_left: Retries that this entry had left besides these.
    """

    allowed: bool
    entries: int
    first_attempts: int
    retries: int
    burst_left: float


class EntryCount(NamedTuple):
    """Number of entries that was known at a time.

    Attributes:
        at: Monotonic seconds.
        entries: Number of entries, 0 while the leader is not heard from.
    """

    at: float
    entries: int


class BurstShare:
    """An entry's share of the burst, which accrues over time.

    Attributes:
        entries: Largest number of entries within the window, 0 while unknown.
        accrued: Retries that have accrued since the start.
    """

    def __init__(self, *, bounds: BudgetBounds, now: float) -> None:
        self.entries = 0
        self.accrued = 0.0
        self._bounds = bounds
        self._counts: collections.deque[EntryCount] = collections.deque()
        self._updated_at = now
        self._accrues_from = math.inf

    def on_entries(self, entries: int, now: float) -> None:
        """Update the number of entries that share the burst.

        The largest number within the window counts: entries that are not
        listed any more may have made retries within it, or still drain.

        Args:
            entries: Number of entries, 0 while the leader is not heard from.
            now: Monotonic seconds.
        """
        self.update(now)
        self._counts.append(EntryCount(now, entries))
        if entries and math.isinf(self._accrues_from):
            self._accrues_from = now + const.RETRY_LIST_SETTLE_SECONDS
        oldest = now - self._bounds.window_s
        while len(self._counts) > 1 and self._counts[0].at <= oldest:
            self._counts.popleft()
        self.entries = max(count.entries for count in self._counts)

    def update(self, now: float) -> None:
        """Add what has accrued since the last call."""
        since = max(self._updated_at, self._accrues_from)
        elapsed_s = max(now - since, 0.0)
        self._updated_at = now
        if not self._counts or not self._counts[-1].entries:
            return
        if self._bounds.window_s > 0:
            per_window = self._divide(const.RETRY_BURST_ACCRUAL)
            self.accrued += per_window * elapsed_s / self._bounds.window_s

    @property
    def max_saved(self) -> float:
        """Most retries that may be saved up for one service."""
        return self._divide(const.RETRY_BURST_SAVED) if self.entries else 0.0

    def _divide(self, part: float) -> float:
        return part * self._bounds.burst / self.entries


class ServiceAccount:
    """First attempts and retries of one service at one entry.

    Attributes:
        first_attempts: Times of the first attempts within the window.
        retries: Times of the retries that were charged to these.
        saved: Retries that are left of the share of the burst.
        granted: Retries that are left of those granted at the start.
    """

    def __init__(self, *, granted: int) -> None:
        self.first_attempts: collections.deque[float] = collections.deque()
        self.retries: collections.deque[float] = collections.deque()
        self.saved = 0.0
        self.granted = granted
        self._accrued_before = 0.0

    def update(self, share: BurstShare, window_s: float, now: float) -> None:
        """Drop what is older than the window and save up what has accrued."""
        for times in (self.first_attempts, self.retries):
            while times and times[0] <= now - window_s:
                times.popleft()
        share.update(now)
        accrued = share.accrued - self._accrued_before
        self._accrued_before = share.accrued
        self.saved = min(self.saved + accrued, share.max_saved)

    @property
    def burst_left(self) -> float:
        """Retries that are left besides those for the first attempts."""
        return self.granted + self.saved

    def take_from_burst(self) -> bool:
        """Take a retry that is not charged to first attempts, if one is left.

        Returns:
            Whether one was left.
        """
        if self.granted:
            self.granted -= 1
            return True
        if self.saved >= 1:
            self.saved -= 1
            return True
        return False


class RetryBudget:
    """One entry's part of the retry budget of each service."""

    def __init__(
        self, *, bounds: BudgetBounds, now: float, is_first_start: bool = False
    ) -> None:
        """Initialize a budget without retries.

        Args:
            bounds: Bounds of each service's retries.
            now: Monotonic seconds.
            is_first_start: Whether the whole system starts for the first time.
        """
        self._bounds = bounds
        self._share = BurstShare(bounds=bounds, now=now)
        self._granted = const.RETRIES_AT_FIRST_START if is_first_start else 0
        self._accounts: dict[str, ServiceAccount] = {}

    def on_entries(self, entries: int, now: float) -> None:
        """Update the number of entries that share the burst.

        Args:
            entries: Number of entries, 0 while the leader is not heard from.
            now: Monotonic seconds.
        """
        self._share.on_entries(entries, now)

    def count_first(self, service: str, now: float) -> None:
        """Count the first attempt of a request."""
        self._account(service, now).first_attempts.append(now)

    def take(self, service: str, now: float) -> RetryDecision:
        """Take one retry from the budget if one is left."""
        account = self._account(service, now)
        attempts = len(account.first_attempts)
        retries = len(account.retries)
        limit = const.RETRY_RATIO_PART * self._bounds.ratio * attempts
        burst_left = account.burst_left
        is_within_ratio = retries + 1 <= limit
        if is_within_ratio:
            account.retries.append(now)
        return RetryDecision(
            allowed=is_within_ratio or account.take_from_burst(),
            entries=self._share.entries,
            first_attempts=attempts,
            retries=retries,
            burst_left=burst_left,
        )

    def _account(self, service: str, now: float) -> ServiceAccount:
        account = self._accounts.get(service)
        if account is None:
            account = ServiceAccount(granted=self._granted)
            self._accounts[service] = account
        account.update(self._share, self._bounds.window_s, now)
        return account
