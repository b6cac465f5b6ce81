"""Where a request may go now, and how many places are free there."""

import math
import random
from typing import NamedTuple

from jasperweir.components.balance import balancer as balancer_lib
from jasperweir.components.balance import neighbours as neighbours_lib
from jasperweir.components.directory import records


class Reach(NamedTuple):
    """Targets that a request may go to now.

    Attributes:
        targets: The targets.
        places: Free places there.
        entries: How many entries, this one included, give those places away.
    """

    targets: list[records.Target]
    places: int
    entries: int

    @property
    def share(self) -> int:
        """Number of the places that this entry may give away at once.

        Entries that all see the same free places, as after an outage, would
        otherwise fill each of them several times over.
        """
        return math.ceil(max(self.places, 0) / max(self.entries, 1))


class Places:
    """Look for places near this entry first, then everywhere.

    Attributes:
        entries: How many entries there are in all, this one included.
    """

    def __init__(
        self,
        *,
        balancer: balancer_lib.Balancer,
        neighbours: neighbours_lib.Neighbours,
        rng: random.Random,
    ) -> None:
        self.entries = 1
        self._balancer = balancer
        self._neighbours = neighbours
        self._rng = rng

    def reach(self, targets: list[records.Target], now: float) -> Reach:
        """Return the near targets while they have places, else all."""
        near = self._neighbours.home(targets, self._rng.random())
        places = self._balancer.free_places(near, now)
        if len(near) == len(targets):
            return Reach(near, places, self.entries)
        if places >= 1:
            return Reach(near, places, 1 + len(self._neighbours.peers))
        places = self._balancer.free_places(targets, now)
        return Reach(targets, places, self.entries)
