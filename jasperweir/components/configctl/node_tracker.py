"""Entries and agents that beat to one control VM; sans-I/O.

The entries that callers may use are a list that all entries need. It changes by
one or a few at a time, and so it is told: a whole list goes only to an entry
that has missed a change.
"""

from typing import Any
from typing import NamedTuple

from jasperweir import core
from jasperweir.components.configctl import digest_tracker
from jasperweir.components.directory import const as directory_const
from jasperweir.components.directory import records
from jasperweir.helpers import codec
from jasperweir.helpers import hashing

Actions = list[Any]


class NodeReport(NamedTuple):
    """A node's record and when it last beat."""

    node: records.Node
    heard_at: float


class NodeTracker:
    """Who beats here, and which entries callers may use.

    Attributes:
        digest: Digest of the list of entries as it was told last.
        is_due: Whether the list may have changed since.
    """

    def __init__(self) -> None:
        self.digest = 0
        self.has_changes = False
        self._reports: dict[str, NodeReport] = {}
        self._open_entries: dict[str, records.Node] = {}
        self._digest_tracker = digest_tracker.DigestTracker()

    def on_heartbeat(self, name: str, node: records.Node, now: float) -> bool:
        """Take in a beat; return whether it is newer than the last one."""
        known = self._reports.get(name)
        if known is not None and _is_older(node, known.node):
            return False
        self._reports[name] = NodeReport(node=node, heard_at=now)
        if known is None or known.node.open != node.open:
            self.has_changes = True
        return True

    def entry_names(self) -> list[str]:
        """Return the entries that beat here; agents route nothing."""
        return [
            name
            for name, report in self._reports.items()
            if report.node.kind == directory_const.KIND_ENTRY
        ]

    def get_place(self, name: str) -> str:
        """Return the data centre of a node that beats here."""
        return self._reports[name].node.place

    def live_nodes(self, kind: str, now: float) -> list[records.Node]:
        """Return the nodes of a kind that have beaten of late."""
        silent_s = directory_const.NODE_SILENT_SECONDS
        if kind == directory_const.KIND_AGENT:
            silent_s = directory_const.AGENT_SILENT_SECONDS
        return [
            report.node
            for report in self._reports.values()
            if report.node.kind == kind and now - report.heard_at < silent_s
        ]

    def remove_silent(self, now: float) -> None:
        """Forget nodes that have been silent for long."""
        for name, report in list(self._reports.items()):
            if now - report.heard_at > directory_const.NODE_FORGET_SECONDS:
                del self._reports[name]

    def publish_changes(self, now: float) -> Actions:
        """Tell the entries which of them callers may use, where it changed.

        The whole list went to all with each change: of 103 entries that start
        together, 5 KB to each for each.
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
        news = records.NodeNews(
            before=old_digest, after=self.digest, nodes=tuple(changed)
        )
        return [core.Send(dst=name, msg=news) for name in self.entry_names()]

    def resend_list(self, name: str, digest: int, now: float) -> Actions:
        """Send an entry the whole list if its digest shows that it needs it."""
        if not self._digest_tracker.needs_full_list(name, digest, now):
            return []
        nodes = records.Nodes(
            digest=self.digest, nodes=tuple(self._open_entries.values())
        )
        return [core.Send(dst=name, msg=nodes)]


def _changed_nodes(
    before: dict[str, records.Node], after: dict[str, records.Node]
) -> list[records.Node]:
    """Return what is new or different, and as not open what has left."""
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
