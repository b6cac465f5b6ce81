"""Which entries tell each other their open requests, and for which targets.

In a small system every entry tells every other and all targets are equal.
Messages grow with the square of the entries, and bytes between data centres
cost, so in a large one an entry deals with the entries of its own cell, a part
of its data centre, and sends to the targets there. Callers spread evenly over
all entries: where a data centre has more of the entries than of the places at
targets, its entries send the surplus to the others. Sans-I/O.
"""

import collections
from typing import NamedTuple

from jasperweir.components.balance import const
from jasperweir.components.directory import records
from jasperweir.helpers import hashing

Targets = list[records.Target]


class Sorted(NamedTuple):
    """Targets of a service as one entry sees them.

    Attributes:
        targets: All of them.
        by_place: By data centre.
        own: Those of the entry's own cell, or data centre if these are few.
        kept: Share of its requests that the entry sends to its data centre,
            above 1 if that has places to spare.
        spare: By data centre that has more of the places than of the entries,
            by how much.
    """

    targets: Targets
    by_place: dict[str, Targets]
    own: Targets
    kept: float
    spare: dict[str, float]


class Neighbours:
    """Cell of one entry.

    Attributes:
        name: Name of the entry.
        peers: The entries to tell, this one left out.
    """

    def __init__(self, *, name: str, place: str) -> None:
        self.peers: tuple[records.Node, ...] = ()
        self.name = name
        self._place = place
        # Entries by data centre; empty while all entries tell each other.
        self._entries: collections.Counter[str] = collections.Counter()
        self._cells = 1
        self._cell = 0
        # The last targets asked about, by data centre, and those of the cell.
        self._sorted: Sorted | None = None

    def on_entries(self, entries: tuple[records.Node, ...]) -> None:
        """Take in which entries there are."""
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
        """Return the targets to send a request to first.

        Args:
            targets: All targets of its service.
            draw: Random number of at least 0 and below 1.
        """
        if not self._entries:
            return targets
        known = self._sorted
        if known is None or known.targets is not targets:
            known = self._sort(targets)
            self._sorted = known
        place = self._pick_place(known, draw)
        near = known.own if place == self._place else known.by_place[place]
        # Of a few, one bad target would be a large part.
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
        """Return the own data centre, or one that has places to spare."""
        if draw < known.kept:
            return self._place
        # What is left of the draw is even again.
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
        return hashing.hash64(name) % self._cells
