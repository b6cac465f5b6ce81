"""Sans-I/O core of a control VM that keeps whole configurations."""

import dataclasses
import itertools
from typing import Any
from typing import NamedTuple

from jasperweir import core
from jasperweir.components.configctl import const
from jasperweir.components.configctl import messages
from jasperweir.components.configctl import seats as seats_lib
from jasperweir.components.directory import const as directory_const
from jasperweir.components.directory import directory as directory_lib
from jasperweir.components.directory import records
from jasperweir.components.quorum import actions
from jasperweir.components.quorum import const as quorum_const
from jasperweir.components.quorum import messages as quorum_messages
from jasperweir.components.quorum import voter as voter_lib
from jasperweir.components.registry import machine as machine_lib
from jasperweir.components.registry import ops
from jasperweir.helpers import codec
from jasperweir.helpers import hashing

Actions = list[Any]


class Replaced(NamedTuple):
    """Action: tell an operator that its configuration is committed."""

    number: int
    version: int


class Described(NamedTuple):
    """Action: give an operator the newest configuration."""

    number: int
    declared: ops.Declared


class Unconfirmed(NamedTuple):
    """Action: tell a caller of control that nobody can confirm it now."""

    number: int


class Acknowledged(NamedTuple):
    """Action: tell a target that its leaving is known."""

    number: int


class NewVersion(NamedTuple):
    """Action: a version has come into force here."""

    version: int


@dataclasses.dataclass(kw_only=True, slots=True)
class Pending:
    """A question that waits for the leader's answer.

    Attributes:
        ask: The question in the form in which it goes to a leader.
        until: When it is given up, monotonic seconds.
        sent_to: Leader that has it, with the time, for sending it again.
    """

    ask: messages.ReplaceAsk | messages.ReadAsk
    until: float
    sent_to: str = ""
    sent_at: float = 0.0


class Waiting(NamedTuple):
    """Somebody who waits until an operation is committed."""

    src: str
    number: int


class Heard(NamedTuple):
    """A node's record and when it last beat."""

    node: records.Node
    at: float


class ConfigNode:
    """Replicated configuration, its reads, seats and the directory.

    Attributes:
        voter: Member of the replicated log.
        machine: What is committed.
        directory: Targets, as announced here and at other control VMs.
        controls: Names of all control VMs known, with when they were heard.
    """

    def __init__(
        self,
        *,
        name: str,
        place: str,
        voter: voter_lib.Voter,
        seeds: tuple[str, ...],
        wanted_seats: int,
    ) -> None:
        self.name = name
        self.place = place
        self.voter = voter
        self.machine = machine_lib.Machine()
        self.directory = directory_lib.Directory()
        self.controls: dict[str, float] = {}
        self._seeds = tuple(seed for seed in seeds if seed != name)
        self._wanted = wanted_seats
        self._numbers = itertools.count(1)
        self._pending: dict[int, Pending] = {}
        self._waiting: dict[str, list[Waiting]] = {}
        self._news: dict[int, float] = {}
        self._applicants: dict[str, seats_lib.Applicant] = {}
        self._nodes: dict[str, Heard] = {}
        self._open_nodes: tuple[records.Node, ...] = ()
        self._nodes_digest = 0
        self._beat_at = 0.0
        self._refresh_at = 0.0
        self._hello_at = 0.0
        if voter.snapshot.idx:
            self.machine.load(voter.snapshot.data)

    # Questions of operators and targets.

    def replace(self, version: int, data: bytes, now: float) -> "Asked":
        """Commit a configuration; a Replaced or Unconfirmed follows."""
        number = next(self._numbers)
        ask = messages.ReplaceAsk(number=number, version=version, data=data)
        return self._ask(number, ask, now)

    def describe(self, now: float) -> "Asked":
        """Read the newest; a Described or Unconfirmed follows."""
        number = next(self._numbers)
        held = self.machine.declared().version
        return self._ask(
            number, messages.ReadAsk(number=number, held=held), now
        )

    def announce(self, target: records.Target, now: float) -> "Asked":
        """Take in a target's heartbeat; Acknowledged follows."""
        before = self.directory.get(target.target_id)
        changed = self.directory.merge(target, now)
        after = self.directory.get(target.target_id)
        number = next(self._numbers)
        if after is None or not changed:
            return Asked(number, [Acknowledged(number=number)])
        known = before is not None and before.presence is after.presence
        return self._spread(after, now, wait=not known)

    def deregister(self, target_id: str, now: float) -> "Asked":
        """Note that a target has gone; Acknowledged follows."""
        return self._spread(
            self.directory.leave(target_id, now), now, wait=True
        )

    # Inputs.

    def tick(self, now: float) -> Actions:
        """Let time pass."""
        out = self._absorb(self.voter.tick(now), now)
        self.directory.tick(now)
        out += self._drive_seats(now)
        out += self._drive_pending(now)
        out += self._expire_news(now)
        if now >= self._beat_at:
            self._beat_at = now + const.BEAT_SECONDS
            out += self._beats(now)
        if not self.voter.is_voting and now >= self._hello_at:
            self._hello_at = now + quorum_const.HELLO_SECONDS
            hello = quorum_messages.Hello(disk=self.voter.disk, addr=self.name)
            out += [core.Send(dst=n, msg=hello) for n in self.peers()]
        return out + self._compact()

    def receive(self, src: str, msg: Any, now: float) -> Actions:
        """Handle a message from any process."""
        match msg:
            case records.ControlBeat():
                return self._on_control_beat(src, msg, now)
            case records.NodeBeat():
                return self._on_node_beat(src, msg, now)
            case records.Targets():
                return self._on_targets(msg, now)
            case records.News():
                return self._on_news(src, msg, now)
            case records.NewsAck():
                if self._news.pop(msg.number, None) is not None:
                    return [Acknowledged(number=msg.number)]
                return []
            case messages.ReplaceAsk():
                return self._on_replace_ask(src, msg, now)
            case messages.ReadAsk():
                return self._on_read_ask(src, msg, now)
            case messages.ReplaceAnswer() | messages.ReadAnswer():
                return self._on_answer(msg)
            case messages.Pull():
                return self._on_pull(src, msg)
            case quorum_messages.Hello():
                self._applicants[src] = seats_lib.Applicant(
                    name=src, disk=msg.disk, addr=msg.addr, asked_at=now
                )
        if type(msg).__module__ == quorum_messages.__name__:
            return self._absorb(self.voter.receive(src, msg, now), now)
        return []

    def restore(self, commit_hint: int, side: bytes, now: float) -> Actions:
        """Take up what was committed and announced before a restart.

        Args:
            commit_hint: Index up to which the log was committed.
            side: What ``side_state`` returned, or nothing.
            now: Monotonic seconds.
        """
        if side:
            known = codec.unpack(side, records.Targets)
            for target in known.targets:
                self.directory.merge(target, now)
        return self._absorb(self.voter.restore_commit(commit_hint), now)

    def side_state(self, now: float) -> bytes:
        """Return what may be lost, but makes a restart quicker."""
        return codec.pack(self._all_targets(now))

    def bootstrap(self) -> Actions:
        """Found a new log with this disk as its only member."""
        return self.voter.bootstrap(self.name)

    def hand_over(self, now: float) -> Actions:
        """Give the lead to another member before a planned stop."""
        return self._absorb(self.voter.hand_over(now), now)

    def peers(self) -> list[str]:
        """Return the names of the other control VMs."""
        names = dict.fromkeys(self._seeds)
        names.update(dict.fromkeys(self.controls))
        names.update({s.name: None for s in self.voter.seats.seats})
        names.pop(self.name, None)
        return list(names)

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

    # Questions and their way to the leader.

    def _ask(
        self, number: int, ask: messages.ReplaceAsk | messages.ReadAsk,
        now: float,
    ) -> "Asked":  # fmt: skip
        until = now + const.ANSWER_SECONDS
        self._pending[number] = Pending(ask=ask, until=until)
        return Asked(number, self._drive_pending(now))

    def _drive_pending(self, now: float) -> Actions:
        out: Actions = []
        leader = self.voter.leader
        for number, pending in list(self._pending.items()):
            if now >= pending.until:
                del self._pending[number]
                out.append(Unconfirmed(number=number))
                continue
            due = now - pending.sent_at > const.RESEND_SECONDS
            if not leader or (pending.sent_to == leader and not due):
                continue
            pending.sent_to = leader
            pending.sent_at = now
            if leader != self.name:
                out.append(core.Send(dst=leader, msg=pending.ask))
                continue
            match pending.ask:
                case messages.ReplaceAsk():
                    out += self._on_replace_ask(self.name, pending.ask, now)
                case messages.ReadAsk():
                    out += self._on_read_ask(self.name, pending.ask, now)
        return out

    def _on_replace_ask(
        self, src: str, msg: messages.ReplaceAsk, now: float
    ) -> Actions:
        if self.voter.read_index(now) is None:
            return []
        held = self.machine.declared().version
        if msg.version <= held:
            answer = messages.ReplaceAnswer(number=msg.number, version=held)
            return self._answer(src, answer)
        if not self._enough_seats():
            return []
        digest = hashing.checksum(msg.data)
        op_id = f"replace/{msg.version}/{digest:x}"
        waiting = Waiting(src=src, number=msg.number)
        waiters = self._waiting.setdefault(op_id, [])
        if waiting in waiters:
            return []
        waiters.append(waiting)
        if len(waiters) > 1:
            return []
        op = ops.Replace(version=msg.version, data=msg.data)
        req = ops.Request(
            op_id=op_id, who=src, at=0.0, body=codec.pack_tagged(op)
        )
        index, out = self.voter.propose(codec.pack(req), now)
        if not index:
            del self._waiting[op_id]
        return self._absorb(out, now)

    def _on_read_ask(
        self, src: str, msg: messages.ReadAsk, now: float
    ) -> Actions:
        if self.voter.read_index(now) is None:
            return []
        declared = self.machine.declared()
        if not declared.version:
            return []
        data = b"" if msg.held == declared.version else declared.data
        answer = messages.ReadAnswer(
            number=msg.number, version=declared.version, data=data
        )
        return self._answer(src, answer)

    def _answer(
        self, dst: str, answer: messages.ReplaceAnswer | messages.ReadAnswer
    ) -> Actions:
        if dst == self.name:
            return self._on_answer(answer)
        return [core.Send(dst=dst, msg=answer)]

    def _on_answer(
        self, msg: messages.ReplaceAnswer | messages.ReadAnswer
    ) -> Actions:
        pending = self._pending.get(msg.number)
        if pending is None:
            return []
        match msg:
            case messages.ReplaceAnswer():
                del self._pending[msg.number]
                return [Replaced(number=msg.number, version=msg.version)]
            case messages.ReadAnswer():
                declared = ops.Declared(version=msg.version, data=msg.data)
                if not msg.data:
                    declared = self.machine.declared()
                if declared.version < msg.version:
                    return []
                del self._pending[msg.number]
                return [Described(number=msg.number, declared=declared)]

    def _enough_seats(self) -> bool:
        voting = [s for s in self.voter.seats.seats if s.voting]
        return len(voting) >= min(self._wanted, 1 + len(self._seeds))

    # Committed entries.

    def _absorb(self, acts: Actions, now: float) -> Actions:
        out: Actions = []
        for act in acts:
            match act:
                case actions.Commit():
                    out += self._apply(act.entries)
                case actions.Restore():
                    before = self.machine.declared().version
                    self.machine.load(act.snapshot.data)
                    out += self._version_news(before)
                case actions.RoleChanged():
                    if act.role != voter_lib.LEADER:
                        self._waiting.clear()
                    out.append(act)
                case _:
                    out.append(act)
        return out

    def _apply(self, entries: tuple[quorum_messages.Entry, ...]) -> Actions:
        out: Actions = []
        before = self.machine.declared().version
        for entry in entries:
            if entry.kind != quorum_const.KIND_OP:
                self.machine.skip(entry.idx)
                continue
            answer = self.machine.apply(entry.idx, entry.data)
            op_id = codec.unpack(entry.data, ops.Request).op_id
            for waiting in self._waiting.pop(op_id, ()):
                reply = messages.ReplaceAnswer(
                    number=waiting.number, version=answer.version
                )
                out += self._answer(waiting.src, reply)
        # Nodes are told first, then the operator's answer leaves.
        return self._version_news(before) + out

    def _version_news(self, before: int) -> Actions:
        version = self.machine.declared().version
        if version <= before:
            return []
        news = messages.VersionNews(version=version)
        out: Actions = [NewVersion(version=version)]
        out += [core.Send(dst=name, msg=news) for name in self._nodes]
        return out

    def _on_pull(self, src: str, msg: messages.Pull) -> Actions:
        declared = self.machine.declared()
        if declared.version <= msg.held:
            return []
        content = messages.Content(version=declared.version, data=declared.data)
        return [core.Send(dst=src, msg=content)]

    def _compact(self) -> Actions:
        if len(self.voter.log) < const.COMPACT_ENTRIES:
            return []
        applied = self.machine.table.revision
        return self.voter.compact(applied, self.machine.dump())

    # Seats.

    def _drive_seats(self, now: float) -> Actions:
        if not self.voter.has_lease(now):
            return []
        heard_at = {}
        for seat in self.voter.seats.seats:
            progress = self.voter.progress_of(seat.name)
            if progress is not None:
                since = self.voter.led_since
                heard_at[seat.name] = max(progress.acked_at, since)
        change = seats_lib.next_seats(
            seats=self.voter.seats,
            applicants=list(self._applicants.values()),
            heard_at=heard_at,
            wanted=self._wanted,
            now=now,
        )
        if change is None:
            return []
        _, out = self.voter.change_seats(change, now)
        return self._absorb(out, now)

    # Other control VMs and nodes.

    def _beats(self, now: float) -> Actions:
        self._refresh_nodes(now)
        full = now >= self._refresh_at
        if full:
            self._refresh_at = now + const.REFRESH_SECONDS
        beat = self._beat(now)
        out: Actions = [core.Send(dst=name, msg=beat) for name in self.peers()]
        if full:
            targets = self._all_targets(now)
            names = [*self.peers(), *self._nodes]
            out += [core.Send(dst=name, msg=targets) for name in names]
        return out

    def _beat(self, now: float) -> records.ControlBeat:
        controls = [
            name
            for name, at in self.controls.items()
            if now - at < const.CONTROL_SILENT_SECONDS
        ]
        seats = [seat.name for seat in self.voter.seats.seats]
        names = dict.fromkeys([self.name, *seats, *controls])
        return records.ControlBeat(
            place=self.place,
            version=self.machine.declared().version,
            certain=self.voter.read_index(now) is not None,
            digest=self.directory.digest,
            controls=tuple(names),
            nodes_digest=self._nodes_digest,
            leader=self.voter.leader,
            term=self.voter.term,
        )

    def _on_control_beat(
        self, src: str, msg: records.ControlBeat, now: float
    ) -> Actions:
        self.controls[src] = now
        for name in msg.controls:
            self.controls.setdefault(name, float("-inf"))
        if msg.digest == self.directory.digest:
            return []
        return [core.Send(dst=src, msg=self._all_targets(now))]

    def _on_node_beat(
        self, src: str, msg: records.NodeBeat, now: float
    ) -> Actions:
        known = self._nodes.get(src)
        if known is not None and _older(msg.node, known.node):
            return []
        self._nodes[src] = Heard(node=msg.node, at=now)
        out: Actions = []
        if known is None or known.node.open != msg.node.open:
            self._refresh_nodes(now)
            out += self._tell_nodes()
        out.append(core.Send(dst=src, msg=self._beat(now)))
        if msg.digest != self.directory.digest:
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
            core.Send(dst=heard.node.name, msg=nodes)
            for heard in self._nodes.values()
            if heard.node.kind == directory_const.KIND_ENTRY
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
        return [core.Send(dst=name, msg=news) for name in self._nodes]

    def _spread(
        self, target: records.Target, now: float, *, wait: bool
    ) -> "Asked":
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


class Asked(NamedTuple):
    """A question's number and what is to be done for it now."""

    number: int
    acts: Actions
