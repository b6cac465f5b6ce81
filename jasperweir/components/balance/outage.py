"""Detection of services that refuse every request; sans-I/O.

While one rank of a group is down, all ranks of the group refuse. Retries would
fail as well and use up the retry budget that is needed after the recovery.

Load: one group of a service loses a rank while the others accept requests. Each
group has its own outage; the service is out if all of its groups are.
"""

from collections.abc import Callable
from collections.abc import Iterable

from jasperweir.components.balance import const
from jasperweir.components.groups import directory as group_directory


class Outage:
    """Outage state of one service or group, from its recent answers."""

    def __init__(
        self, *, silent_s: float = const.OUTAGE_SILENT_SECONDS
    ) -> None:
        """Initialize without an outage.

        Args:
            silent_s: Time after the last refusal for which an outage lasts,
                seconds.
        """
        self._silent_s = silent_s
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
        is_separate = now - self._refused_at > const.OUTAGE_SILENT_SECONDS
        if is_separate and not before:
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
        if now - self._refused_at > self._silent_s:
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


class ServiceOutage:
    """Outage of a service with several groups: all of them are out."""

    def __init__(self, *, outages: "Outages", service: str) -> None:
        self._outages = outages
        self._service = service
        self._probed = Outage()

    def is_active(self, now: float) -> bool:
        """Return whether all groups of the service that have targets are out.

        Targets that no list names count as a group.
        """
        units = self._outages.list_present_units(
            self._service, now
        ) or self._outages.groups.list_units(self._service)
        return all(
            self._outages.is_out(self._service, unit, now) for unit in units
        )

    def seems_over(self, now: float) -> bool:
        """Return whether targets of any group seem to accept requests."""
        return any(
            self._outages.get_unit(self._service, unit).seems_over(now)
            for unit in self._outages.groups.list_units(self._service)
        )

    def take_probe(
        self, now: float, every_s: float = const.OUTAGE_PROBE_SECONDS
    ) -> bool:
        """Return whether a waiting request may be sent as a probe now."""
        return self._probed.take_probe(now, every_s)


class Outages:
    """Outage states of all services and groups, as one entry sees them.

    Attributes:
        groups: Groups of the services.
        list_present_units: Returns the units of a service that have targets
            which serve requests, at a monotonic time; empty if unknown.
    """

    def __init__(self, *, groups: group_directory.GroupDirectory) -> None:
        self.groups = groups
        self.list_present_units: Callable[[str, float], Iterable[str]] = (
            lambda service, now: ()
        )
        self._by_unit: dict[str, Outage] = {}
        self._group_units: set[str] = set()
        self._by_service: dict[str, ServiceOutage] = {}

    def get(self, service: str) -> Outage | ServiceOutage:
        """Return the outage state of a service, which counts all its groups."""
        if not self.groups.list_units(service):
            return self.get_unit(service, service)
        found = self._by_service.get(service)
        if found is None:
            found = ServiceOutage(outages=self, service=service)
            self._by_service[service] = found
        return found

    def get_unit(self, service: str, unit: str) -> Outage:
        """Return the outage state of a group, or of a service that is a unit.

        The outage of a group lasts until a probe is accepted or the group is
        listed as open. Requests would otherwise be sent to it again after each
        pause in the refusals, though other groups accept them.
        """
        found = self._by_unit.get(unit)
        if found is None:
            silent_s = const.OUTAGE_SILENT_SECONDS
            if unit != service:
                silent_s = const.GROUP_SILENT_SECONDS
                self._group_units.add(unit)
            found = Outage(silent_s=silent_s)
            self._by_unit[unit] = found
        return found

    def is_out(self, service: str, unit: str, now: float) -> bool:
        """Return whether a group is closed by the list or refuses requests."""
        if not self.groups.is_open(unit):
            return True
        return self.get_unit(service, unit).is_active(now)

    def reset(self, unit: str) -> None:
        """Forget the refusals of a group that is listed as open anew."""
        self._by_unit.pop(unit, None)

    def keep_units(self, units: set[str]) -> None:
        """Drop the states of groups that are no longer listed.

        Args:
            units: Groups that are listed.
        """
        for unit in self._group_units - units:
            self._by_unit.pop(unit, None)
        self._group_units &= units
