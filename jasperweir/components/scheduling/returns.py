"""Times at which refused callers may return; sans-I/O.

Load: callers that are refused in an overload retry once, and at a return time
that ignores the queue most of them are refused again. Each refused caller gets
the forecast time of a slot of its own, after those promised to callers that are
as urgent or more urgent.
"""

import random

from jasperweir.components.scheduling import const


class ReturnSchedule:
    """Return times promised to the refused callers of one service."""

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng
        # Last return time promised to each band, monotonic seconds.
        self._promised_at = [float("-inf")] * const.BANDS

    def plan(
        self,
        band: int,
        now: float,
        *,
        wait_s: float,
        slots_per_s: float,
        left_s: float,
    ) -> float:
        """Return the delay for a refused caller, seconds.

        Args:
            band: Its priority band.
            now: Monotonic seconds.
            wait_s: Forecast time until a request of its band gets a slot,
                seconds.
            slots_per_s: Rate at which slots come free for its band at this
                entry, slots a second.
            left_s: Time that the caller has left, seconds.
        """
        longest_s = min(
            const.RETURN_MAX_SECONDS, const.RETURN_LEFT_SHARE * left_s
        )
        longest_s = max(longest_s, const.RETURN_MIN_SECONDS)
        at = now + max(wait_s, const.RETURN_MIN_SECONDS)
        promised_at = max(self._promised_at[: band + 1])
        if promised_at >= at:
            at = promised_at + 1 / max(slots_per_s, const.RETURNS_PER_S_MIN)
        if at > now + longest_s:
            # No slot is forecast within the time for which callers wait. Such
            # returns are spread at random over the latter half of it.
            shortest_s = max(longest_s / 2, const.RETURN_MIN_SECONDS)
            return self._rng.uniform(shortest_s, longest_s)
        self._promised_at[band] = at
        return at - now
