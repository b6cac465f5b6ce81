"""Records of claims by range, and when each may be forgotten."""

import dataclasses
import heapq

from jasperweir.components.claims import messages
from jasperweir.components.claims import ranges

Member = ranges.Member


@dataclasses.dataclass(kw_only=True, slots=True)
class Range:
    """State of one range of keys at one owner.

    Attributes:
        ready_epoch: Newest view in which this owner was repaired.
        blind_until: Until then unknown keys cannot be told from lost ones.
        answered: Old owners whose records count and have come in.
        refused: Old owners whose records do not count.
    """

    records: dict[str, messages.Record] = dataclasses.field(
        default_factory=dict
    )
    expires: dict[str, float] = dataclasses.field(default_factory=dict)
    ready_epoch: int = 0
    blind_until: float = float("-inf")
    answered: set[Member] = dataclasses.field(default_factory=set)
    refused: set[Member] = dataclasses.field(default_factory=set)


class Store:
    """All ranges that a node holds records of.

    Attributes:
        ranges: State by the number of the range.
    """

    def __init__(self) -> None:
        self.ranges: dict[int, Range] = {}
        self._expiries: list[tuple[float, str]] = []
        self._count = 0

    def __len__(self) -> int:
        """Return the number of records held."""
        return self._count

    def get(self, key: str) -> messages.Record | None:
        """Return a key's record."""
        own_range = self.ranges.get(ranges.partition_of(key))
        return own_range.records.get(key) if own_range else None

    def put(self, record: messages.Record, now: float) -> None:
        """Keep a record for the time that it says remains."""
        own_range = self.ranges[ranges.partition_of(record.key)]
        if record.key not in own_range.records:
            self._count += 1
        own_range.records[record.key] = record
        expires = now + record.remaining
        own_range.expires[record.key] = expires
        heapq.heappush(self._expiries, (expires, record.key))

    def expire(self, now: float) -> None:
        """Forget what is due."""
        while self._expiries and self._expiries[0][0] <= now:
            _, key = heapq.heappop(self._expiries)
            own_range = self.ranges[ranges.partition_of(key)]
            # A record that changed since has a later expiry of its own.
            if own_range.expires.get(key, now + 1) <= now:
                del own_range.expires[key]
                del own_range.records[key]
                self._count -= 1
