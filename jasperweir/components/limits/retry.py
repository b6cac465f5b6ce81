"""Retry budget and backoff."""

import random

from jasperweir.components.limits import const


class RetryBudget:
    """Token bucket that limits retries to a share of first attempts.

    The bucket starts empty and fills once within RETRY_FILL_SECONDS, so that an
    entry that restarts again and again gains no retries.
    """

    def __init__(
        self,
        *,
        ratio: float = const.RETRY_RATIO,
        burst: float = const.RETRY_BURST,
        tokens: float = 0.0,
    ) -> None:
        """Initialize the bucket.

        Args:
            ratio: Retries earned by a first attempt.
            burst: Most retries that are saved up.
            tokens: Retries available at the start.
        """
        self._ratio = ratio
        self._burst = burst
        self._tokens = tokens
        self._unfilled = burst - tokens
        self._filled_at: float | None = None

    def tick(self, now: float) -> None:
        """Continue to fill the bucket after the start.

        Args:
            now: Monotonic seconds.
        """
        elapsed_s = 0.0 if self._filled_at is None else now - self._filled_at
        self._filled_at = now
        rate = self._burst / const.RETRY_FILL_SECONDS
        added = min(rate * elapsed_s, self._unfilled)
        self._unfilled -= added
        self._tokens = min(self._burst, self._tokens + added)

    def record_first_attempt(self) -> None:
        """Add a fraction of a retry for a first attempt."""
        self._tokens = min(self._burst, self._tokens + self._ratio)

    def try_spend(self) -> bool:
        """Use up a retry; return whether one was available."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


def backoff(attempt: int, rng: random.Random) -> float:
    """Return the seconds to wait before a retry, with full jitter."""
    ceiling = const.BACKOFF_FIRST_SECONDS * 2**attempt
    return rng.uniform(0, min(ceiling, const.BACKOFF_MAX_SECONDS))
