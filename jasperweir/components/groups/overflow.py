"""Allowance of requests to groups in other data centres; sans-I/O.

Load: all entries of a data centre have more requests than its groups can take.
They learn the load of a distant group only from the answers of its targets. If
each filled the capacity that it saw there, they would overload the group
together, all withdraw, and begin again. Each entry therefore fills its part of
that capacity within the time in which reports come back.
"""

import dataclasses

from jasperweir.components.balance import const


@dataclasses.dataclass(kw_only=True, slots=True)
class Allowance:
    """Requests that an entry may send to one group.

    Attributes:
        requests: Their number.
        updated_at: Time of the last update, monotonic seconds.
    """

    requests: float
    updated_at: float


class OverflowAllowances:
    """Allowances of one entry by group."""

    def __init__(self) -> None:
        self._by_unit: dict[str, Allowance] = {}

    def update(
        self, unit: str, headroom: float | None, entries: int, now: float
    ) -> bool:
        """Accrue an allowance; return whether a request may be sent.

        Args:
            unit: The group.
            headroom: Streams that it can take beside its own callers'; None
                without a recent report of its load.
            entries: Number of entries that may fill the headroom.
            now: Monotonic seconds.
        """
        found = self._by_unit.get(unit)
        if found is None:
            found = Allowance(requests=1.0, updated_at=now)
            self._by_unit[unit] = found
        elapsed_s = now - found.updated_at
        found.updated_at = now
        if headroom is None:
            share, period_s = 1.0, const.OVERFLOW_BLIND_SECONDS
        else:
            share = max(headroom, 0.0) / max(entries, 1)
            period_s = const.OVERFLOW_SECONDS
        accrued = found.requests + share * elapsed_s / period_s
        found.requests = min(accrued, max(share, 1.0))
        if headroom is not None and headroom < 1:
            return False
        return found.requests >= 1

    def take(self, unit: str) -> None:
        """Count a request that is sent to a group."""
        found = self._by_unit.get(unit)
        if found is not None:
            found.requests = max(found.requests - 1, 0.0)

    def count(self, unit: str) -> int:
        """Return the number of requests that may be sent to a group now."""
        found = self._by_unit.get(unit)
        return int(found.requests) if found is not None else 0

    def keep_units(self, units: set[str]) -> None:
        """Drop the allowances of groups that are no longer listed."""
        for unit in self._by_unit.keys() - units:
            del self._by_unit[unit]
