"""Checks what entries report of the version in force there; sans-I/O."""

import collections
from typing import Any
from typing import NamedTuple

from jasperweir.components.configctl import messages
from jasperweir.components.configctl import version_ages
from jasperweir.components.configctl import version_history
from jasperweir.components.confirmation import const as confirmation_const
from jasperweir.components.directory import const as directory_const
from jasperweir.components.directory import records

Actions = list[Any]

# Findings that are remembered, so that each is reported once.
MAX_KNOWN = 256


class OtherContent(NamedTuple):
    """Action: log that an entry has other content under a version.

    Attributes:
        entry: Name of the entry.
        version: The version.
        content: Checksum of the content in force there.
        committed: Checksum of the content that the log holds.
    """

    entry: str
    version: int
    content: int
    committed: int


class LateEntry(NamedTuple):
    """Action: log that an entry holds a version that is outdated for long.

    Attributes:
        entry: Name of the entry.
        version: Version in force there.
        superseded_by: First newer version.
        late_s: Time since this control VM learned of the newer one, seconds.
    """

    entry: str
    version: int
    superseded_by: int
    late_s: float


class EntryRestarted(NamedTuple):
    """Action: log that an entry has started anew.

    What it sent since its last report is checked by nobody.

    Attributes:
        entry: Name of the entry.
        version: Version that was last in force there.
        superseded_by: First newer version that is known, 0 if there is none.
        silent_s: Time between its last heartbeats, seconds.
    """

    entry: str
    version: int
    superseded_by: int
    silent_s: float


class _Report(NamedTuple):
    incarnation: int
    version: int
    heard_at: float


class EntryCheck:
    """Compares reports of entries with what is committed."""

    def __init__(
        self,
        *,
        ages: version_ages.VersionAges,
        history: version_history.VersionHistory,
    ) -> None:
        """Initialize without reports.

        Args:
            ages: When versions were committed.
            history: Contents that came into force.
        """
        self._ages = ages
        self._history = history
        self._reports: dict[str, _Report] = {}
        self._known: collections.OrderedDict[tuple[Any, ...], None] = (
            collections.OrderedDict()
        )

    def receive(self, src: str, msg: Any, now: float) -> Actions:
        """Check a message of an entry; others are ignored."""
        match msg:
            case messages.VersionHeld():
                return self._on_held(src, msg)
            case records.NodeHeartbeat():
                if msg.node.kind == directory_const.KIND_ENTRY:
                    return self._on_heartbeat(src, msg, now)
        return []

    def _on_held(self, src: str, msg: messages.VersionHeld) -> Actions:
        committed = self._history.find(msg.version)
        if not committed or msg.content in (0, committed):
            return []
        return [
            OtherContent(
                entry=src,
                version=msg.version,
                content=msg.content,
                committed=committed,
            )
        ]

    def _on_heartbeat(
        self, src: str, msg: records.NodeHeartbeat, now: float
    ) -> Actions:
        out: Actions = []
        known = self._reports.get(src)
        if known is not None and known.incarnation != msg.node.incarnation:
            newer = self._ages.find_successor(known.version)
            out.append(
                EntryRestarted(
                    entry=src,
                    version=known.version,
                    superseded_by=newer[0] if newer is not None else 0,
                    silent_s=now - known.heard_at,
                )
            )
        self._reports[src] = _Report(msg.node.incarnation, msg.version, now)
        newer = self._ages.find_successor(msg.version)
        if not msg.version or newer is None:
            return out
        superseded_by, span = newer
        late_s = now - span.latest
        key = src, msg.node.incarnation, msg.version
        if late_s <= confirmation_const.APPLY_SECONDS or key in self._known:
            return out
        self._known[key] = None
        if len(self._known) > MAX_KNOWN:
            self._known.popitem(last=False)
        late = LateEntry(
            entry=src,
            version=msg.version,
            superseded_by=superseded_by,
            late_s=late_s,
        )
        return [*out, late]
