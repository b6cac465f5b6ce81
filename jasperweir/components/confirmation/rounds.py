"""Numbered rounds of requests, to date the answers to them."""

import collections

from jasperweir.components.confirmation import const
from jasperweir.components.confirmation import tracker
from jasperweir.components.directory import records


class Rounds:
    """Send times of requests by the number of their round.

    An answer proves the state at the time of its request, however long it was
    under way or waited in a socket of a suspended process. The numbers start at
    random, so that answers to another process at the same address match none.
    """

    def __init__(self, *, first: int) -> None:
        """Create the rounds of a process.

        Args:
            first: Number of the first round, random and above 0.
        """
        self._next = first
        self._sent_at: collections.OrderedDict[int, float] = (
            collections.OrderedDict()
        )
        self._last_sent_at = float("-inf")

    def start(self, now: float) -> int:
        """Return the number of a round that starts now."""
        if now == self._last_sent_at:
            return self._next - 1
        number = self._next
        self._next += 1
        self._last_sent_at = now
        self._sent_at[number] = now
        if len(self._sent_at) > const.MAX_ROUNDS:
            self._sent_at.popitem(last=False)
        return number

    def void(self) -> None:
        """Forget all rounds, so that no answer to them is used."""
        self._sent_at.clear()
        self._last_sent_at = float("-inf")

    def find_start(self, number: int) -> float | None:
        """Return when a round started, monotonic seconds; None if unknown."""
        return self._sent_at.get(number)

    def date_confirmation(
        self, src: str, msg: records.ControlHeartbeat
    ) -> tracker.Confirmation | None:
        """Return the confirmation in an answer, dated by its request.

        Returns:
            None if there is none, or if the request is unknown.
        """
        sent_at = self.find_start(msg.echo)
        if sent_at is None or msg.confirmed_age_s < 0:
            return None
        return tracker.Confirmation(
            version=msg.confirmed_version,
            as_of=sent_at - msg.confirmed_age_s,
            source=src,
            evacuations=msg.confirmed_evacuations,
        )
