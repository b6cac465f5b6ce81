"""An entry's part of a limit that holds for all entries together; sans-I/O.

Entries don't ask each other before a request. A target's limit is divided among
a few of them, its owners, which follow from the names of the entries and of the
target. Each owner may be half a request ahead of its even flow, so there are no
more of them than the target bears at once. Who is no owner sends elsewhere.
An entry that is not heard of keeps its part for a while: entries that lose
sight of each other do not take each other's parts.
"""

from collections.abc import Iterable
import functools
import math

from jasperweir.components.backpressure import const
from jasperweir.helpers import hashing


class Shares:
    """Parts of one entry in the limits of targets."""

    def __init__(self, *, name: str) -> None:
        """Begin as the only entry.

        Args:
            name: Name of this entry.
        """
        self._name = name
        self._seen: dict[str, float] = {name: math.inf}
        self._owns = functools.lru_cache(const.TARGETS_MAX)(self._draw)

    def __len__(self) -> int:
        return len(self._seen)

    def on_entries(self, names: Iterable[str], now: float) -> None:
        """Take in the entries that there are."""
        before = set(self._seen)
        self._seen.update((n, now) for n in names if n != self._name)
        oldest = now - const.ENTRIES_KEPT_SECONDS
        self._seen = {n: at for n, at in self._seen.items() if at >= oldest}
        if set(self._seen) != before:
            self._owns.cache_clear()

    def part(self, target_id: str, per_s: float) -> float:
        """Return the requests a second that this entry may send a target.

        Args:
            target_id: The target.
            per_s: Its limit for all entries together, requests a second.
        """
        count = min(owners(per_s), len(self._seen))
        if not self._owns(target_id, count):
            return 0.0
        return max(per_s, const.LIMIT_LEAST) / count

    def look_s(self, per_s: float) -> float:
        """Return after which time who is no owner looks for itself, seconds.

        It hears of a limit only with an answer. So that all who look take but a
        small part of the limit, the more entries there are the later.

        Args:
            per_s: Limit of the target, requests a second.
        """
        others = max(len(self._seen) - owners(per_s), 0)
        flow = const.LOOK_SHARE * max(per_s, const.LIMIT_LEAST)
        return max(const.LIMIT_KEPT_SECONDS, others / flow)

    def _draw(self, target_id: str, count: int) -> bool:
        names = sorted(self._seen)
        return self._name in hashing.rendezvous(target_id, names, count)


def owners(per_s: float) -> int:
    """Return how many entries at most may share a limit, one at least."""
    spare = const.LIMIT_SPARE_SECONDS * per_s + const.LIMIT_SPARE
    return max(1, math.floor(spare / const.OWNER_BURST))
