"""Targets, entries, agents and control VMs, as one control VM hears them.

Sans-I/O. Entries are told of changes at once and of everything now and then;
a target that leaves has its acknowledgement when another control VM knows.
"""

import itertools
from typing import Any
from typing import NamedTuple

from jasperweir import core
from jasperweir.components.configctl import const
from jasperweir.components.directory import const as directory_const
from jasperweir.components.directory import directory as directory_lib
from jasperweir.components.directory import records
from jasperweir.components.quorum import messages as quorum_messages
from jasperweir.helpers import codec
from jasperweir.helpers import hashing

Actions = list[Any]


class Unconfirmed(NamedTuple):
    """Action: tell a caller of control that nobody can confirm it now."""

    number: int


class Acknowledged(NamedTuple):
    """Action: tell a target that its leaving is known."""

    number: int


class Heard(NamedTuple):
    """A node's record and when it last beat."""

    node: records.Node
    at: float


class Asked(NamedTuple):
    """A question's number and what is to be done for it now."""

    number: int
    acts: Actions


class Leader(NamedTuple):
    """Name of a leading control VM, or empty, and the term of its lead."""

    name: str
    term: int


class Facts(NamedTuple):
    """What a control VM's log says, for its beats.

    Attributes:
        version: Newest committed configuration version.
        certain: Whether no newer one can be committed anywhere.
        leader: Name of the control VM that leads, or empty.
        term: Term of that lead.
        seats: Members of the log.
    """

    version: int
    certain: bool
    leader: str
    term: int
    seats: quorum_messages.Seats


class Roster:
    """Who is there, and what is told to whom.

    Attributes:
        directory: Targets, as announced here and at other control VMs.
        controls: Names of all control VMs known, with when they were heard.
    """

    def __init__(
        self,
        *,
        name: str,
        place: str,
        seeds: tuple[str, ...],
        numbers: "itertools.count[int]",
    ) -> None:
        self.directory = directory_lib.Directory()
        self.controls: dict[str, float] = {}
        self._name = name
        self._place = place
        self._seeds = seeds
        self._numbers = numbers
        self._seats = quorum_messages.Seats()
        # Whom each other control VM takes for the leader.
        self._leaders: dict[str, Leader] = {}
        self._news: dict[int, float] = {}
        self._nodes: dict[str, Heard] = {}
        self._open_nodes: tuple[records.Node, ...] = ()
        self._nodes_digest = 0
        self._beat_at = 0.0
        self._refresh_at = 0.0

    # Targets.

    def announce(self, target: records.Target, now: float) -> Asked:
        """Take in a target's heartbeat; Acknowledged follows."""
        before = self.directory.get(target.target_id)
        changed = self.directory.merge(target, now)
        after = self.directory.get(target.target_id)
        number = next(self._numbers)
        if after is None or not changed:
            return Asked(number, [Acknowledged(number=number)])
        known = before is not None and before.presence is after.presence
        return self._spread(after, now, wait=not known)

    def deregister(self, target_id: str, now: float) -> Asked:
        """Note that a target has gone; Acknowledged follows."""
        return self._spread(
            self.directory.leave(target_id, now), now, wait=True
        )

    # Inputs.

    def tick(self, facts: Facts, now: float) -> Actions:
        """Let time pass."""
        self._seats = facts.seats
        self.directory.tick(now)
        out = self._expire_news(now)
        if now >= self._beat_at:
            self._beat_at = now + const.BEAT_SECONDS
            out += self._beats(facts, now)
        return out

    def receive(self, src: str, msg: Any, facts: Facts, now: float) -> Actions:
        """Handle a message of another control VM, an entry or an agent."""
        match msg:
            case records.ControlBeat():
                return self._on_control_beat(src, msg, now)
            case records.NodeBeat():
                return self._on_node_beat(src, msg, facts, now)
            case records.Targets():
                return self._on_targets(msg, now)
            case records.News():
                return self._on_news(src, msg, now)
            case records.NewsAck():
                if self._news.pop(msg.number, None) is not None:
                    return [Acknowledged(number=msg.number)]
        return []

    def restore(self, side: bytes, now: float) -> None:
        """Take up what was announced before a restart."""
        known = codec.unpack(side, records.Targets)
        for target in known.targets:
            self.directory.merge(target, now)

    # Queries.

    def side_state(self, now: float) -> bytes:
        """Return what may be lost, but makes a restart quicker."""
        return codec.pack(self._all_targets(now))

    def peers(self) -> list[str]:
        """Return the names of the other control VMs."""
        names = dict.fromkeys(self._seeds)
        names.update(dict.fromkeys(self.controls))
        names.update({s.name: None for s in self._seats.seats})
        names.pop(self._name, None)
        return list(names)

    def heard_leader(self, now: float) -> Leader:
        """Return the newest leader that other control VMs tell of."""
        told = [
            leader
            for name, leader in self._leaders.items()
            if leader.name
            and now - self.controls[name] < const.CONTROL_SILENT_SECONDS
        ]
        return max(told, key=lambda leader: leader.term, default=Leader("", 0))

    def node_names(self) -> list[str]:
        """Return the names of all entries and agents that beat here."""
        return list(self._nodes)

    def nodes(self, kind: str, now: float) -> list[records.Node]:
        """Return the nodes of a kind that beat here."""
        silent_s = directory_const.NODE_SILENT_SECONDS
        if kind == directory_const.KIND_AGENT:
            silent_s = directory_const.AGENT_SILENT_SECONDS
        return [
            heard.node
            for heard in self._nodes.values()
            if heard.node.kind == kind and now - heard.at < silent_s
        ]

    # Other control VMs and nodes.

    def _beats(self, facts: Facts, now: float) -> Actions:
        self._refresh_nodes(now)
        full = now >= self._refresh_at
        if full:
            self._refresh_at = now + const.REFRESH_SECONDS
        beat = self._beat(facts, now)
        peers = self.peers()
        out: Actions = [core.Send(dst=name, msg=beat) for name in peers]
        if full:
            targets = self._all_targets(now)
            names = [*peers, *self._routing_nodes()]
            out += [core.Send(dst=name, msg=targets) for name in names]
        return out

    def _beat(self, facts: Facts, now: float) -> records.ControlBeat:
        controls = [
            name
            for name, at in self.controls.items()
            if now - at < const.CONTROL_SILENT_SECONDS
        ]
        seats = [seat.name for seat in facts.seats.seats]
        names = dict.fromkeys([self._name, *seats, *controls])
        return records.ControlBeat(
            place=self._place,
            version=facts.version,
            certain=facts.certain,
            digest=self.directory.digest,
            controls=tuple(names),
            nodes_digest=self._nodes_digest,
            leader=facts.leader,
            term=facts.term,
        )

    def _on_control_beat(
        self, src: str, msg: records.ControlBeat, now: float
    ) -> Actions:
        self.controls[src] = now
        self._leaders[src] = Leader(msg.leader, msg.term)
        for name in msg.controls:
            self.controls.setdefault(name, float("-inf"))
        if msg.digest == self.directory.digest:
            return []
        return [core.Send(dst=src, msg=self._all_targets(now))]

    def _on_node_beat(
        self, src: str, msg: records.NodeBeat, facts: Facts, now: float
    ) -> Actions:
        known = self._nodes.get(src)
        if known is not None and _older(msg.node, known.node):
            return []
        self._nodes[src] = Heard(node=msg.node, at=now)
        out: Actions = []
        if known is None or known.node.open != msg.node.open:
            self._refresh_nodes(now)
            out += self._tell_nodes()
        out.append(core.Send(dst=src, msg=self._beat(facts, now)))
        routes = msg.node.kind == directory_const.KIND_ENTRY
        if routes and msg.digest != self.directory.digest:
            out.append(core.Send(dst=src, msg=self._all_targets(now)))
        if msg.nodes_digest != self._nodes_digest and msg.node.open:
            out.append(core.Send(dst=src, msg=self._node_list()))
        return out

    def _refresh_nodes(self, now: float) -> None:
        for name, heard in list(self._nodes.items()):
            if now - heard.at > directory_const.NODE_FORGET_SECONDS:
                del self._nodes[name]
        entries = self.nodes(directory_const.KIND_ENTRY, now)
        self._open_nodes = tuple(
            sorted(
                node._replace(sequence=0, incarnation=0)
                for node in entries
                if node.open
            )
        )
        digest = hashing.checksum(codec.pack(self._open_nodes))
        self._nodes_digest = digest >> 1

    def _tell_nodes(self) -> Actions:
        nodes = self._node_list()
        return [
            core.Send(dst=name, msg=nodes) for name in self._routing_nodes()
        ]

    def _node_list(self) -> records.Nodes:
        return records.Nodes(digest=self._nodes_digest, nodes=self._open_nodes)

    def _all_targets(self, now: float) -> records.Targets:
        return records.Targets(
            digest=self.directory.digest,
            targets=tuple(self.directory.targets()),
            ages=tuple(round(a, 1) for a in self.directory.ages(now)),
        )

    def _on_targets(self, msg: records.Targets, now: float) -> Actions:
        out: Actions = []
        for target, age in zip(msg.targets, msg.ages, strict=False):
            if self.directory.merge(target, now, age):
                out += self._tell_of(target.target_id)
        return out

    def _on_news(self, src: str, msg: records.News, now: float) -> Actions:
        out: Actions = []
        if self.directory.merge(msg.target, now):
            out += self._tell_of(msg.target.target_id)
        if msg.number:
            ack = records.NewsAck(number=msg.number)
            out.append(core.Send(dst=src, msg=ack))
        return out

    def _tell_of(self, target_id: str) -> Actions:
        target = self.directory.get(target_id)
        if target is None:
            return []
        news = records.News(target=target)
        return [core.Send(dst=name, msg=news) for name in self._routing_nodes()]

    def _routing_nodes(self) -> list[str]:
        """Return the entries that beat here; agents route nothing."""
        return [
            name
            for name, heard in self._nodes.items()
            if heard.node.kind == directory_const.KIND_ENTRY
        ]

    def _spread(
        self, target: records.Target, now: float, *, wait: bool
    ) -> Asked:
        number = next(self._numbers)
        out = self._tell_of(target.target_id)
        news = records.News(target=target, number=number if wait else 0)
        peers = self.peers()
        out += [core.Send(dst=name, msg=news) for name in peers]
        if wait and peers:
            self._news[number] = now + const.NEWS_SECONDS
        else:
            out.append(Acknowledged(number=number))
        return Asked(number, out)

    def _expire_news(self, now: float) -> Actions:
        late = [n for n, until in self._news.items() if now >= until]
        for number in late:
            del self._news[number]
        return [Unconfirmed(number=number) for number in late]


def _older(new: records.Node, known: records.Node) -> bool:
    same = new.incarnation == known.incarnation
    return same and new.sequence < known.sequence
