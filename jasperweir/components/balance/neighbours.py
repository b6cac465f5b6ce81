"""Which entries tell each other their open requests, and for which targets.

In a small system every entry tells every other and all targets are equal.
Messages grow with the square of the entries, and bytes between data centres
cost, so in a large one an entry deals with the entries of its own cell and
sends to the targets of that cell as long as they have free places. A cell is
a part of a data centre. Sans-I/O.
"""

from jasperweir.components.balance import const
from jasperweir.components.directory import records
from jasperweir.helpers import hashing


class Neighbours:
    """Cell of one entry.

    Attributes:
        peers: The entries to tell, this one left out.
    """

    def __init__(self, *, name: str, place: str) -> None:
        self.peers: tuple[records.Node, ...] = ()
        self._name = name
        self._place = place
        # Cells of this data centre, 0 while all entries tell each other.
        self._cells = 0
        self._cell = 0

    def on_entries(self, entries: tuple[records.Node, ...]) -> None:
        """Take in which entries there are."""
        others = [node for node in entries if node.name != self._name]
        if len(others) < const.MESH_ENTRIES:
            self._cells = 0
            self.peers = tuple(others)
            return
        near = [node for node in others if node.place == self._place]
        self._cells = max(1, (len(near) + 1) // const.MESH_ENTRIES)
        self._cell = self._cell_of(self._name)
        self.peers = tuple(
            node for node in near if self._cell_of(node.name) == self._cell
        )

    def home(self, targets: list[records.Target]) -> list[records.Target]:
        """Return the targets to send to first, out of a service's."""
        if not self._cells:
            return targets
        near = [target for target in targets if target.place == self._place]
        own = [
            target
            for target in near
            if self._cell_of(target.address) == self._cell
        ]
        for found in (own, near):
            if len(found) >= const.HOME_TARGETS:
                return found
        # So few that one bad target would be a large part of them.
        return targets

    def _cell_of(self, name: str) -> int:
        if self._cells < 2:
            return 0
        return hashing.stable(name) % self._cells
