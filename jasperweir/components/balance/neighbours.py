"""Cells of entries that exchange loads, and their targets; sans-I/O.

In a small system every entry exchanges loads with every other and uses all
targets. The number of messages grows with the square of the entries, and
traffic between data centres is expensive, so in a large system an entry
exchanges loads within its cell, a part of its data centre, and sends to the
targets of that cell. Callers spread evenly over all entries: a data centre with
a larger share of the entries than of the slots sends the surplus elsewhere.
"""

import collections
from typing import NamedTuple

from jasperweir.components.balance import const
from jasperweir.components.directory import records
from jasperweir.helpers import hashing

Targets = list[records.Target]


class Sorted(NamedTuple):
    """Targets of a service, grouped for one entry.

    Attributes:
        targets: All targets.
        by_place: Targets by data centre.
        own: Targets of the entry's cell, or of its data centre if the cell has
            too few.
        kept: Share of its requests that the entry sends to its own data centre;
            above 1 if that has spare slots.
        spare: Share of the slots less share of the entries, by data centre, of
            those where it is positive.
    """

    targets: Targets
    by_place: dict[str, Targets]
    own: Targets
    kept: float
    spare: dict[str, float]


class Neighbours:
    """The cell of one entry.

    Attributes:
        name: Name of the entry.
        peers: Other entries with which it exchanges loads.
    """

    def __init__(self, *, name: str, place: str) -> None:
        self.peers: tuple[records.Node, ...] = ()
        self.name = name
        self._place = place
        # Number of entries by data centre; empty in a small system.
        self._entries: collections.Counter[str] = collections.Counter()
        self._cells = 1
        self._cell = 0
        # Cached grouping of the last targets.
        self._sorted: Sorted | None = None

    def on_entries(self, entries: tuple[records.Node, ...]) -> None:
        """Update the cell from the list of all entries."""
        others = [node for node in entries if node.name != self.name]
        self._sorted = None
        self._entries.clear()
        if len(others) < const.MESH_ENTRIES:
            self.peers = tuple(others)
            return
        self._entries.update(node.place for node in others)
        self._entries[self._place] += 1
        self._cells = max(1, self._entries[self._place] // const.CELL_ENTRIES)
        self._cell = self._cell_of(self.name)
        self.peers = tuple(
            node
            for node in others
            if node.place == self._place
            and self._cell_of(node.name) == self._cell
        )

    def home(self, targets: Targets, draw: float) -> Targets:
        """Return the preferred targets of a request.

        Args:
            targets: All targets of its service.
            draw: Random number of at least 0 and below 1.

        Returns:
            Targets of the cell or of another data centre with spare slots; all
            targets in a small system or if these are too few.
        """
        if not self._entries:
            return targets
        known = self._sorted
        if known is None or known.targets is not targets:
            known = self._sort(targets)
            self._sorted = known
        place = self._pick_place(known, draw)
        near = known.own if place == self._place else known.by_place[place]
        # Among few targets a faulty one would get a large part of the requests.
        return near if len(near) >= const.HOME_TARGETS else targets

    def _sort(self, targets: Targets) -> Sorted:
        by_place: dict[str, Targets] = {self._place: []}
        for target in targets:
            by_place.setdefault(target.place, []).append(target)
        near = by_place[self._place]
        own = [t for t in near if self._cell_of(t.address) == self._cell]
        if len(own) < const.HOME_TARGETS:
            own = near
        slots = {
            place: sum(target.slots for target in found)
            for place, found in by_place.items()
        }
        total = max(sum(slots.values()), 1)
        entries = max(self._entries.total(), 1)
        spare = {
            place: count / total - self._entries[place] / entries
            for place, count in sorted(slots.items())
        }
        kept = slots[self._place] / total
        return Sorted(
            targets=targets,
            by_place=by_place,
            own=own,
            kept=kept / (self._entries[self._place] / entries),
            spare={place: share for place, share in spare.items() if share > 0},
        )

    def _pick_place(self, known: Sorted, draw: float) -> str:
        """Return the own data centre, or one with spare slots."""
        if draw < known.kept:
            return self._place
        # Rescale the draw, which is uniform above this bound, to 0 to 1.
        left = (draw - known.kept) / (1 - known.kept)
        left *= sum(known.spare.values())
        for place, share in known.spare.items():
            left -= share
            if left < 0:
                return place
        return self._place

    def _cell_of(self, name: str) -> int:
        if self._cells < 2:
            return 0
        return hashing.stable(name) % self._cells
