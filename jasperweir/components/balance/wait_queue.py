"""Queue of requests that wait for a free slot of a service; sans-I/O.

Requests that can still be answered within their target time are served first:
serving a late request first would make the next one late as well, and with a
queue of one second every request would be late. Late requests get the slots
that are left.
"""

from typing import NamedTuple


class QueuedRequest(NamedTuple):
    """A waiting request, served in order of arrival within its priority.

    Attributes:
        priority: Priority; 0 is served first.
        since: Time of its caller's first attempt, monotonic seconds.
        number: Number of the request at this entry.
        until: Time at which it is refused, monotonic seconds.
        not_before: Earliest time at which it may be sent, monotonic seconds.
        timely_until: Latest time to send it that still meets its target time,
            monotonic seconds; infinite if it resumes an answer.
    """

    priority: int
    since: float
    number: int
    until: float
    not_before: float
    timely_until: float = float("-inf")

    def is_late(self, now: float) -> bool:
        """Return whether it can no longer meet its target time."""
        return now > self.timely_until


class WaitQueue:
    """Requests of one service that wait for a free slot at this entry."""

    def __init__(self) -> None:
        self._waiting: dict[int, QueuedRequest] = {}

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._waiting)

    def numbers(self) -> list[int]:
        """Return the numbers of the waiting requests."""
        return list(self._waiting)

    def count_timely(self, now: float) -> int:
        """Return how many waiting requests can still meet their target time."""
        return sum(not w.is_late(now) for w in self._waiting.values())

    def enqueue(self, waiting: QueuedRequest) -> None:
        """Queue a request."""
        self._waiting[waiting.number] = waiting

    def remove(self, number: int) -> bool:
        """Remove a request; return whether it was waiting."""
        return self._waiting.pop(number, None) is not None

    def admit(
        self, free_slots: int, now: float, *, yielding: int | None = None
    ) -> list[int]:
        """Remove and return the requests to send now, in order.

        Args:
            free_slots: Number of free slots.
            now: Monotonic seconds.
            yielding: Most slots that late requests may get; None for all.
        """
        if free_slots < 1:
            return []
        due = [w for w in self._waiting.values() if w.not_before <= now]
        due.sort(key=lambda w: (w.priority, w.is_late(now), w.since, w.number))
        if yielding is not None:
            are_late = [w for w in due if w.is_late(now)]
            excluded = {w.number for w in are_late[max(yielding, 0) :]}
            due = [w for w in due if w.number not in excluded]
        chosen = [w.number for w in due[:free_slots]]
        for number in chosen:
            del self._waiting[number]
        return chosen

    def expire(self, now: float) -> list[int]:
        """Remove and return the requests whose waiting time has run out."""
        late = [w.number for w in self._waiting.values() if w.until <= now]
        for number in late:
            del self._waiting[number]
        return late
