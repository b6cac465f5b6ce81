"""Targets of a service that accept requests now."""

from typing import NamedTuple

from jasperweir.components.backpressure import backpressure as backpressure_lib
from jasperweir.components.balance import const
from jasperweir.components.balance import outage as outage_lib
from jasperweir.components.directory import directory as directory_lib
from jasperweir.components.directory import records


class GroupProbe(NamedTuple):
    """A closed group that is probed.

    Attributes:
        unit: The group.
        targets: Its targets that may get a request.
        interval_s: Interval of this entry's probes of the group, seconds.
    """

    unit: str
    targets: list[records.Target]
    interval_s: float


class AvailableTargets:
    """Announced targets, filtered by backpressure and closed groups.

    Used for every choice of a target: first attempts, retries, queued requests
    and streams that move.

    Attributes:
        backpressure: Backpressure state of all targets.
    """

    def __init__(
        self,
        *,
        directory: directory_lib.Directory,
        outages: outage_lib.Outages,
        name: str,
    ) -> None:
        """Initialize without backpressure.

        Args:
            directory: Announced targets.
            outages: Services whose targets all refuse requests.
            name: Name of this entry.
        """
        self.backpressure = backpressure_lib.Backpressure(name=name)
        self._directory = directory
        self._outages = outages

    def list_available(self, service: str, now: float) -> list[records.Target]:
        """Return the targets of a service that accept requests."""
        announced = self._directory.list_ready(service, now)
        return self.filter_available(announced, service, now)

    def filter_available(
        self, targets: list[records.Target], service: str, now: float
    ) -> list[records.Target]:
        """Return the given targets of a service that accept requests.

        During an outage, refusals do not exclude a target. Otherwise targets
        that were not tried yet would appear full, and requests would queue for
        them in vain.
        """
        if self._outages.get(service).is_active(now):
            return self.backpressure.list_unblocked(targets, now)
        targets = self._drop_closed(targets, service, now)
        return self.backpressure.list_available(targets, now)

    def _drop_closed(
        self, targets: list[records.Target], service: str, now: float
    ) -> list[records.Target]:
        """Return the targets without those of closed groups."""
        closed = self._list_closed(service, now)
        if not closed:
            return targets
        groups = self._outages.groups
        return [
            target
            for target in targets
            if groups.find_unit(service, target.address) not in closed
        ]

    def _list_closed(self, service: str, now: float) -> list[str]:
        """Return the groups of a service that get no requests but probes."""
        return [
            unit
            for unit in self._outages.groups.list_units(service)
            if self._outages.is_out(service, unit, now)
        ]

    def take_probe(
        self, service: str, entry_count: int, now: float
    ) -> GroupProbe | None:
        """Return a closed group that the next request should probe.

        None if no probe is due, or if all groups are closed: then each new
        request is a probe, as in an outage of a service without groups.

        Args:
            service: Service of the request.
            entry_count: Number of all entries, which share the probes.
            now: Monotonic seconds.
        """
        closed = self._list_closed(service, now)
        if not closed or self._outages.get(service).is_active(now):
            return None
        interval_s = min(
            const.OUTAGE_PROBE_SECONDS * max(entry_count, 1),
            const.GROUP_PROBE_MAX_SECONDS,
        )
        announced = self._directory.list_ready(service, now)
        by_unit = self._outages.groups.split(service, announced)
        for unit in closed:
            targets = self.backpressure.list_unblocked(
                by_unit.get(unit, []), now
            )
            outage = self._outages.get_unit(service, unit)
            if targets and outage.take_probe(now, interval_s):
                return GroupProbe(unit, targets, interval_s)
        return None

    def seconds_until_available(
        self, service: str, tried: set[str], ahead: int, now: float
    ) -> float:
        """Return the seconds until an untried target accepts requests.

        Args:
            service: Service of the targets.
            tried: Ids of targets to exclude.
            ahead: Number of requests that wait for the same targets.
            now: Monotonic seconds.

        Returns:
            Infinity if no untried target is announced.
        """
        announced = self._directory.list_ready(service, now)
        untried = [t for t in announced if t.target_id not in tried]
        return self.backpressure.available_in_s(untried, now, ahead)

    def on_service_recovered(
        self, service: str, now: float, unit: str = ""
    ) -> None:
        """Clear the refusals of targets after an outage.

        Args:
            service: Service of the targets.
            now: Monotonic seconds.
            unit: Group whose outage has ended; the whole service if empty.
        """
        groups = self._outages.groups
        self.backpressure.clear_refusals(
            [
                target
                for target in self._directory.list_ready(service, now)
                if unit in ("", groups.find_unit(service, target.address))
            ]
        )

    def tidy(self, now: float) -> None:
        """Drop expired state and state of targets that are gone."""
        self.backpressure.prune(self._directory.get, now)
