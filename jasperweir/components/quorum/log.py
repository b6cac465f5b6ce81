"""In-memory copy of the replicated log."""

from collections.abc import Iterable

from jasperweir.components.quorum import const
from jasperweir.components.quorum import messages


class MemoryLog:
    """Log entries after the snapshot, addressed by their index.

    Attributes:
        base_index: Index of the last entry that the snapshot covers.
        base_term: Term of that entry.
        size: Bytes of data of the entries after the snapshot.
    """

    def __init__(
        self,
        *,
        base_index: int = 0,
        base_term: int = 0,
        entries: tuple[messages.Entry, ...] = (),
    ) -> None:
        self.base_index = base_index
        self.base_term = base_term
        self._entries = [e for e in entries if e.idx > base_index]
        self.size = _count_bytes(self._entries)

    def __len__(self) -> int:
        """Return the number of entries after the snapshot."""
        return len(self._entries)

    @property
    def last_index(self) -> int:
        """Index of the newest entry."""
        return self.base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Term of the newest entry."""
        return self._entries[-1].term if self._entries else self.base_term

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry, or None if the log lacks it."""
        if index == self.base_index:
            return self.base_term
        if not self.base_index < index <= self.last_index:
            return None
        return self._entries[index - self.base_index - 1].term

    def entries_between(
        self, first: int, last: int
    ) -> tuple[messages.Entry, ...]:
        """Return entries with first <= index <= last."""
        low = max(first - self.base_index - 1, 0)
        return tuple(self._entries[low : last - self.base_index])

    def next_batch(self, first: int) -> tuple[messages.Entry, ...]:
        """Return the entries from ``first`` on to send next, at least one."""
        batch: list[messages.Entry] = []
        size = 0
        last = first + const.APPEND_MAX_ENTRIES - 1
        for entry in self.entries_between(first, last):
            size += len(entry.data)
            if batch and size > const.APPEND_MAX_BYTES:
                break
            batch.append(entry)
        return tuple(batch)

    def append(self, entries: tuple[messages.Entry, ...]) -> None:
        """Append entries that directly follow the newest one."""
        self._entries.extend(entries)
        self.size += _count_bytes(entries)

    def truncate(self, first: int) -> None:
        """Remove the entry at ``first`` and all later ones."""
        del self._entries[first - self.base_index - 1 :]
        self.size = _count_bytes(self._entries)

    def compact(self, index: int, term: int) -> None:
        """Remove the entries up to an index that a snapshot now covers."""
        if self.term_at(index) == term:
            del self._entries[: index - self.base_index]
        else:
            self._entries.clear()
        self.size = _count_bytes(self._entries)
        self.base_index = index
        self.base_term = term


def _count_bytes(entries: Iterable[messages.Entry]) -> int:
    return sum(len(entry.data) for entry in entries)
