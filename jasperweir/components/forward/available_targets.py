"""Targets of a service that accept requests now.

Load: while data centres are evacuated, the targets of the others serve all
requests; capacity and forecasts count only these.
"""

from collections.abc import Callable
import math
from typing import NamedTuple

from jasperweir.components.backpressure import backpressure as backpressure_lib
from jasperweir.components.balance import const
from jasperweir.components.balance import outage as outage_lib
from jasperweir.components.directory import directory as directory_lib
from jasperweir.components.directory import records
from jasperweir.components.warmup import rate as rate_lib
from jasperweir.components.warmup import warmup as warmup_lib


class ServingTargets(NamedTuple):
    """Targets of a service without those in evacuated data centres.

    Attributes:
        announced: The list that they were selected from.
        targets: The targets.
    """

    announced: list[records.Target]
    targets: list[records.Target]


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


class PresentUnits(NamedTuple):
    """Units of the ready targets of a service.

    Attributes:
        ready: The list of targets that they were computed from.
        version: Version of the groups that they were computed from.
        units: The units.
    """

    ready: list[records.Target]
    version: tuple[int, int]
    units: frozenset[str]


class AvailableTargets:
    """Announced targets less the evacuated, blocked and closed ones.

    Used for every choice of a target: first attempts, retries, queued requests
    and streams that move.

    Attributes:
        backpressure: Backpressure state of all targets.
        evacuated: Evacuated data centres.
        on_evacuation_ended: Called with a data centre and monotonic seconds
            when its evacuation ends.
        warmup: Limits of requests to cold targets.
    """

    def __init__(
        self,
        *,
        directory: directory_lib.Directory,
        outages: outage_lib.Outages,
        name: str,
        cold_bounds: rate_lib.Bounds = rate_lib.DEFAULT_BOUNDS,
    ) -> None:
        """Initialize without backpressure and limited services.

        Args:
            directory: Announced targets.
            outages: Services whose targets all refuse requests.
            name: Name of this entry.
            cold_bounds: Bounds on requests to cold targets.
        """
        self.warmup = warmup_lib.WarmUp(
            directory=directory, name=name, bounds=cold_bounds
        )
        self.backpressure = backpressure_lib.Backpressure(name=name)
        self.evacuated: frozenset[str] = frozenset()
        self.on_evacuation_ended: Callable[[str, float], None] = (
            lambda place, now: None
        )
        # Filtered lists by service, while any data centre is evacuated.
        self._serving: dict[str, ServingTargets] = {}
        self._present: dict[str, PresentUnits] = {}
        self._directory = directory
        self._outages = outages
        outages.list_present_units = self._list_present_units

    def set_evacuated(self, places: frozenset[str], now: float) -> None:
        """Replace the set of evacuated data centres."""
        ended = self.evacuated - places
        self.evacuated = places
        self._serving.clear()
        for place in sorted(ended):
            self.on_evacuation_ended(place, now)

    def list_ready(self, service: str, now: float) -> list[records.Target]:
        """Return the announced targets outside evacuated data centres.

        The list stays the same object while nothing changes, since callers
        cache what they derive from it.
        """
        announced = self._directory.list_ready(service, now)
        if not self.evacuated:
            return announced
        cached = self._serving.get(service)
        if cached is None or cached.announced is not announced:
            cached = ServingTargets(
                announced, self._exclude_evacuated(announced)
            )
            self._serving[service] = cached
        return cached.targets

    def are_all_evacuated(self, service: str, now: float) -> bool:
        """Return whether a service has targets, all of them evacuated."""
        if not self.evacuated or not self._directory.list_ready(service, now):
            return False
        return not self.list_ready(service, now)

    def is_closed(self, target: records.Target, now: float) -> bool:
        """Return whether a chosen target must not get its request any more."""
        if target.place in self.evacuated:
            return True
        return self.backpressure.is_blocked(target, now)

    def _exclude_evacuated(
        self, targets: list[records.Target]
    ) -> list[records.Target]:
        kept = [t for t in targets if t.place not in self.evacuated]
        return targets if len(kept) == len(targets) else kept

    def list_available(self, service: str, now: float) -> list[records.Target]:
        """Return the targets of a service that accept requests."""
        ready = self.list_ready(service, now)
        return self._filter_open(ready, service, now)

    def filter_available(
        self, targets: list[records.Target], service: str, now: float
    ) -> list[records.Target]:
        """Return the given targets of a service that accept requests."""
        if self.evacuated:
            targets = self._exclude_evacuated(targets)
        return self._filter_open(targets, service, now)

    def _filter_open(
        self, targets: list[records.Target], service: str, now: float
    ) -> list[records.Target]:
        """Return the targets that backpressure leaves.

        During an outage, refusals do not exclude a target. Otherwise targets
        that were not tried yet would appear full, and requests would queue for
        them in vain.
        """
        targets = self.warmup.list_available(targets, service, now)
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

    def _list_present_units(self, service: str, now: float) -> frozenset[str]:
        """Return the units of the targets outside evacuated data centres."""
        ready = self.list_ready(service, now)
        groups = self._outages.groups
        cached = self._present.get(service)
        if (
            cached is None
            or cached.ready is not ready
            or cached.version != groups.version
        ):
            units = frozenset(
                groups.find_unit(service, t.address) for t in ready
            )
            cached = PresentUnits(ready, groups.version, units)
            self._present[service] = cached
        return cached.units

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
        shared_s = const.OUTAGE_PROBE_SECONDS * max(entry_count, 1)
        ready = self.warmup.list_available(
            self.list_ready(service, now), service, now
        )
        by_unit = self._outages.groups.split(service, ready)
        for unit in closed:
            targets = self.backpressure.list_unblocked(
                by_unit.get(unit, []), now
            )
            outage = self._outages.get_unit(service, unit)
            interval_s = min(
                shared_s,
                const.GROUP_OPEN_PROBE_MAX_SECONDS
                if self._outages.groups.is_open(unit)
                else const.GROUP_PROBE_MAX_SECONDS,
            )
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
        announced = self.list_ready(service, now)
        untried = [t for t in announced if t.target_id not in tried]
        if not self.warmup.has_cold(service, now):
            return self.backpressure.available_in_s(untried, now, ahead)
        waits = [(self.warmup.wait_s(t, now), t) for t in untried]
        ready = [t for wait_s, t in waits if wait_s <= 0]
        return min(
            self.backpressure.available_in_s(ready, now, ahead),
            min(
                max(wait_s, self.backpressure.available_in_s([t], now))
                for wait_s, t in waits
            )
            if waits
            else math.inf,
        )

    def on_chosen(self, target: records.Target, now: float) -> bool:
        """Count a request to a target against its limits.

        Returns:
            Whether it counts against the rate of a cold target.
        """
        self.backpressure.on_chosen(target, now)
        return self.warmup.on_chosen(target, now)

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
