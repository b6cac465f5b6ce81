"""Claim records by partition, with their expiry times."""

import dataclasses
import heapq

from jasperweir.components.claims import messages
from jasperweir.components.claims import partitions

Member = partitions.Member


@dataclasses.dataclass(kw_only=True, slots=True)
class PartitionState:
    """State of one partition of the keys at one owner.

    Attributes:
        records: Records by key.
        expires: Expiry time of each record, monotonic seconds.
        ready_epoch: Newest view in which this owner was repaired.
        blind_until: Time until which an unknown key may be a lost claim.
        synced_owners: Previous owners whose records have been received.
        unready_owners: Previous owners whose records may be incomplete.
    """

    records: dict[str, messages.Record] = dataclasses.field(
        default_factory=dict
    )
    expires: dict[str, float] = dataclasses.field(default_factory=dict)
    ready_epoch: int = 0
    blind_until: float = float("-inf")
    synced_owners: set[Member] = dataclasses.field(default_factory=set)
    unready_owners: set[Member] = dataclasses.field(default_factory=set)


class Store:
    """All partitions that a node holds records of.

    Attributes:
        partitions: State by the index of the partition.
    """

    def __init__(self) -> None:
        self.partitions: dict[int, PartitionState] = {}
        self._expiries: list[tuple[float, str]] = []
        self._count = 0

    def __len__(self) -> int:
        """Return the number of records held."""
        return self._count

    def get(self, key: str) -> messages.Record | None:
        """Return a key's record."""
        state = self.partitions.get(partitions.partition_index(key))
        return state.records.get(key) if state else None

    def put(self, record: messages.Record, now: float) -> None:
        """Store a record for its remaining time."""
        state = self.partitions[partitions.partition_index(record.key)]
        if record.key not in state.records:
            self._count += 1
        state.records[record.key] = record
        expires = now + record.remaining
        state.expires[record.key] = expires
        heapq.heappush(self._expiries, (expires, record.key))

    def expire(self, now: float) -> None:
        """Delete records that have expired."""
        while self._expiries and self._expiries[0][0] <= now:
            _, key = heapq.heappop(self._expiries)
            state = self.partitions[partitions.partition_index(key)]
            # A record that was replaced has a later entry in the heap.
            if state.expires.get(key, now + 1) <= now:
                del state.expires[key]
                del state.records[key]
                self._count -= 1
