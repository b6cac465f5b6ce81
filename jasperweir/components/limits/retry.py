"""Retry budget and backoff."""

import random

from jasperweir.components.limits import const


class RetryBudget:
    """Token bucket that limits retries to a share of first attempts."""

    def __init__(
        self,
        *,
        ratio: float = const.RETRY_RATIO,
        burst: float = const.RETRY_BURST,
    ) -> None:
        self._ratio = ratio
        self._burst = burst
        self._tokens = burst

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
