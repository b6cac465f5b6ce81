"""An entry's share of the rate of cold targets; sans-I/O.

Load: entries that start, are cut off or were suspended while others send to
the same cold target.

The owners of a target are the first entries by rendezvous hashing. If every
entry that uses a share knows all others that do, at most ``max_owners`` of them
find themselves among the owners, whatever further entries each one counts: a
larger set only moves an entry back. An entry therefore uses its share only
while the leader of the log, which counts all entries that hear from it,
confirms the list of entries, and only after it has been on that list for
SETTLE_SECONDS without a gap. Otherwise it assumes others and sends nothing to
cold targets.
"""

from collections.abc import Iterable
import functools
import math

from jasperweir.components.warmup import const
from jasperweir.components.warmup import rate as rate_lib
from jasperweir.helpers import hashing

_NONE = rate_lib.Rate(0.0, 0.0)


class ColdShares:
    """Shares of one entry in the rates of cold targets."""

    def __init__(self, *, name: str) -> None:
        """Initialize without a share.

        Args:
            name: Name of this entry.
        """
        self._name = name
        self._seen_at: dict[str, float] = {name: math.inf}
        # Since when the leader has confirmed lists without a gap.
        self._confirmed_since = math.inf
        self._confirmed_at = float("-inf")
        self._is_owner = functools.lru_cache(const.TARGETS_MAX)(
            self._compute_is_owner
        )

    def on_entries(
        self, names: Iterable[str], now: float, *, is_confirmed: bool
    ) -> None:
        """Update the set of entries.

        Args:
            names: Entries that are open to callers.
            now: Monotonic seconds.
            is_confirmed: Whether the leader of the log was heard from recently
                and this entry is on its list.
        """
        self._add(names, now)
        if not is_confirmed:
            self._confirmed_since = math.inf
            self._confirmed_at = float("-inf")
            return
        if now - self._confirmed_at > const.VIEW_VALID_SECONDS:
            self._confirmed_since = now
        self._confirmed_at = now

    def on_heard(self, name: str, now: float) -> None:
        """Record a message of another entry, listed or not."""
        # Entries send many messages a second.
        if now - self._seen_at.get(name, -math.inf) >= const.HEARD_SECONDS:
            self._add([name], now)

    def is_settled(self, now: float) -> bool:
        """Return whether this entry may use its shares."""
        if now - self._confirmed_at > const.VIEW_VALID_SECONDS:
            return False
        return now - self._confirmed_since >= const.SETTLE_SECONDS

    def share(
        self, target_id: str, rate: rate_lib.Rate, now: float
    ) -> rate_lib.Rate:
        """Return this entry's part of a cold target's rate and burst."""
        if rate.per_s <= 0 or not self.is_settled(now):
            return _NONE
        count = min(rate.max_owners, len(self._seen_at))
        if not self._is_owner(target_id, count):
            return _NONE
        return rate_lib.Rate(rate.per_s / count, rate.burst / count)

    def __len__(self) -> int:
        return len(self._seen_at)

    def _add(self, names: Iterable[str], now: float) -> None:
        previous = set(self._seen_at)
        self._seen_at.update((n, now) for n in names if n != self._name)
        oldest = now - const.ENTRY_TTL_SECONDS
        self._seen_at = {
            n: at for n, at in self._seen_at.items() if at >= oldest
        }
        if set(self._seen_at) != previous:
            self._is_owner.cache_clear()

    def _compute_is_owner(self, target_id: str, count: int) -> bool:
        names = sorted(self._seen_at)
        return self._name in hashing.rendezvous(target_id, names, count)
