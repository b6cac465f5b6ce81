"""Entries and agents that send heartbeats to one control VM; sans-I/O.

The list of entries open to callers is replicated to all entries by updates; an
entry that missed an update gets the full list.
"""

from typing import Any
from typing import NamedTuple

from jasperweir import core
from jasperweir.components.configctl import digest_tracker
from jasperweir.components.configctl import messages
from jasperweir.components.directory import const as directory_const
from jasperweir.components.directory import records
from jasperweir.helpers import codec
from jasperweir.helpers import hashing

Actions = list[Any]


class NodeReport(NamedTuple):
    """Last heartbeat of a node.

    Attributes:
        node: Its record.
        heard_at: Time of the heartbeat, monotonic seconds.
        version: Configuration version in force there, 0 before the first.
    """

    node: records.Node
    heard_at: float
    version: int


class NodeTracker:
    """Tracks nodes by their heartbeats and publishes the open entries.

    Attributes:
        digest: Digest of the list of open entries as last published.
        has_changes: Whether the list may have changed since.
    """

    def __init__(self) -> None:
        self.digest = 0
        self.has_changes = False
        self._reports: dict[str, NodeReport] = {}
        self._open_entries: dict[str, records.Node] = {}
        self._digest_tracker = digest_tracker.DigestTracker()

    def on_heartbeat(
        self, name: str, msg: records.NodeHeartbeat, now: float
    ) -> bool:
        """Record a heartbeat; return False if it is outdated."""
        node = msg.node
        known = self._reports.get(name)
        if known is not None and _is_older(node, known.node):
            return False
        self._reports[name] = NodeReport(
            node=node, heard_at=now, version=msg.version
        )
        if known is None or known.node.open != node.open:
            self.has_changes = True
        return True

    def on_version(self, name: str, msg: messages.VersionHeld) -> None:
        """Record which version is in force at a node."""
        known = self._reports.get(name)
        if known is None or known.node.incarnation != msg.incarnation:
            return
        version = max(known.version, msg.version)
        self._reports[name] = known._replace(version=version)

    def find_incarnation(self, name: str) -> int:
        """Return the incarnation of a node, 0 if it is unknown."""
        report = self._reports.get(name)
        return report.node.incarnation if report is not None else 0

    def entry_names(self) -> list[str]:
        """Return the names of the known entries, without agents."""
        return [
            name
            for name, report in self._reports.items()
            if report.node.kind == directory_const.KIND_ENTRY
        ]

    def entry_reports(self) -> dict[str, NodeReport]:
        """Return the last heartbeats of the known entries by name."""
        return {name: self._reports[name] for name in self.entry_names()}

    def get_place(self, name: str) -> str:
        """Return the data centre of a known node."""
        return self._reports[name].node.place

    def knows_place(self, place: str) -> bool:
        """Return whether a known node is in a data centre."""
        return any(r.node.place == place for r in self._reports.values())

    def live_nodes(self, kind: str, now: float) -> list[records.Node]:
        """Return the nodes of a kind with a recent heartbeat."""
        silent_s = directory_const.NODE_SILENT_SECONDS
        if kind == directory_const.KIND_AGENT:
            silent_s = directory_const.AGENT_SILENT_SECONDS
        return [
            report.node
            for report in self._reports.values()
            if report.node.kind == kind and now - report.heard_at < silent_s
        ]

    def remove_silent(self, now: float) -> None:
        """Remove nodes without a heartbeat for NODE_FORGET_SECONDS."""
        for name, report in list(self._reports.items()):
            if now - report.heard_at > directory_const.NODE_FORGET_SECONDS:
                del self._reports[name]

    def publish_changes(self, now: float) -> Actions:
        """Send all entries the changes to the list of open entries.

        Only the changes are sent, to limit traffic while many entries start.
        """
        self.has_changes = False
        before = self._open_entries
        self._open_entries = {
            node.name: node._replace(sequence=0, incarnation=0)
            for node in self.live_nodes(directory_const.KIND_ENTRY, now)
            if node.open
        }
        changed = _changed_nodes(before, self._open_entries)
        if not changed:
            return []
        old_digest = self.digest
        rows = sorted(self._open_entries.values())
        self.digest = hashing.checksum(codec.pack(rows)) >> 1
        self._digest_tracker.set_current(self.digest, now)
        update = records.NodeListUpdate(
            before=old_digest, after=self.digest, nodes=tuple(changed)
        )
        return [core.Send(dst=name, msg=update) for name in self.entry_names()]

    def resend_list(self, name: str, digest: int, now: float) -> Actions:
        """Send an entry the full list if its digest is outdated."""
        if not self._digest_tracker.needs_full_list(name, digest, now):
            return []
        nodes = records.NodeList(
            digest=self.digest, nodes=tuple(self._open_entries.values())
        )
        return [core.Send(dst=name, msg=nodes)]


def _changed_nodes(
    before: dict[str, records.Node], after: dict[str, records.Node]
) -> list[records.Node]:
    """Return new and changed nodes, and removed ones marked as not open."""
    changed = [node for name, node in after.items() if before.get(name) != node]
    changed += [
        node._replace(open=False)
        for name, node in before.items()
        if name not in after
    ]
    return changed


def _is_older(new: records.Node, known: records.Node) -> bool:
    same = new.incarnation == known.incarnation
    return same and new.sequence < known.sequence
