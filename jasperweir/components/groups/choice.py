"""Choice of the group for a request; sans-I/O.

Load: one data centre gets more requests than its group can run in short passes
while groups of other data centres have capacity. Requests stay in their data
centre as long as its groups can take them, since traffic between data centres
is expensive, and go to the group with the most capacity otherwise.
"""

from collections.abc import Iterable
import random
from typing import NamedTuple


class UnitCapacity(NamedTuple):
    """Capacity of one group for this entry.

    Attributes:
        unit: The group.
        capacity: Streams that it can still take: the smaller of its free slots
            and what the limit on its passes allows; negative if overloaded.
        ranks: Number of its available ranks.
        is_local: Whether it has ranks in the entry's data centre.
        is_listed: Whether the list names the group. Targets that it doesn't
            name may belong to any group, perhaps one that is closed.
        has_allowance: Whether the entry may send it a request from another data
            centre now.
    """

    unit: str
    capacity: int
    ranks: int
    is_local: bool
    is_listed: bool = True
    has_allowance: bool = True


def choose_unit(
    units: Iterable[UnitCapacity], rng: random.Random
) -> UnitCapacity | None:
    """Return the group for the next request, None if none has capacity.

    Among equal groups the choice is random, so that entries don't all take the
    same one.
    """
    able = [
        unit
        for unit in units
        if unit.capacity >= 1 and (unit.is_local or unit.has_allowance)
    ]
    if len(able) < 2:
        return able[0] if able else None
    best = max(_rank_unit(unit) for unit in able)
    return rng.choice([unit for unit in able if _rank_unit(unit) == best])


def _rank_unit(unit: UnitCapacity) -> tuple[bool, bool, float]:
    return (
        unit.is_listed,
        unit.is_local,
        unit.capacity / max(unit.ranks, 1),
    )
