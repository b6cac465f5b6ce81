"""Tell a caller that has come back from one that asks for the first time.

A caller states how long it will wait. One that was refused and came back has
used up a part of that time. Sans-I/O.
"""

from jasperweir.components.balance import const


class UsualPatience:
    """Longest time that callers of each route have stated."""

    def __init__(self) -> None:
        self._longest: dict[str, float] = {}

    def used(self, route: str, stated_s: float, timeout_s: float) -> float:
        """Return the seconds that a caller has most likely waited already.

        Args:
            route: Name of the route.
            stated_s: Seconds that the caller states it will still wait.
            timeout_s: The route's own limit. Beyond it a longer patience says
                nothing, so that a few very patient callers do not make all
                others look as if they had come back.

        Returns:
            Seconds, 0 for a first try.
        """
        longest_s = max(self._longest.get(route, 0.0), stated_s)
        self._longest[route] = longest_s
        used_s = min(longest_s, timeout_s) - min(stated_s, timeout_s)
        return used_s if used_s >= const.RETURN_LEAST_SECONDS else 0.0
