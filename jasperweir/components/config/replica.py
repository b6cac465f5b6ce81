"""A node's replica of the configuration table."""

from jasperweir import exceptions
from jasperweir.components.bundle import contents
from jasperweir.components.bundle import specs
from jasperweir.components.config import const
from jasperweir.components.config import table as table_lib
from jasperweir.components.registry import history
from jasperweir.components.registry import ops
from jasperweir.components.registry import view_cache
from jasperweir.helpers import codec


class Replica:
    """Typed view of the configuration for one data centre.

    The applied bundle version never decreases: a pointer to a lower version
    is ignored.

    Attributes:
        table: Replicated key table.
        version: Applied bundle version, 0 before the first.
        bundle: Typed view of that version, or None.
        min_revision: Minimum revision for serving, None while unknown.
        rejected: Number of versions that were invalid or corrupt.
    """

    def __init__(self, *, place: str) -> None:
        self.table = table_lib.Table()
        self.version = 0
        self.bundle: specs.Bundle | None = None
        self.min_revision: int | None = None
        self.rejected_count = 0
        self._place = place
        self._view_cache = view_cache.ViewCache(table=self.table)
        self._refreshed_revision = 0
        self._contents: contents.Contents | None = None
        # Keys with values of versions above the applied one.
        self._pending_keys: set[str] = set()

    @property
    def is_ready(self) -> bool:
        """Whether the minimum revision is reached and a bundle applied."""
        if self.min_revision is None or self.table.revision < self.min_revision:
            return False
        return self.bundle is not None

    def refresh(self) -> bool:
        """Apply changes of the table; return whether the version changed."""
        if self.table.revision == self._refreshed_revision:
            return False
        self._pending_keys.update(
            key
            for key in self.table.changed_since(self._refreshed_revision)
            if key.startswith(const.PREFIX_BUNDLE)
        )
        self._refreshed_revision = self.table.revision
        version = self._target_version()
        if version <= self.version:
            return False
        record = self.table.get(f"{const.PREFIX_VERSION}{version}")
        if record is None:
            return False
        expected = codec.unpack(record, ops.Version).content_hash
        try:
            new = self._load_contents(version)
        except exceptions.SettingsError:
            self.rejected_count += 1
            return False
        if new.content_hash != expected:
            # The data is corrupt, so the old version stays applied.
            self.rejected_count += 1
            return False
        self._contents = new
        self.bundle = new.bundle
        self.version = version
        self._pending_keys = {
            key
            for key in self._pending_keys
            if history.newest_version(self.table, key) > version
        }
        return True

    def _load_contents(self, version: int) -> contents.Contents:
        if self._contents is None:
            content = history.content_at(self.table, version)
            return contents.Contents.from_flat(content)
        change = history.change_at(self.table, self._pending_keys, version)
        return self._contents.patch(change)

    def view(self) -> ops.View:
        """Return the current claim view."""
        return self._view_cache.get()

    def appointment(self, group: str) -> ops.Appointment | None:
        """Return the appointed coordinator of a group, or None."""
        data = self.table.get(f"{const.PREFIX_GROUP}{group}")
        return codec.unpack(data, ops.Appointment) if data else None

    def regions(self) -> dict[str, str]:
        """Return the region of each data centre by name."""
        if self.bundle is None:
            return {}
        return {p.name: p.region for p in self.bundle.places.values()}

    def _target_version(self) -> int:
        data = self.table.get(f"{const.PREFIX_PLACE}{self._place}")
        return codec.unpack(data, int) if data else 0
