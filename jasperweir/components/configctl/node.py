"""Sans-I/O core of a control VM that keeps whole configurations."""

import dataclasses
import itertools
from typing import Any
from typing import NamedTuple

from jasperweir import core
from jasperweir.components.configctl import const
from jasperweir.components.configctl import founding as founding_lib
from jasperweir.components.configctl import messages
from jasperweir.components.configctl import roster as roster_lib
from jasperweir.components.configctl import seats as seats_lib
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


class ConfigNode:
    """Replicated configuration, its reads, seats and the directory.

    Attributes:
        voter: Member of the replicated log.
        machine: What is committed.
        roster: Targets, entries, agents and other control VMs.
    """

    def __init__(
        self,
        *,
        name: str,
        place: str,
        voter: voter_lib.Voter,
        seeds: tuple[str, ...],
        wanted_seats: int,
        has_disk: bool = True,
    ) -> None:
        self.name = name
        self.voter = voter
        self.machine = machine_lib.Machine()
        self._wanted = wanted_seats
        voter.wanted_voters = wanted_seats
        # Without a disk it asks for no seat, and passes questions on.
        self._has_disk = has_disk
        self._founding: founding_lib.Founding | None = None
        others = tuple(seed for seed in seeds if seed != name)
        # Members without which nothing is taken in, even where the
        # deployment turns out to have fewer control VMs than are wanted.
        self._least = min(wanted_seats, 1 + len(others))
        self._numbers = itertools.count(1)
        self.roster = roster_lib.Roster(
            name=name,
            place=place,
            seeds=others,
            numbers=self._numbers,
            keeps_log=has_disk,
        )
        self._pending: dict[int, Pending] = {}
        self._waiting: dict[str, list[Waiting]] = {}
        self._applicants: dict[str, seats_lib.Applicant] = {}
        self._hello_at = 0.0
        if voter.snapshot.idx:
            self.machine.load(voter.snapshot.data)

    # Questions of operators and targets.

    def replace(
        self, version: int, data: bytes, now: float
    ) -> roster_lib.Asked:
        """Commit a configuration; a Replaced or Unconfirmed follows."""
        number = next(self._numbers)
        ask = messages.ReplaceAsk(number=number, version=version, data=data)
        return self._ask(number, ask, now)

    def describe(self, now: float) -> roster_lib.Asked:
        """Read the newest; a Described or Unconfirmed follows."""
        number = next(self._numbers)
        held = self.machine.declared().version
        return self._ask(
            number, messages.ReadAsk(number=number, held=held), now
        )

    # Inputs.

    def tick(self, now: float) -> Actions:
        """Let time pass."""
        out = self._absorb(self.voter.tick(now), now)
        out += self._drive_seats(now)
        out += self._drive_pending(now)
        out += self.roster.tick(self._facts(now), now)
        if self._founding is not None:
            out += self._drive_founding(self._founding, now)
        if self._has_disk and self._may_lack_seat:
            out += self._ask_for_seat(now)
        return out + self._compact()

    def receive(self, src: str, msg: Any, now: float) -> Actions:
        """Handle a message from any process."""
        match msg:
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
                if self._founding is not None:
                    self._founding.on_applicant(src)
            case messages.Found():
                return self._on_found()
        if type(msg).__module__ == quorum_messages.__name__:
            return self._absorb(self.voter.receive(src, msg, now), now)
        return self.roster.receive(src, msg, self._facts(now), now)

    def restore(self, commit_hint: int, side: bytes, now: float) -> Actions:
        """Take up what was committed and announced before a restart.

        Args:
            commit_hint: Index up to which the log was committed.
            side: What the roster's ``side_state`` returned, or nothing.
            now: Monotonic seconds.
        """
        if side:
            self.roster.restore(side, now)
        return self._absorb(self.voter.restore_commit(commit_hint), now)

    def begin_founding(self, *, decides: bool, now: float) -> None:
        """Take part in founding the log, at the system's first start."""
        self._founding = founding_lib.Founding(
            name=self.name, has_disk=self._has_disk, decides=decides, now=now
        )

    def _drive_founding(
        self, founding: founding_lib.Founding, now: float
    ) -> Actions:
        if not self._is_blank or self._leader(now).name:
            self._founding = None
            return []
        founder = founding.founder(now)
        if not founder:
            return []
        if founder == self.name:
            return self._on_found()
        return [core.Send(dst=founder, msg=messages.Found())]

    def _on_found(self) -> Actions:
        """Found a new log with this disk as its only member."""
        if self._founding is None or not self._is_blank:
            return []
        self._founding = None
        return self.voter.bootstrap(self.name)

    @property
    def _is_blank(self) -> bool:
        return not self.voter.log.last_index and not self.voter.term

    @property
    def _may_lack_seat(self) -> bool:
        """Whether it has no voting seat, or none any more.

        One that was cut off may have lost its seat meanwhile, and nobody tells
        it: it kept its old configuration for good.
        """
        return not self.voter.is_voting or not self.voter.leader

    def _ask_for_seat(self, now: float) -> Actions:
        if now < self._hello_at:
            return []
        self._hello_at = now + quorum_const.HELLO_SECONDS
        hello = quorum_messages.Hello(disk=self.voter.disk, addr=self.name)
        return [core.Send(dst=n, msg=hello) for n in self.roster.peers()]

    def _leader(self, now: float) -> roster_lib.Leader:
        """Return the leader, from other control VMs where no seat is held."""
        if self._has_disk:
            return roster_lib.Leader(self.voter.leader, self.voter.term)
        return self.roster.heard_leader(now)

    def _facts(self, now: float) -> roster_lib.Facts:
        leader = self._leader(now)
        return roster_lib.Facts(
            version=self.machine.declared().version,
            certain=self.voter.read_index(now) is not None,
            leader=leader.name,
            term=leader.term,
            seats=self.voter.seats,
        )

    def hand_over(self, now: float) -> Actions:
        """Give the lead to another member before a planned stop."""
        return self._absorb(self.voter.hand_over(now), now)

    # Questions and their way to the leader.

    def _ask(
        self, number: int, ask: messages.ReplaceAsk | messages.ReadAsk,
        now: float,
    ) -> roster_lib.Asked:  # fmt: skip
        until = now + const.ANSWER_SECONDS
        self._pending[number] = Pending(ask=ask, until=until)
        return roster_lib.Asked(number, self._drive_pending(now))

    def _drive_pending(self, now: float) -> Actions:
        out: Actions = []
        leader = self._leader(now).name
        for number, pending in list(self._pending.items()):
            if now >= pending.until:
                del self._pending[number]
                out.append(roster_lib.Unconfirmed(number=number))
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
        if not self._enough_seats(now):
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

    def _enough_seats(self, now: float) -> bool:
        """Tell whether the loss that is to be borne leaves a majority.

        The seeds name three control VMs at most, so the others are waited
        for; after a while there are none.
        """
        voting = [s for s in self.voter.seats.seats if s.voting]
        if len(voting) >= self._wanted:
            return True
        waited = now - self.voter.leader_since >= const.SEATS_WAIT_SECONDS
        return waited and len(voting) >= self._least

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
        out += [
            core.Send(dst=name, msg=news)
            for name in self.roster.nodes.entry_names()
        ]
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
                since = self.voter.leader_since
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
