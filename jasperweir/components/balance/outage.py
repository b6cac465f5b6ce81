"""Detection of services that refuse every request; sans-I/O.

While one rank of a group is down, all ranks of the group refuse. Retries would
fail as well and use up the retry budget that is needed after the recovery.
"""

import collections

from jasperweir.components.balance import const


class Outage:
    """Outage state of one service, derived from its recent answers."""

    def __init__(self) -> None:
        self._refusals = 0
        self._min_refusals = const.OUTAGE_REFUSALS
        self._refused_at = float("-inf")
        self._probed_at = float("-inf")
        # Time of the first request sent since the last refusal.
        self._first_sent_at = float("-inf")

    def on_sent(self, now: float) -> None:
        """Record that a request is sent to a target."""
        if self._first_sent_at <= self._refused_at:
            self._first_sent_at = now

    def seems_over(self, now: float) -> bool:
        """Return whether targets seem to accept requests again.

        True once the first request since the last refusal has not been refused
        for START_TAKEN_SECONDS.

        Applies only to targets that refuse at once: a group that has lost a
        rank holds a request up before it refuses.
        """
        if self._first_sent_at <= self._refused_at:
            return False
        return now - self._first_sent_at >= const.START_TAKEN_SECONDS

    def on_refusal(
        self, now: float, min_refusals: int = const.OUTAGE_REFUSALS
    ) -> bool:
        """Count a refusal; return whether it begins an outage.

        Args:
            now: Monotonic seconds.
            min_refusals: Refusals in a row that make an outage.
        """
        self._min_refusals = min_refusals
        before = self.is_active(now)
        if now - self._refused_at > const.OUTAGE_SILENT_SECONDS:
            self._refusals = 0
        self._refusals += 1
        self._refused_at = now
        return not before and self.is_active(now)

    def on_answer(self, now: float) -> bool:
        """Record an accepted request; return whether an outage ends."""
        ended = self.is_active(now)
        self._refusals = 0
        return ended

    def is_active(self, now: float) -> bool:
        """Return whether all recent requests were refused."""
        if now - self._refused_at > const.OUTAGE_SILENT_SECONDS:
            return False
        return self._refusals >= self._min_refusals

    def take_probe(
        self, now: float, every_s: float = const.OUTAGE_PROBE_SECONDS
    ) -> bool:
        """Return whether a waiting request may be sent as a probe now.

        Args:
            now: Monotonic seconds.
            every_s: Shortest interval between two probes, seconds.
        """
        if now - self._probed_at < every_s:
            return False
        self._probed_at = now
        return True


class Outages:
    """Outage states of all services, as one entry sees them."""

    def __init__(self) -> None:
        self._by_service: dict[str, Outage] = collections.defaultdict(Outage)

    def get(self, service: str) -> Outage:
        """Return the outage state of a service."""
        return self._by_service[service]
