"""Entries and agents that beat to one control VM; sans-I/O.

The entries that callers may use are a list that all entries need. It changes by
one or a few at a time, and so it is told: a whole list goes only to an entry
that has missed a change.
"""

from typing import Any
from typing import NamedTuple

from jasperweir import core
from jasperweir.components.configctl import digests
from jasperweir.components.directory import const as directory_const
from jasperweir.components.directory import records
from jasperweir.helpers import codec
from jasperweir.helpers import hashing

Actions = list[Any]


class Heard(NamedTuple):
    """A node's record and when it last beat."""

    node: records.Node
    at: float


class Nodes:
    """Who beats here, and which entries callers may use.

    Attributes:
        digest: Digest of the list of entries as it was told last.
        is_due: Whether the list may have changed since.
    """

    def __init__(self) -> None:
        self.digest = 0
        self.is_due = False
        self._heard: dict[str, Heard] = {}
        self._open: dict[str, records.Node] = {}
        self._told = digests.Told()

    def on_beat(self, name: str, node: records.Node, now: float) -> bool:
        """Take in a beat; return whether it is newer than the last one."""
        known = self._heard.get(name)
        if known is not None and _older(node, known.node):
            return False
        self._heard[name] = Heard(node=node, at=now)
        if known is None or known.node.open != node.open:
            self.is_due = True
        return True

    def entry_names(self) -> list[str]:
        """Return the entries that beat here; agents route nothing."""
        return [
            name
            for name, heard in self._heard.items()
            if heard.node.kind == directory_const.KIND_ENTRY
        ]

    def place_of(self, name: str) -> str:
        """Return the data centre of a node that beats here."""
        return self._heard[name].node.place

    def fresh(self, kind: str, now: float) -> list[records.Node]:
        """Return the nodes of a kind that have beaten of late."""
        silent_s = directory_const.NODE_SILENT_SECONDS
        if kind == directory_const.KIND_AGENT:
            silent_s = directory_const.AGENT_SILENT_SECONDS
        return [
            heard.node
            for heard in self._heard.values()
            if heard.node.kind == kind and now - heard.at < silent_s
        ]

    def forget_silent(self, now: float) -> None:
        """Forget nodes that have been silent for long."""
        for name, heard in list(self._heard.items()):
            if now - heard.at > directory_const.NODE_FORGET_SECONDS:
                del self._heard[name]

    def tell(self, now: float) -> Actions:
        """Tell the entries which of them callers may use, where it changed.

        The whole list went to all with each change: of 103 entries that start
        together, 5 KB to each for each.
        """
        self.is_due = False
        before = self._open
        self._open = {
            node.name: node._replace(sequence=0, incarnation=0)
            for node in self.fresh(directory_const.KIND_ENTRY, now)
            if node.open
        }
        changed = _changes(before, self._open)
        if not changed:
            return []
        old_digest = self.digest
        rows = sorted(self._open.values())
        self.digest = hashing.checksum(codec.pack(rows)) >> 1
        self._told.note(self.digest, now)
        news = records.NodeNews(
            before=old_digest, after=self.digest, nodes=tuple(changed)
        )
        return [core.Send(dst=name, msg=news) for name in self.entry_names()]

    def missed_by(self, name: str, digest: int, now: float) -> Actions:
        """Send an entry the whole list if its digest shows that it needs it."""
        if not self._told.lacks(name, digest, now):
            return []
        nodes = records.Nodes(
            digest=self.digest, nodes=tuple(self._open.values())
        )
        return [core.Send(dst=name, msg=nodes)]


def _changes(
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


def _older(new: records.Node, known: records.Node) -> bool:
    same = new.incarnation == known.incarnation
    return same and new.sequence < known.sequence
