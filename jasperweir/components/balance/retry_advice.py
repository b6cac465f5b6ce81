"""Retry-After delays for refused callers."""

import collections
import random

# Shortest delay, seconds: earlier, the same requests would still be running.
MIN_SECONDS = 0.25
# Longest delay, seconds. Callers follow a delay of up to a third of the time
# that they have left.
MAX_SECONDS = 2.2
# Each refusal within the window adds this much to the delay, seconds: its
# caller retries as well.
SECONDS_PER_REFUSAL = 0.12
WINDOW_SECONDS = 2.0
# Range of delays during an outage, seconds; random, so that the retries spread.
# The longest is what a caller with 8 s left still follows.
OUTAGE_SECONDS = (1.6, 2.6)
# Range of delays after the end of a back-off, seconds.
AFTER_BACKOFF_SECONDS = (0.05, 0.6)
# Within this time a starting process has its configuration, seconds.
STARTING_SECONDS = 0.8


class RetryAdvice:
    """Computes Retry-After delays that spread retries over an overload.

    The delay grows with the number of recent refusals, so that the retries
    don't arrive at once and are not all refused again.
    """

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng
        self._refused: collections.deque[float] = collections.deque()

    def after_refusal(self, now: float, foreseen_s: float = 0.0) -> float:
        """Count a refusal and return the delay for its caller, seconds.

        Args:
            now: Monotonic seconds.
            foreseen_s: Forecast time until a slot is free, seconds.
        """
        while self._refused and self._refused[0] <= now - WINDOW_SECONDS:
            self._refused.popleft()
        wait = MIN_SECONDS + SECONDS_PER_REFUSAL * len(self._refused)
        self._refused.append(now)
        wait = max(wait, foreseen_s)
        return min(wait, MAX_SECONDS) * self._rng.uniform(0.7, 1.3)

    def during_outage(self) -> float:
        """Return the delay for a caller during an outage, seconds."""
        return self._rng.uniform(*OUTAGE_SECONDS)

    def after_backoff(self, backoff_s: float) -> float:
        """Return the delay for a caller whose targets all back off, seconds.

        Args:
            backoff_s: Time until the first of the back-offs ends, seconds.
        """
        # Random, because each target gets a single request at first.
        return backoff_s + self._rng.uniform(*AFTER_BACKOFF_SECONDS)

    def while_starting(self) -> float:
        """Return the delay until a starting process is ready, seconds."""
        return STARTING_SECONDS * self._rng.uniform(0.8, 1.4)
