"""Entries that lack a version some time after it was committed; sans-I/O."""

from typing import NamedTuple

from jasperweir.components.configctl import const
from jasperweir.components.configctl import node_tracker


class LackingEntry(NamedTuple):
    """An entry that reports an older version.

    Attributes:
        name: Name of the entry.
        version: Version that it reported last.
        silent_s: Time since its last heartbeat, seconds.
    """

    name: str
    version: int
    silent_s: float

    def log_value(self) -> str:
        """Return the entry for a log line."""
        silent_ms = round(self.silent_s * 1000)
        return f"{self.name} version {self.version}, silent {silent_ms} ms"


class Lack(NamedTuple):
    """A version that entries lack.

    Attributes:
        version: The version.
        committed_s: Time since its commit, seconds.
        entries: Entries that lack it.
    """

    version: int
    committed_s: float
    entries: tuple[LackingEntry, ...]


class VersionSpread:
    """Checks each version once, SPREAD_SECONDS after its commit."""

    def __init__(self) -> None:
        # Versions that are not yet checked and when each was committed.
        self._committed_at: dict[int, float] = {}

    def on_committed(self, version: int, now: float) -> None:
        """Record that a version was committed by this leader."""
        self._committed_at[version] = now

    def clear(self) -> None:
        """Forget the versions, as another control VM leads."""
        self._committed_at.clear()

    def find_lack(
        self, reports: dict[str, node_tracker.NodeReport], now: float
    ) -> Lack | None:
        """Return which entries lack the newest version that is to be checked.

        Entries that have never had a version are starting, and those that are
        silent for CONTROL_SILENT_SECONDS may have ended.

        Args:
            reports: Last reports of the entries by name.
            now: Monotonic seconds.

        Returns:
            None if no version is due, or none is lacking.
        """
        due = [
            version
            for version, committed_at in self._committed_at.items()
            if now - committed_at >= const.SPREAD_SECONDS
        ]
        if not due:
            return None
        committed_at = {v: self._committed_at.pop(v) for v in due}
        version = max(due)
        lacking = tuple(
            LackingEntry(name, report.version, now - report.heard_at)
            for name, report in sorted(reports.items())
            if 0 < report.version < version
            and now - report.heard_at < const.CONTROL_SILENT_SECONDS
        )
        if not lacking:
            return None
        return Lack(version, now - committed_at[version], lacking)
