"""When a refused caller should come back."""

import collections
import random

# Returning earlier than this would find the same requests still running.
LEAST_SECONDS = 0.25
# Callers follow up to a third of the time that they have left.
MOST_SECONDS = 2.2
# Each refusal of the last seconds stands for others who return as well.
SECONDS_PER_REFUSAL = 0.12
WINDOW_SECONDS = 2.0
# While a service refuses everybody, callers return after this long, spread so
# that they do not all meet at its end. The longest is what a caller with 8 s
# follows; together with its wait here it bridges some four seconds.
OUTAGE_SECONDS = (1.6, 2.6)
# After the end of a rest callers return within this time.
AFTER_REST_SECONDS = (0.05, 0.6)
# A process that has just started has its configuration within this time.
STARTING_SECONDS = 0.8


class ReturnAdvice:
    """Spread those who return over the time that an overload is likely to last.

    The more were refused of late, the later they are asked back, so that not
    all of them are refused again.
    """

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng
        self._refused: collections.deque[float] = collections.deque()

    def after_refusal(self, now: float, foreseen_s: float = 0.0) -> float:
        """Count a refusal; return the seconds after which to come back.

        Args:
            now: Monotonic seconds.
            foreseen_s: Seconds after which a place is foreseen.
        """
        while self._refused and self._refused[0] <= now - WINDOW_SECONDS:
            self._refused.popleft()
        wait = LEAST_SECONDS + SECONDS_PER_REFUSAL * len(self._refused)
        self._refused.append(now)
        wait = max(wait, foreseen_s)
        return min(wait, MOST_SECONDS) * self._rng.uniform(0.7, 1.3)

    def during_outage(self) -> float:
        """Return the seconds after which an outage may have ended."""
        return self._rng.uniform(*OUTAGE_SECONDS)

    def after_rest(self, rest_s: float) -> float:
        """Return the seconds after which targets want requests again.

        Args:
            rest_s: Seconds until the first of them does.
        """
        # Spread past its end: at first each target gets one request.
        return rest_s + self._rng.uniform(*AFTER_REST_SECONDS)

    def while_starting(self) -> float:
        """Return the seconds after which a starting process is ready."""
        return STARTING_SECONDS * self._rng.uniform(0.8, 1.4)
