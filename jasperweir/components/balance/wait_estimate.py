"""Estimate of the time that a caller has already waited; sans-I/O.

A caller states how long it will still wait. Where all callers of a route state
the same time at their first attempt, one that retries after a refusal states
less. Callers that choose their own time differ by seconds from each other, and
nothing can be concluded from what they state.
"""

import collections

from jasperweir.components.balance import const
from jasperweir.components.deployment import model


class WaitEstimator:
    """Longest time that callers of each route have stated, seconds."""

    def __init__(self, *, started_at: float = float("-inf")) -> None:
        """Initialize without any stated time.

        Args:
            started_at: When the process started, monotonic seconds. After a
                failure of all VMs most requests are retries; they don't count
                as evidence that callers choose their own time.
        """
        self._counted_from = started_at + const.START_SECONDS
        self._longest_by_route: dict[str, float] = {}
        # Whether the last requests stated the longest time. Routes with the
        # same time-out are counted together: an entry sees few requests of
        # each.
        self._near_longest: dict[float, collections.deque[bool]] = {}
        # Time-outs of routes whose callers choose their own time.
        self._varied: set[float] = set()

    def estimate_waited_s(
        self, route: model.Route, stated_s: float | None, now: float = 0.0
    ) -> float:
        """Return the estimated time that a caller has already waited.

        Args:
            route: Its route. Stated times are capped at the time-out of the
                route, so that a few very long ones don't make all other
                requests look like retries.
            stated_s: Time that the caller states it will still wait, seconds;
                None if it states none.
            now: Monotonic seconds.

        Returns:
            Seconds, 0 for a first attempt.
        """
        if stated_s is None:
            return 0.0
        longest_s = max(self._longest_by_route.get(route.name, 0.0), stated_s)
        self._longest_by_route[route.name] = longest_s
        used_s = min(longest_s, route.timeout_s) - min(
            stated_s, route.timeout_s
        )
        if now >= self._counted_from:
            self._add_sample(
                route, is_longest=used_s <= const.STATED_TOLERANCE_SECONDS
            )
        return used_s if used_s >= const.RETRY_MIN_SECONDS else 0.0

    def is_common(self, route: model.Route) -> bool:
        """Return whether callers of a route state the same time at first.

        Assumed until enough callers have stated theirs.
        """
        return route.timeout_s not in self._varied

    def _add_sample(self, route: model.Route, *, is_longest: bool) -> None:
        samples = self._near_longest.setdefault(
            route.timeout_s, collections.deque(maxlen=const.STATED_SAMPLES)
        )
        samples.append(is_longest)
        if len(samples) < const.STATED_SAMPLES_MIN:
            return
        share = sum(samples) / len(samples)
        if share < const.STATED_COMMON_SHARE:
            self._varied.add(route.timeout_s)
        elif share >= const.STATED_COMMON_AGAIN_SHARE:
            self._varied.discard(route.timeout_s)
