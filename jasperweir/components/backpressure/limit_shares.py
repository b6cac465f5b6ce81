"""An entry's shares of rate limits that hold for all entries; sans-I/O.

Entries don't coordinate their requests. The limit of a target is divided among
a few entries, its owners, which are chosen by rendezvous hashing of the names
of the entries and the target. Each owner may be at least half a request ahead
of its even rate, so the number of owners is bounded by the burst that the
target accepts. The fewer owners there are, the more unused requests each of
them may keep for later. Other entries send elsewhere. An entry that is not
seen any more keeps its share for a while, so that the sides of a network
partition don't both use it.
"""

from collections.abc import Iterable
import functools
import math

from jasperweir.components.backpressure import const
from jasperweir.helpers import hashing


class LimitShares:
    """Shares of one entry in the limits of targets."""

    def __init__(self, *, name: str) -> None:
        """Initialize with this entry as the only one.

        Args:
            name: Name of this entry.
        """
        self._name = name
        self._seen_at: dict[str, float] = {name: math.inf}
        self._is_owner = functools.lru_cache(const.TARGETS_MAX)(
            self._compute_is_owner
        )

    def __len__(self) -> int:
        return len(self._seen_at)

    def on_entries(self, names: Iterable[str], now: float) -> None:
        """Update the set of entries from those that are seen now."""
        previous = set(self._seen_at)
        self._seen_at.update((n, now) for n in names if n != self._name)
        oldest = now - const.ENTRY_TTL_SECONDS
        self._seen_at = {
            n: at for n, at in self._seen_at.items() if at >= oldest
        }
        if set(self._seen_at) != previous:
            self._is_owner.cache_clear()

    def share_per_s(self, target_id: str, per_s: float) -> float:
        """Return the rate at which this entry may send to a target, per second.

        Args:
            target_id: The target.
            per_s: Its limit for all entries, requests per second.
        """
        count = min(max_owners(per_s), len(self._seen_at))
        if not self._is_owner(target_id, count):
            return 0.0
        return max(per_s, const.LIMIT_MIN_PER_S) / count

    def burst(self, per_s: float) -> float:
        """Return how many requests an owner may send at once after a pause.

        The bursts of all owners together are within the target's burst.

        Args:
            per_s: Limit of the target for all entries, requests per second.
        """
        count = min(max_owners(per_s), len(self._seen_at))
        return max(const.LIMIT_BURST_SECONDS * per_s / count, const.OWNER_BURST)

    def probe_interval_s(self, per_s: float) -> float:
        """Return the probe interval of an entry without a share, seconds.

        An entry learns of a changed limit only with an answer. The interval
        grows with the number of entries, so that all probes use a small share
        of the limit.

        Args:
            per_s: Limit of the target, requests per second.
        """
        others = max(len(self._seen_at) - max_owners(per_s), 0)
        probes_per_s = const.PROBE_SHARE * max(per_s, const.LIMIT_MIN_PER_S)
        return max(const.PROBE_MIN_SECONDS, others / probes_per_s)

    def _compute_is_owner(self, target_id: str, count: int) -> bool:
        names = sorted(self._seen_at)
        return self._name in hashing.rendezvous(target_id, names, count)


def max_owners(per_s: float) -> int:
    """Return the largest number of entries that may share a limit."""
    burst = const.LIMIT_BURST_SECONDS * per_s + const.LIMIT_BURST
    return max(1, math.floor(burst / const.OWNER_BURST))
