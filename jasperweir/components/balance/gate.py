"""Who waits for a place at a service's targets, and who gets one; sans-I/O.

Who can still be answered within its target time goes first: each place given to
one that is late already would make another one late, and with a queue of a
second nobody would be in time. Those who are late get what is left, as load
that comes in waves leaves within a second or two.
"""

from typing import NamedTuple


class Waiting(NamedTuple):
    """A request that waits, in the order of arrival within its priority.

    Attributes:
        priority: 0 is served first.
        since: When its caller first asked, monotonic seconds.
        number: Own number of the request.
        until: When it is refused, monotonic seconds.
        not_before: When it may be sent at the earliest, monotonic seconds.
        timely_until: Until when a place lets it be answered within its target
            time, monotonic seconds; for ever if it resumes an answer.
    """

    priority: int
    since: float
    number: int
    until: float
    not_before: float
    timely_until: float = float("-inf")

    def is_late(self, now: float) -> bool:
        """Tell whether it leaves room for those who can still be in time."""
        return now > self.timely_until


class Gate:
    """Requests of one service that wait for a place at this entry."""

    def __init__(self) -> None:
        self._waiting: dict[int, Waiting] = {}

    def __len__(self) -> int:
        """Return how many requests wait."""
        return len(self._waiting)

    def numbers(self) -> list[int]:
        """Return the requests that wait."""
        return list(self._waiting)

    def timely(self, now: float) -> int:
        """Return how many of those who wait can still be in time."""
        return sum(not w.is_late(now) for w in self._waiting.values())

    def wait(self, waiting: Waiting) -> None:
        """Queue a request."""
        self._waiting[waiting.number] = waiting

    def withdraw(self, number: int) -> bool:
        """Take out a request whose caller has gone; tell if it waited."""
        return self._waiting.pop(number, None) is not None

    def admit(
        self, places: int, now: float, *, yielding: int | None = None
    ) -> list[int]:
        """Return the requests that get the free places, in their order.

        Args:
            places: Free places.
            now: Monotonic seconds.
            yielding: How many of them those may get who leave room for others;
                None for all.
        """
        if places < 1:
            return []
        due = [w for w in self._waiting.values() if w.not_before <= now]
        due.sort(key=lambda w: (w.priority, w.is_late(now), w.since, w.number))
        if yielding is not None:
            are_late = [w for w in due if w.is_late(now)]
            left_out = {w.number for w in are_late[max(yielding, 0) :]}
            due = [w for w in due if w.number not in left_out]
        chosen = [w.number for w in due[:places]]
        for number in chosen:
            del self._waiting[number]
        return chosen

    def expire(self, now: float) -> list[int]:
        """Return the requests that have waited long enough to be refused."""
        late = [w.number for w in self._waiting.values() if w.until <= now]
        for number in late:
            del self._waiting[number]
        return late
