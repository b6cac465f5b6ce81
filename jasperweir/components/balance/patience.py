"""Tell a caller that has come back from one that asks for the first time.

A caller states how long it will wait. One that was refused and came back has
used up a part of that time. Sans-I/O.
"""

from jasperweir.components.balance import const
from jasperweir.components.deployment import model


class UsualPatience:
    """Longest time that callers of each route have stated."""

    def __init__(self) -> None:
        self._longest: dict[str, float] = {}

    def used(self, route: model.Route, stated_s: float | None) -> float:
        """Return the seconds that a caller has most likely waited already.

        Args:
            route: Its route. A patience beyond the route's own time-out says
                nothing, so that a few very patient callers do not make all
                others look as if they had come back.
            stated_s: Seconds that the caller states it will still wait, None
                if it states nothing.

        Returns:
            Seconds, 0 for a first try.
        """
        if stated_s is None:
            return 0.0
        longest_s = max(self._longest.get(route.name, 0.0), stated_s)
        self._longest[route.name] = longest_s
        used_s = min(longest_s, route.timeout_s) - min(
            stated_s, route.timeout_s
        )
        return used_s if used_s >= const.RETURN_LEAST_SECONDS else 0.0
