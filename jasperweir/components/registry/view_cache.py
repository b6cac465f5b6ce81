"""Cache of the decoded claim view of a table."""

from jasperweir.components.config import const as config_const
from jasperweir.components.config import table as table_lib
from jasperweir.components.registry import ops
from jasperweir.helpers import codec


class ViewCache:
    """Decodes the claim view, which may be large, once per change."""

    def __init__(self, *, table: table_lib.Table) -> None:
        self._table = table
        self._revision = -1
        self._view = ops.View(0, ())

    def get(self) -> ops.View:
        """Return the current claim view of the table."""
        revision = self._table.revision_of(config_const.KEY_VIEW)
        if revision != self._revision:
            self._revision = revision
            data = self._table.get(config_const.KEY_VIEW)
            self._view = ops.View(0, ())
            if data:
                self._view = codec.unpack(data, ops.View)
        return self._view
