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
        self._refused_at = float("-inf")
        self._probed_at = float("-inf")

    def on_refusal(self, now: float) -> bool:
        """Count a refusal; return whether an outage begins with it."""
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
        return self._refusals >= const.OUTAGE_REFUSALS

    def take_probe(self, now: float) -> bool:
        """Tell whether one waiting request may try the service now."""
        if now - self._probed_at < const.OUTAGE_PROBE_SECONDS:
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
