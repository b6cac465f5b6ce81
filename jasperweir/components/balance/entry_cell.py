"""Cells of entries that exchange loads, and their targets; sans-I/O.

In a small system every entry exchanges loads with every other and uses all
targets. The number of messages grows with the square of the entries, and
traffic between data centres is expensive, so in a large system an entry
exchanges loads within its cell, a part of its data centre, and sends to the
targets of that cell. Callers spread evenly over all entries: a data centre with
a larger share of the entries than of the slots sends the surplus elsewhere.

A service with several groups doesn't use these shares: its requests go to other
data centres by the capacity of the groups there, see forward/group_capacity.py.
"""

import collections
from typing import NamedTuple

from jasperweir.components.balance import const
from jasperweir.components.directory import records
from jasperweir.helpers import hashing

Targets = list[records.Target]


class GroupedTargets(NamedTuple):
    """Targets of a service, grouped for one entry.

    Attributes:
        targets: All targets.
        by_data_centre: Targets by data centre.
        nearby: Targets of the entry's cell, or of its data centre if the cell
            has too few.
        local_share: Share of its requests that the entry sends to its own data
            centre; above 1 if that has spare slots.
        surplus: Share of the slots less share of the entries by data centre,
            where positive.
    """

    targets: Targets
    by_data_centre: dict[str, Targets]
    nearby: Targets
    local_share: float
    surplus: dict[str, float]


class EntryCell:
    """The cell of one entry.

    Attributes:
        name: Name of the entry.
        peers: Other entries with which it exchanges loads.
    """

    def __init__(self, *, name: str, place: str) -> None:
        self.peers: tuple[records.Node, ...] = ()
        self.name = name
        self._data_centre = place
        # Number of entries by data centre; empty in a small system.
        self._entry_counts: collections.Counter[str] = collections.Counter()
        self._cell_count = 1
        self._own_cell = 0
        # Cached grouping of the last targets.
        self._grouped: GroupedTargets | None = None

    def on_entries(self, entries: tuple[records.Node, ...]) -> None:
        """Update the cell from the list of all entries."""
        others = [node for node in entries if node.name != self.name]
        self._grouped = None
        self._entry_counts.clear()
        if len(others) < const.MESH_ENTRIES:
            self.peers = tuple(others)
            return
        self._entry_counts.update(node.place for node in others)
        self._entry_counts[self._data_centre] += 1
        self._cell_count = max(
            1, self._entry_counts[self._data_centre] // const.CELL_ENTRIES
        )
        self._own_cell = self._find_cell(self.name)
        self.peers = tuple(
            node
            for node in others
            if node.place == self._data_centre
            and self._find_cell(node.name) == self._own_cell
        )

    def preferred_targets(self, targets: Targets, draw: float) -> Targets:
        """Return the preferred targets of a request.

        Args:
            targets: All targets of its service.
            draw: Random number of at least 0 and below 1.

        Returns:
            Targets of the cell or of another data centre with spare slots; all
            targets in a small system or if these are too few.
        """
        if not self._entry_counts:
            return targets
        grouped = self._grouped
        if grouped is None or (
            grouped.targets is not targets and grouped.targets != targets
        ):
            grouped = self._group_targets(targets)
            self._grouped = grouped
        place = self._pick_data_centre(grouped, draw)
        near = (
            grouped.nearby
            if place == self._data_centre
            else grouped.by_data_centre[place]
        )
        # Among few targets a faulty one would get a large part of the requests.
        return near if len(near) >= const.CELL_TARGETS_MIN else targets

    @property
    def is_whole(self) -> bool:
        """Whether the entry exchanges loads with every other entry."""
        return not self._entry_counts

    def local_targets(self, targets: Targets) -> Targets:
        """Return the targets in the entry's data centre."""
        return [t for t in targets if t.place == self._data_centre]

    def near_targets(self, targets: Targets) -> Targets:
        """Return the targets in the entry's cell, or in its data centre.

        Args:
            targets: Targets of a group.

        Returns:
            None of them if the group has too few there.
        """
        local = self.local_targets(targets)
        near = [
            t for t in local if self._find_cell(t.address) == self._own_cell
        ]
        if len(near) < const.CELL_TARGETS_MIN:
            near = local
        return near if len(near) >= const.CELL_TARGETS_MIN else []

    def _group_targets(self, targets: Targets) -> GroupedTargets:
        by_data_centre: dict[str, Targets] = {self._data_centre: []}
        for target in targets:
            by_data_centre.setdefault(target.place, []).append(target)
        local = by_data_centre[self._data_centre]
        nearby = [
            t for t in local if self._find_cell(t.address) == self._own_cell
        ]
        if len(nearby) < const.CELL_TARGETS_MIN:
            nearby = local
        slots = {
            place: sum(target.slots for target in found)
            for place, found in by_data_centre.items()
        }
        total = max(sum(slots.values()), 1)
        entries = max(self._entry_counts.total(), 1)
        surplus = {
            place: count / total - self._entry_counts[place] / entries
            for place, count in sorted(slots.items())
        }
        local_slots = slots[self._data_centre] / total
        return GroupedTargets(
            targets=targets,
            by_data_centre=by_data_centre,
            nearby=nearby,
            local_share=local_slots
            / (self._entry_counts[self._data_centre] / entries),
            surplus={
                place: share for place, share in surplus.items() if share > 0
            },
        )

    def _pick_data_centre(self, grouped: GroupedTargets, draw: float) -> str:
        """Return the own data centre, or one with spare slots."""
        if draw < grouped.local_share:
            return self._data_centre
        # Rescale the draw, which is uniform above this bound, to 0 to 1.
        rest = (draw - grouped.local_share) / (1 - grouped.local_share)
        rest *= sum(grouped.surplus.values())
        for place, share in grouped.surplus.items():
            rest -= share
            if rest < 0:
                return place
        return self._data_centre

    def _find_cell(self, name: str) -> int:
        if self._cell_count < 2:
            return 0
        return hashing.hash64(name) % self._cell_count
