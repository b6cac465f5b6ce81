"""Which members own which range of keys."""

import functools

from jasperweir.components.claims import const
from jasperweir.helpers import hashing

# Name and incarnation; and the same with the place.
Member = tuple[str, int]
Placed = tuple[str, int, str]


def partition_of(key: str) -> int:
    """Return the range that a key falls into."""
    return hashing.stable(key) % const.PARTITIONS


@functools.lru_cache(maxsize=8)
def layout(members: tuple[Placed, ...]) -> tuple[tuple[Member, ...], ...]:
    """Return the owners of every range, its primary first.

    Owners stand in different places as far as there are places, so that the
    loss of one place takes one owner of a range, not two.
    """
    labels: dict[str, Member] = {}
    names: dict[str, list[str]] = {}
    for name, inc, place in members:
        label = f"{name}/{inc}"
        labels[label] = (name, inc)
        names.setdefault(place, []).append(label)
    rings = {place: hashing.Ring(names=found) for place, found in names.items()}
    table = []
    for partition in range(const.PARTITIONS):
        chosen = _owners(f"claim/{partition}", rings)
        table.append(tuple(labels[label] for label in chosen))
    return tuple(table)


def _owners(key: str, rings: dict[str, hashing.Ring]) -> list[str]:
    """Return the owners of one range: one a place, then a second one."""
    order = hashing.rendezvous(key, rings, len(rings))
    found = [rings[place].after(key, const.OWNERS) for place in order]
    chosen = [
        names[depth]
        for depth in range(const.OWNERS)
        for names in found
        if depth < len(names)
    ]
    return chosen[: const.OWNERS]


def majority(count: int) -> int:
    """Return the smallest number that is more than half."""
    return count // 2 + 1
