"""Capacity of the groups of a service, as one entry sees it.

Load: several groups of one service with different pass times, and more requests
in one data centre than its groups can take.
"""

from collections.abc import Callable
import math
import random
from typing import NamedTuple

from jasperweir.components.balance import balancer as balancer_lib
from jasperweir.components.balance import const
from jasperweir.components.balance import entry_cell as entry_cell_lib
from jasperweir.components.balance import late_admission as late_admission_lib
from jasperweir.components.balance import passes as passes_lib
from jasperweir.components.directory import records
from jasperweir.components.groups import choice as choice_lib
from jasperweir.components.groups import directory as group_directory
from jasperweir.components.groups import overflow as overflow_lib

Targets = list[records.Target]
FindLimit = Callable[[str], passes_lib.PassLimit | None]


class Unit(NamedTuple):
    """Available ranks of one group.

    Attributes:
        name: The group.
        ranks: All of them.
        near: Those in the entry's cell, empty if these are too few.
        is_local: Whether any is in the entry's data centre.
        is_all_local: Whether all are.
        is_listed: Whether the list names the group.
    """

    name: str
    ranks: Targets
    near: Targets
    is_local: bool
    is_all_local: bool
    is_listed: bool


class CachedUnits(NamedTuple):
    """Units, and what they were computed from.

    Attributes:
        targets: The targets.
        version: Version of the list of groups.
        peers: Entries of the cell.
        units: The units.
    """

    targets: Targets
    version: tuple[int, int]
    peers: tuple[records.Node, ...]
    units: list[Unit]

    def is_valid(
        self,
        targets: Targets,
        version: tuple[int, int],
        peers: tuple[records.Node, ...],
    ) -> bool:
        """Return whether the units of some targets are still the same.

        The lists of targets are compared by content: while any target is left
        out, each request has a list of its own. The peers are replaced whenever
        the cell changes, which they don't show in full, so that only their
        identity counts.
        """
        return (
            self.version == version
            and self.peers is peers
            and (self.targets is targets or self.targets == targets)
        )


class UnitLoad(NamedTuple):
    """Load of one group.

    Attributes:
        open: Open requests of all entries, estimated.
        capacity: Streams that it can still take; negative if overloaded.
        reports: Number of ranks with a recent report.
    """

    open: int
    capacity: int
    reports: int


class GroupCandidates(NamedTuple):
    """Ranks of the chosen group; see capacity.Candidates for the fields."""

    targets: Targets
    free_slots: int
    late_slots: int
    entry_count: int
    unit: str


class GroupCapacity:
    """Finds the group for a request, and the ranks that it may be sent to."""

    def __init__(
        self,
        *,
        balancer: balancer_lib.Balancer,
        cell: entry_cell_lib.EntryCell,
        groups: group_directory.GroupDirectory,
        rng: random.Random,
        count_beyond_rate: Callable[[Targets, float], int],
    ) -> None:
        self.groups = groups
        # Returns the free slots of cold targets that their rates don't allow.
        self._count_beyond_rate = count_beyond_rate
        self._rng = rng
        self._balancer = balancer
        self._cell = cell
        self._allowances = overflow_lib.OverflowAllowances()
        # Units of the last targets by service and purpose.
        self._cache: dict[tuple[str, str], CachedUnits] = {}

    def find(
        self,
        service: str,
        targets: Targets,
        find_limit: FindLimit,
        entry_count: int,
        now: float,
    ) -> GroupCandidates:
        """Return ranks of the group that gets the next request.

        Args:
            service: A service with several groups.
            targets: Its available targets.
            find_limit: Returns the limit on the streams of a group.
            entry_count: Number of all entries.
            now: Monotonic seconds.
        """
        units = self._list_units(service, targets, "available")
        own = {
            unit.name: (unit, self._find_load(unit, find_limit, now))
            for unit in units
            if unit.is_local
        }
        best = self._choose(own, find_limit, entry_count, now)
        if best and not _has_long_passes(find_limit(best), now):
            unit, load = own[best]
            return self._make_candidates(
                unit, load, find_limit, entry_count, now
            )
        # Another stream would make those of the own group late.
        others = {
            unit.name: (unit, self._find_load(unit, find_limit, now))
            for unit in units
            if not unit.is_local
        }
        best = self._choose(others, find_limit, entry_count, now) or best
        if best:
            unit, load = (own | others)[best]
            return self._make_candidates(
                unit, load, find_limit, entry_count, now
            )
        loads = [load for _, load in (*own.values(), *others.values())]
        free = min(0, max((load.capacity for load in loads), default=0))
        return GroupCandidates(targets, free, free, entry_count, "")

    def _choose(
        self,
        found: dict[str, tuple[Unit, UnitLoad]],
        find_limit: FindLimit,
        entry_count: int,
        now: float,
    ) -> str:
        """Return the best of some groups, empty if none has capacity."""
        chosen = choice_lib.choose_unit(
            (
                self._describe(unit, load, find_limit, entry_count, now)
                for unit, load in found.values()
            ),
            self._rng,
        )
        return chosen.unit if chosen is not None else ""

    def on_chosen(self, unit: str) -> None:
        """Count a request that is sent to a group."""
        self._allowances.take(unit)

    def keep_units(self, units: set[str]) -> None:
        """Drop the state of groups that are no longer listed."""
        self._allowances.keep_units(units)
        self._cache.clear()

    def streams_per_rank(
        self, service: str, unit: str, targets: Targets, now: float
    ) -> float:
        """Return the mean number of open requests of a group's ranks.

        Args:
            service: Service of the group.
            unit: The group.
            targets: All announced targets of the service.
            now: Monotonic seconds.
        """
        for found in self._list_units(service, targets, "announced"):
            if found.name == unit:
                return self._count_open(found, now) / len(found.ranks)
        return 0.0

    def _count_open(self, unit: Unit, now: float) -> float:
        if self._cell.is_whole:
            return self._balancer.loads(unit.ranks, now).open
        return self._balancer.estimate_group(unit.ranks, now).open

    def _list_units(
        self, service: str, targets: Targets, purpose: str
    ) -> list[Unit]:
        """Return the units of targets, cached for the next requests."""
        version, peers = self.groups.version, self._cell.peers
        cached = self._cache.get((service, purpose))
        if cached is not None and cached.is_valid(targets, version, peers):
            return cached.units
        listed = set(self.groups.list_units(service))
        units = []
        for name, ranks in self.groups.split(service, targets).items():
            local = self._cell.local_targets(ranks)
            units.append(
                Unit(
                    name=name,
                    ranks=ranks,
                    near=self._cell.near_targets(ranks),
                    is_local=bool(local),
                    is_all_local=len(local) == len(ranks),
                    is_listed=name in listed,
                )
            )
        self._cache[service, purpose] = CachedUnits(
            targets, version, peers, units
        )
        return units

    def _find_load(
        self, unit: Unit, find_limit: FindLimit, now: float
    ) -> UnitLoad:
        """Return the smaller of free slots and what short passes allow."""
        if self._cell.is_whole:
            loads = self._balancer.loads(unit.ranks, now)
            load = UnitLoad(loads.open, loads.free, len(unit.ranks))
        else:
            found = self._balancer.estimate_group(unit.ranks, now)
            load = UnitLoad(
                math.ceil(found.open), math.floor(found.free), found.reports
            )
        beyond = self._count_beyond_rate(unit.ranks, now)
        if beyond:
            load = load._replace(capacity=load.capacity - beyond)
        limit = find_limit(unit.name)
        if limit is None:
            return load
        max_streams = limit.streams(now) * len(unit.ranks)
        if not math.isfinite(max_streams):
            return load
        return load._replace(
            capacity=min(load.capacity, int(max_streams) - load.open)
        )

    def _describe(
        self,
        unit: Unit,
        load: UnitLoad,
        find_limit: FindLimit,
        entry_count: int,
        now: float,
    ) -> choice_lib.UnitCapacity:
        has_allowance = True
        if self._is_distant(unit):
            headroom = self._find_headroom(unit, load, find_limit, now)
            has_allowance = self._allowances.update(
                unit.name, headroom, entry_count, now
            )
        return choice_lib.UnitCapacity(
            unit=unit.name,
            capacity=load.capacity,
            ranks=len(unit.ranks),
            is_local=unit.is_local,
            is_listed=unit.is_listed,
            has_allowance=has_allowance,
        )

    def _is_distant(self, unit: Unit) -> bool:
        """Return whether most loads of a group are unknown to this entry."""
        return not unit.is_local and not self._cell.is_whole

    def _find_headroom(
        self, unit: Unit, load: UnitLoad, find_limit: FindLimit, now: float
    ) -> float | None:
        """Return how many streams of other data centres a group can take.

        None without a recent report of its load.
        """
        if _has_long_passes(find_limit(unit.name), now):
            return 0.0
        if not load.reports:
            return None
        slots = sum(target.slots for target in unit.ranks)
        return load.capacity - const.OVERFLOW_RESERVE_SHARE * slots

    def _make_candidates(
        self,
        unit: Unit,
        load: UnitLoad,
        find_limit: FindLimit,
        entry_count: int,
        now: float,
    ) -> GroupCandidates:
        max_open = late_admission_lib.max_open_requests(
            slots=sum(target.slots for target in unit.ranks),
            targets=len(unit.ranks),
            limit=find_limit(unit.name),
            now=now,
        )
        late_slots = min(load.capacity, max_open - load.open)
        targets, free_slots = unit.ranks, load.capacity
        cell_size = 1 + len(self._cell.peers)
        sharing = entry_count
        if self._is_distant(unit):
            # The allowances of all entries of the cell, which are similar.
            allowed = self._allowances.count(unit.name) * cell_size
            free_slots = min(free_slots, allowed)
            sharing = cell_size
        elif not self._cell.is_whole and unit.is_all_local:
            sharing = cell_size
        if unit.near and len(unit.near) < len(unit.ranks):
            # A request doesn't leave the cell while a rank there has a slot.
            near_free = self._balancer.loads(unit.near, now).free
            if near_free >= 1:
                targets, free_slots = unit.near, min(free_slots, near_free)
        return GroupCandidates(
            targets, free_slots, min(free_slots, late_slots), sharing, unit.name
        )


def _has_long_passes(limit: passes_lib.PassLimit | None, now: float) -> bool:
    """Return whether the passes of a group come near the longest pause.

    Another stream would soon make every stream of the group late.
    """
    if limit is None or limit.is_stale(now):
        return False
    return limit.pass_s >= const.PASS_UNLIMITED_SHARE * limit.bounds.pause_s
