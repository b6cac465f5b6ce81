"""Replicated key table with deltas since a revision."""

import bisect
from typing import NamedTuple

from jasperweir.components.config import const
from jasperweir.helpers import codec


class Item(NamedTuple):
    """Newest value of one key; None marks a removed key."""

    key: str
    revision: int
    value: bytes | None


@codec.message("config.delta")
class Delta(NamedTuple):
    """Newest values of all keys changed after ``since`` up to ``upto``.

    Each key occurs once, however many of its changes the receiver missed.

    Attributes:
        log_id: Identity of the log that the revisions belong to.
        since: Revision that the receiver must have reached.
        upto: Revision that the receiver reaches.
        items: Changed keys.
    """

    log_id: str
    since: int
    upto: int
    items: tuple[Item, ...]


class Table:
    """Key table; revisions are indexes of the replicated log.

    Attributes:
        revision: Log index up to which the table is complete.
        log_id: Identity of the log that the revisions belong to.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.log_id = ""
        self._items: dict[str, Item] = {}
        # Revisions and keys in order; outdated pairs are skipped by readers.
        self._keys_by_revision: list[tuple[int, str]] = []

    def __len__(self) -> int:
        """Return the number of keys, including removed ones."""
        return len(self._items)

    def get(self, key: str) -> bytes | None:
        """Return a key's value, or None."""
        item = self._items.get(key)
        return item.value if item else None

    def revision_of(self, key: str) -> int:
        """Return the revision of a key's last change, 0 if never set."""
        item = self._items.get(key)
        return item.revision if item else 0

    def keys(self, prefix: str) -> list[str]:
        """Return the present keys with a prefix, sorted."""
        return sorted(
            key
            for key, item in self._items.items()
            if key.startswith(prefix) and item.value is not None
        )

    def put(self, key: str, value: bytes | None, revision: int) -> None:
        """Set a key; ``revision`` must not be below an earlier one."""
        self._items[key] = Item(key=key, revision=revision, value=value)
        self._keys_by_revision.append((revision, key))
        self.revision = max(self.revision, revision)
        if len(self._keys_by_revision) > 2 * len(self._items) + 64:
            self._rebuild_order()

    def advance(self, revision: int) -> None:
        """Advance the revision without a change of keys."""
        self.revision = max(self.revision, revision)

    def delta(
        self, since: int, max_bytes: int = const.DELTA_MAX_BYTES
    ) -> Delta:
        """Return changes after a revision, cut at a revision boundary."""
        start = bisect.bisect_right(
            self._keys_by_revision, (since, "\U0010ffff")
        )
        items: list[Item] = []
        size = 0
        for revision, key in self._keys_by_revision[start:]:
            item = self._items[key]
            if item.revision != revision:
                continue
            if size > max_bytes and items[-1].revision < revision:
                return self._make_delta(since, items[-1].revision, items)
            items.append(item)
            size += len(key) + len(item.value or b"") + 12
        return self._make_delta(since, self.revision, items)

    def _make_delta(self, since: int, upto: int, items: list[Item]) -> Delta:
        return Delta(
            log_id=self.log_id, since=since, upto=upto, items=tuple(items)
        )

    def apply(self, delta: Delta) -> bool:
        """Apply a delta.

        Returns:
            False if the delta is outdated, would leave a gap or belongs to
            another log; it is then ignored.
        """
        if self.log_id and delta.log_id != self.log_id:
            return False
        if delta.since > self.revision or delta.upto <= self.revision:
            return False
        for item in sorted(delta.items, key=lambda i: (i.revision, i.key)):
            if item.revision > self.revision_of(item.key):
                self._items[item.key] = item
                self._keys_by_revision.append((item.revision, item.key))
        if len(self._keys_by_revision) > 2 * len(self._items) + 64:
            self._rebuild_order()
        self.revision = delta.upto
        self.log_id = delta.log_id
        return True

    def changed_since(self, revision: int) -> list[str]:
        """Return the keys whose newest value came after a revision."""
        start = bisect.bisect_right(
            self._keys_by_revision, (revision, "\U0010ffff")
        )
        return [
            key
            for at, key in self._keys_by_revision[start:]
            if self._items[key].revision == at
        ]

    def dump(self) -> tuple[int, tuple[Item, ...]]:
        """Return the whole table, in order of revision."""
        items = sorted(self._items.values(), key=lambda i: (i.revision, i.key))
        return self.revision, tuple(items)

    def load(self, revision: int, items: tuple[Item, ...]) -> None:
        """Replace the whole table."""
        self.revision = revision
        self._items = {item.key: item for item in items}
        self._rebuild_order()

    def _rebuild_order(self) -> None:
        self._keys_by_revision = sorted(
            (item.revision, item.key) for item in self._items.values()
        )
