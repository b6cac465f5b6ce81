"""An entry's shares of rate limits that hold for all entries; sans-I/O.

Entries don't coordinate their requests. The limit of a target is divided among
a few entries, its owners, which are chosen by rendezvous hashing of the names
of the entries and the target. Each owner may be half a request ahead of its
even rate, so the number of owners is bounded by the burst that the target
accepts. Other entries send elsewhere. An entry that is not seen any more keeps
its share for a while, so that the sides of a network partition don't both use
it.
"""

from collections.abc import Iterable
import functools
import math

from jasperweir.components.backpressure import const
from jasperweir.helpers import hashing


class Shares:
    """Shares of one entry in the limits of targets."""

    def __init__(self, *, name: str) -> None:
        """Initialize with this entry as the only one.

        Args:
            name: Name of this entry.
        """
        self._name = name
        self._seen: dict[str, float] = {name: math.inf}
        self._owns = functools.lru_cache(const.TARGETS_MAX)(self._draw)

    def __len__(self) -> int:
        return len(self._seen)

    def on_entries(self, names: Iterable[str], now: float) -> None:
        """Update the set of entries from those that are seen now."""
        before = set(self._seen)
        self._seen.update((n, now) for n in names if n != self._name)
        oldest = now - const.ENTRIES_KEPT_SECONDS
        self._seen = {n: at for n, at in self._seen.items() if at >= oldest}
        if set(self._seen) != before:
            self._owns.cache_clear()

    def part(self, target_id: str, per_s: float) -> float:
        """Return the rate at which this entry may send to a target, per second.

        Args:
            target_id: The target.
            per_s: Its limit for all entries, requests per second.
        """
        count = min(owners(per_s), len(self._seen))
        if not self._owns(target_id, count):
            return 0.0
        return max(per_s, const.LIMIT_LEAST) / count

    def look_s(self, per_s: float) -> float:
        """Return the probe interval of an entry without a share, seconds.

        An entry learns of a changed limit only with an answer. The interval
        grows with the number of entries, so that all probes use a small share
        of the limit.

        Args:
            per_s: Limit of the target, requests per second.
        """
        others = max(len(self._seen) - owners(per_s), 0)
        flow = const.LOOK_SHARE * max(per_s, const.LIMIT_LEAST)
        return max(const.LIMIT_KEPT_SECONDS, others / flow)

    def _draw(self, target_id: str, count: int) -> bool:
        names = sorted(self._seen)
        return self._name in hashing.rendezvous(target_id, names, count)


def owners(per_s: float) -> int:
    """Return the largest number of entries that may share a limit."""
    spare = const.LIMIT_SPARE_SECONDS * per_s + const.LIMIT_SPARE
    return max(1, math.floor(spare / const.OWNER_BURST))
