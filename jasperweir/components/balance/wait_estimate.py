"""Estimate of the time that a caller has already waited; sans-I/O.

A caller states how long it will still wait. One that retries after a refusal
states less than at its first attempt.
"""

from jasperweir.components.balance import const
from jasperweir.components.deployment import model


class WaitEstimator:
    """Longest time that callers of each route have stated, seconds."""

    def __init__(self) -> None:
        self._longest_by_route: dict[str, float] = {}

    def estimate_waited_s(
        self, route: model.Route, stated_s: float | None
    ) -> float:
        """Return the estimated time that a caller has already waited.

        Args:
            route: Its route. Stated times are capped at the time-out of the
                route, so that a few very long ones don't make all other
                requests look like retries.
            stated_s: Time that the caller states it will still wait, seconds;
                None if it states none.

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
        return used_s if used_s >= const.RETRY_MIN_SECONDS else 0.0
