"""Hash partitions of keys and the members that own them."""

import functools

from jasperweir.components.claims import const
from jasperweir.helpers import hashing

# Name and incarnation, and the same with the data centre.
Member = tuple[str, int]
PlacedMember = tuple[str, int, str]


def partition_index(key: str) -> int:
    """Return the index of the partition that a key belongs to."""
    return hashing.hash64(key) % const.PARTITIONS


@functools.lru_cache(maxsize=8)
def assign_owners(
    members: tuple[PlacedMember, ...],
) -> tuple[tuple[Member, ...], ...]:
    """Return the owners of every partition, the primary first.

    The owners of a partition are spread over data centres, so that the loss
    of one data centre costs a partition a single owner where possible.
    """
    members_by_label: dict[str, Member] = {}
    labels_by_place: dict[str, list[str]] = {}
    for name, inc, place in members:
        label = f"{name}/{inc}"
        members_by_label[label] = (name, inc)
        labels_by_place.setdefault(place, []).append(label)
    rings = {
        place: hashing.HashRing(names=found)
        for place, found in labels_by_place.items()
    }
    owners = []
    for partition in range(const.PARTITIONS):
        chosen = _owners(f"claim/{partition}", rings)
        owners.append(tuple(members_by_label[label] for label in chosen))
    return tuple(owners)


def _owners(key: str, rings: dict[str, hashing.HashRing]) -> list[str]:
    """Return the owners of one partition, spread over data centres.

    Every data centre provides one owner before any provides a second.
    """
    order = hashing.rendezvous(key, rings, len(rings))
    found = [
        rings[place].list_successors(key, const.OWNERS_PER_PARTITION)
        for place in order
    ]
    chosen = [
        names[depth]
        for depth in range(const.OWNERS_PER_PARTITION)
        for names in found
        if depth < len(names)
    ]
    return chosen[: const.OWNERS_PER_PARTITION]


def majority(count: int) -> int:
    """Return the smallest number that is more than half of a count."""
    return count // 2 + 1
