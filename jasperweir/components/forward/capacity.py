"""Free slots at targets, nearby ones first."""

import math
import random
from typing import NamedTuple

from jasperweir.components.balance import balancer as balancer_lib
from jasperweir.components.balance import entry_cell as entry_cell_lib
from jasperweir.components.balance import late_admission as late_admission_lib
from jasperweir.components.balance import passes as passes_lib
from jasperweir.components.directory import records
from jasperweir.components.forward import group_capacity
from jasperweir.components.groups import directory as group_directory
from jasperweir.components.warmup import warmup as warmup_lib


class Candidates(NamedTuple):
    """Targets that a request may be sent to now.

    Attributes:
        targets: The targets.
        free_slots: Free slots at these targets; negative if overloaded.
        late_slots: Number of the free slots that late requests may use; the
            others stay free for timely ones.
        entry_count: Number of entries that share these slots, this one
            included.
        unit: Group of the targets; empty if the service has no groups or none
            of them has capacity.
    """

    targets: list[records.Target]
    free_slots: int
    late_slots: int
    entry_count: int
    unit: str = ""


class CapacityFinder:
    """Finds free slots at nearby targets first, then at all targets.

    Attributes:
        entry_count: Number of all entries, this one included.
        warmup: Limits of requests to cold targets, None for none.
        by_group: Capacity of services with several groups.
    """

    def __init__(
        self,
        *,
        balancer: balancer_lib.Balancer,
        cell: entry_cell_lib.EntryCell,
        rng: random.Random,
        groups: group_directory.GroupDirectory,
    ) -> None:
        self.entry_count = 1
        self.warmup: warmup_lib.WarmUp | None = None
        self.by_group = group_capacity.GroupCapacity(
            balancer=balancer,
            cell=cell,
            groups=groups,
            rng=rng,
            count_beyond_rate=self._count_beyond_rate,
        )
        self._balancer = balancer
        self._cell = cell
        self._rng = rng

    def find_candidates(
        self,
        targets: list[records.Target],
        limit: passes_lib.PassLimit | None,
        now: float,
    ) -> Candidates:
        """Return nearby targets while they have free slots, else all targets.

        Args:
            targets: All targets of a service.
            limit: Limit on the streams of the service's group, if there is one.
            now: Monotonic seconds.
        """
        nearby = self._cell.preferred_targets(targets, self._rng.random())
        if len(nearby) == len(targets):
            return self._count_capacity(nearby, limit, self.entry_count, now)
        candidates = self._count_capacity(
            nearby, limit, 1 + len(self._cell.peers), now
        )
        if candidates.free_slots >= 1:
            return candidates
        return self._count_capacity(targets, limit, self.entry_count, now)

    def find_in_groups(
        self,
        service: str,
        targets: list[records.Target],
        limits: passes_lib.PassLimits,
        now: float,
    ) -> Candidates:
        """Return ranks of the group of a service that gets the next request.

        Args:
            service: A service with several groups.
            targets: Its available targets.
            limits: Limits on the streams of its groups.
            now: Monotonic seconds.
        """
        found = self.by_group.find(
            service,
            targets,
            lambda unit: limits.get(service, unit),
            self.entry_count,
            now,
        )
        return Candidates(*found)

    def update_limit(
        self,
        targets: list[records.Target],
        limit: passes_lib.PassLimit,
        now: float,
    ) -> float:
        """Update a limit with the number of streams at nearby targets.

        Returns:
            Mean number of open requests of these targets.
        """
        nearby = self._cell.preferred_targets(targets, self._rng.random())
        streams = self.count_open(nearby, now) / max(len(nearby), 1)
        limit.update(streams, now)
        return streams

    def _count_capacity(
        self,
        targets: list[records.Target],
        limit: passes_lib.PassLimit | None,
        entry_count: int,
        now: float,
    ) -> Candidates:
        """Return some targets with their free slots, given who shares them."""
        loads = self._balancer.loads(targets, now)
        free_slots = loads.free - self._count_beyond_rate(targets, now)
        if limit is not None and free_slots >= 1:
            max_streams = limit.streams(now) * len(targets)
            if math.isfinite(max_streams):
                free_slots = min(free_slots, int(max_streams) - loads.open)
        max_open = late_admission_lib.max_open_requests(
            slots=sum(target.slots for target in targets),
            targets=len(targets),
            limit=limit,
            now=now,
        )
        return Candidates(
            targets,
            free_slots,
            min(free_slots, max_open - loads.open),
            entry_count,
        )

    def _count_beyond_rate(
        self, targets: list[records.Target], now: float
    ) -> int:
        """Return the free slots of cold targets that their rates don't allow.

        Args:
            targets: Targets of one service.
            now: Monotonic seconds.
        """
        if self.warmup is None:
            return 0
        limits = self.warmup.max_requests(targets, now)
        if not limits:
            return 0
        beyond = 0
        for target in targets:
            if target.target_id in limits:
                free = self._balancer.loads([target], now).free
                beyond += max(free - limits[target.target_id], 0)
        return beyond

    def count_open(self, targets: list[records.Target], now: float) -> int:
        """Return the open requests of all entries at some targets."""
        return self._balancer.loads(targets, now).open
