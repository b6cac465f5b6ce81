"""Tell a service that refuses everything from one that is merely full.

While one rank of a group is down, all its ranks refuse. A second try elsewhere
is then in vain, and so is one after a short pause; both use up the retry
budget that is needed once the group is back. Sans-I/O.
"""

import collections

from jasperweir.components.balance import const


class Outage:
    """What one entry concludes from the last answers of a service."""

    def __init__(self) -> None:
        self._refusals = 0
        self._needed = const.OUTAGE_REFUSALS
        self._refused_at = float("-inf")
        self._probed_at = float("-inf")
        # When the first request since the last refusal was sent.
        self._sent_at = float("-inf")

    def on_sent(self, now: float) -> None:
        """Note that a request goes to a target."""
        if self._sent_at <= self._refused_at:
            self._sent_at = now

    def seems_over(self, now: float) -> bool:
        """Tell whether targets have taken a request, as it was not refused.

        Only for targets that refuse at once: a group of which a rank is lost
        holds up what it gets before it refuses.
        """
        if self._sent_at <= self._refused_at:
            return False
        return now - self._sent_at >= const.START_TAKEN_SECONDS

    def on_refusal(
        self, now: float, needed: int = const.OUTAGE_REFUSALS
    ) -> bool:
        """Count a refusal; return whether an outage begins with it.

        Args:
            now: Monotonic seconds.
            needed: So many in a row make an outage.
        """
        self._needed = needed
        before = self.lasts(now)
        if now - self._refused_at > const.OUTAGE_SILENT_SECONDS:
            self._refusals = 0
        self._refusals += 1
        self._refused_at = now
        return not before and self.lasts(now)

    def on_answer(self, now: float) -> bool:
        """Note that a target took a request; return whether an outage ends."""
        ended = self.lasts(now)
        self._refusals = 0
        return ended

    def lasts(self, now: float) -> bool:
        """Tell whether everything of late was refused."""
        if now - self._refused_at > const.OUTAGE_SILENT_SECONDS:
            return False
        return self._refusals >= self._needed

    def take_probe(
        self, now: float, every_s: float = const.OUTAGE_PROBE_SECONDS
    ) -> bool:
        """Tell whether one waiting request may try the service now.

        Args:
            now: Monotonic seconds.
            every_s: Least time between two of them, seconds.
        """
        if now - self._probed_at < every_s:
            return False
        self._probed_at = now
        return True


class Outages:
    """Outages of all services, as one entry sees them."""

    def __init__(self) -> None:
        self._by_service: dict[str, Outage] = collections.defaultdict(Outage)

    def of(self, service: str) -> Outage:
        """Return what is known of a service."""
        return self._by_service[service]
