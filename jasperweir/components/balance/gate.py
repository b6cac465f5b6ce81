"""Who waits for a place at a service's targets; sans-I/O."""

import bisect
from typing import NamedTuple


class Waiting(NamedTuple):
    """A request that waits, in the order in which places are given.

    Attributes:
        priority: 0 is served first.
        since: When it arrived, monotonic seconds.
        number: Own number of the request.
        until: When it is refused, monotonic seconds.
        not_before: When it may be sent at the earliest, monotonic seconds.
    """

    priority: int
    since: float
    number: int
    until: float
    not_before: float


class Gate:
    """Requests of one service that wait for a place at this entry."""

    def __init__(self) -> None:
        self._waiting: list[Waiting] = []

    def __len__(self) -> int:
        """Return how many requests wait."""
        return len(self._waiting)

    def wait(self, waiting: Waiting) -> None:
        """Queue a request."""
        bisect.insort(self._waiting, waiting)

    def withdraw(self, number: int) -> None:
        """Take out a request whose caller has gone."""
        self._waiting = [w for w in self._waiting if w.number != number]

    def admit(self, places: int, now: float) -> list[int]:
        """Return the requests that get the free places, most urgent first."""
        due = [w for w in self._waiting if w.not_before <= now]
        chosen = due[: max(places, 0)]
        if not chosen:
            return []
        taken = {w.number for w in chosen}
        self._waiting = [w for w in self._waiting if w.number not in taken]
        return [w.number for w in chosen]

    def expire(self, now: float) -> list[int]:
        """Return the requests that have waited long enough to be refused."""
        late = [w.number for w in self._waiting if w.until <= now]
        if late:
            self._waiting = [w for w in self._waiting if w.until > now]
        return late
