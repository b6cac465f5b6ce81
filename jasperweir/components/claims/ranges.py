"""Which members own which range of keys."""

import functools

from jasperweir.components.claims import const
from jasperweir.helpers import hashing

Member = tuple[str, int]


def partition_of(key: str) -> int:
    """Return the range that a key falls into."""
    return hashing.stable(key) % const.PARTITIONS


@functools.lru_cache(maxsize=8)
def layout(members: tuple[Member, ...]) -> tuple[tuple[Member, ...], ...]:
    """Return the owners of every range, its primary first."""
    by_label = {f"{name}/{inc}": (name, inc) for name, inc in members}
    table = []
    for partition in range(const.PARTITIONS):
        labels = hashing.rendezvous(
            f"claim/{partition}", by_label, const.OWNERS
        )
        table.append(tuple(by_label[label] for label in labels))
    return tuple(table)


def majority(count: int) -> int:
    """Return the smallest number that is more than half."""
    return count // 2 + 1
