"""Decisions of one voter: elections, leases, seats and the commit index."""

import random
from typing import Any

from jasperweir import core
from jasperweir.components.quorum import actions
from jasperweir.components.quorum import const
from jasperweir.components.quorum import log as log_lib
from jasperweir.components.quorum import messages
from jasperweir.components.quorum import progress as progress_lib
from jasperweir.components.quorum import replication
from jasperweir.helpers import codec

FOLLOWER = "follower"
CANDIDATE = "candidate"
LEADER = "leader"

Actions = list[Any]


class Voter:
    """Sans-I/O consensus member after Ongaro and Ousterhout (Raft, 2014).

    The driver performs the returned actions in order and never sends a
    message that follows a Save action before that save is synced.

    Attributes:
        role: One of the role constants of this module.
        term: Highest term seen.
        leader: Name of the known leader, or an empty string.
        commit: Index up to which entries are committed.
    """

    def __init__(
        self,
        *,
        name: str,
        recovered: messages.Recovered,
        rng: random.Random,
        now: float,
    ) -> None:
        self.name = name
        self.disk = recovered.disk
        self.term = recovered.meta.term
        self.voted_for = recovered.meta.voted_for
        self.log = _load_log(recovered)
        self.snapshot = recovered.snapshot
        self.commit = recovered.snapshot.idx
        self.seats_index = 0
        self.seats = recovered.snapshot.seats
        self.role = FOLLOWER
        self.leader = ""
        # A disk that may have lost an acknowledged entry gets no say until
        # a leader has caught it up.
        self.may_vote = not recovered.tail_uncertain
        self.waiting: dict[str, messages.Hello] = {}
        self._rng = rng
        self._replicator: replication.Replicator | None = None
        self._votes: set[str] = set()
        self._prevoting = False
        self._heard_at = float("-inf")
        self._started_at = now
        self._incoming = bytearray()
        self._incoming_index = 0
        self._handing_over = False
        self._deadline = 0.0
        self._reload_seats()
        self._rearm(now)

    # Queries.

    def seat(self, name: str) -> messages.Seat | None:
        """Return the seat held under a name."""
        for seat in self.seats.seats:
            if seat.name == name:
                return seat
        return None

    @property
    def is_voting(self) -> bool:
        """Whether this disk holds a voting seat."""
        seat = self.seat(self.name)
        return bool(seat and seat.voting and seat.disk == self.disk)

    def has_lease(self, now: float) -> bool:
        """Tell whether no other leader can exist at this moment."""
        if self.role != LEADER or self._replicator is None:
            return False
        if self._handing_over:
            return False
        heard = self._replicator.majority_heard_at(now)
        return now < heard + const.LEASE_SECONDS

    def read_index(self, now: float) -> int | None:
        """Return an index that covers all committed entries, or None.

        Only a leader with a lease that has committed in its own term knows.
        """
        if not self.has_lease(now) or not self._term_committed():
            return None
        return self.commit

    def progress_of(self, name: str) -> progress_lib.Progress | None:
        """Return a member's replication state, on the leader only."""
        if self._replicator is None:
            return None
        return self._replicator.peers.get(name)

    # Inputs.

    def bootstrap(self, addr: str) -> Actions:
        """Found a new log with this disk as its only voter.

        Raises:
            ValueError: The data folder already holds a log.
        """
        if self.log.last_index or self.term:
            raise ValueError("the data folder already holds a log")
        seat = messages.Seat(
            name=self.name, disk=self.disk, addr=addr, voting=True
        )
        entry = messages.Entry(
            idx=1,
            term=1,
            kind=const.KIND_SEATS,
            data=codec.pack(
                messages.Seats(
                    seats=(seat,), log_id=f"{self._rng.getrandbits(64):016x}"
                )
            ),
        )
        self.term = 1
        self.log.append((entry,))
        self._reload_seats()
        meta = messages.Meta(term=1, voted_for=self.name)
        self.voted_for = self.name
        return [
            actions.SaveMeta(meta=meta),
            actions.SaveEntries(first=1, entries=(entry,)),
        ]

    def tick(self, now: float) -> Actions:
        """Let time pass: heartbeats, lease loss and elections."""
        if self.role == LEADER:
            return self._tick_leader(now)
        if now < self._deadline or not self.is_voting:
            return []
        if not self.may_vote:
            self._rearm(now)
            return []
        return self._start_prevote(now)

    def receive(self, src: str, msg: Any, now: float) -> Actions:
        """Handle a message from another member."""
        match msg:
            case messages.Hello():
                self.waiting[src] = msg
                return []
            case messages.PreVote():
                return self._on_prevote(src, msg, now)
            case messages.PreVoteReply():
                return self._on_prevote_reply(src, msg, now)
            case messages.Vote():
                return self._on_vote(src, msg, now)
            case messages.VoteReply():
                return self._on_vote_reply(src, msg, now)
            case messages.Append() | messages.Install():
                return self._on_leader_message(src, msg, now)
            case messages.AppendReply() | messages.InstallReply():
                return self._on_replication_reply(src, msg, now)
            case messages.TimeoutNow():
                if msg.term == self.term and self.is_voting and self.may_vote:
                    return self._start_election(now, transfer=True)
                return []
        return []

    def propose(
        self, data: bytes, now: float, kind: str = const.KIND_OP
    ) -> tuple[int, Actions]:
        """Append an entry as the leader.

        Returns:
            The entry's index and the actions, or 0 and nothing if this is
            not a leader with a lease.
        """
        if not self.has_lease(now):
            return 0, []
        entry = messages.Entry(
            idx=self.log.last_index + 1, term=self.term, kind=kind, data=data
        )
        self.log.append((entry,))
        if kind == const.KIND_SEATS:
            self._reload_seats()
        out: Actions = [actions.SaveEntries(first=entry.idx, entries=(entry,))]
        out += self._advance_and_send(now)
        return entry.idx, out

    def change_seats(
        self, seats: messages.Seats, now: float
    ) -> tuple[int, Actions]:
        """Propose new seats, refused while another change is uncommitted."""
        if self.seats_index > self.commit or not self._term_committed():
            return 0, []
        return self.propose(codec.pack(seats), now, kind=const.KIND_SEATS)

    def compact(self, index: int, data: bytes) -> Actions:
        """Replace the committed log up to an index by a snapshot."""
        term = self.log.term_at(index)
        if term is None or index > self.commit:
            return []
        if index <= self.snapshot.idx:
            return []
        self.snapshot = messages.Snapshot(
            idx=index, term=term, seats=self._seats_at(index), data=data
        )
        self.log.compact(index, term)
        kept = self.log.between(index + 1, self.log.last_index)
        return [actions.SaveSnapshot(snapshot=self.snapshot, kept=kept)]

    def hand_over(self, now: float) -> Actions:
        """Give the lead to the most advanced voter, if it is caught up."""
        if self.role != LEADER or self._replicator is None:
            return []
        target = self._replicator.best_successor(now)
        if not target:
            return []
        # The successor may lead at any moment from here on, so the lease of
        # this term ends for good, even if the message is late.
        self._handing_over = True
        self._rearm(now)
        return [core.Send(dst=target, msg=messages.TimeoutNow(term=self.term))]

    # Elections.

    def _start_prevote(self, now: float) -> Actions:
        self._rearm(now)
        self.leader = ""
        self._prevoting = True
        self._votes = {self.name}
        if self._has_votes():
            return self._start_election(now, transfer=False)
        ask = messages.PreVote(
            term=self.term + 1,
            last_index=self.log.last_index,
            last_term=self.log.last_term,
            disk=self.disk,
        )
        return [core.Send(dst=name, msg=ask) for name in self._other_voters()]

    def _start_election(self, now: float, *, transfer: bool) -> Actions:
        self._rearm(now)
        self._prevoting = False
        self.term += 1
        self.voted_for = self.name
        self._votes = {self.name}
        out: Actions = [self._save_meta()]
        out += self._become(CANDIDATE, "")
        if self._has_votes():
            return out + self._lead(now)
        ask = messages.Vote(
            term=self.term,
            last_index=self.log.last_index,
            last_term=self.log.last_term,
            disk=self.disk,
            transfer=transfer,
        )
        out += [core.Send(dst=name, msg=ask) for name in self._other_voters()]
        return out

    def _on_prevote(
        self, src: str, msg: messages.PreVote, now: float
    ) -> Actions:
        granted = (
            self._known(src, msg.disk)
            and self.may_vote
            and msg.term > self.term
            and not self._leader_alive(now)
            and self._up_to_date(msg.last_index, msg.last_term)
        )
        reply = messages.PreVoteReply(
            term=msg.term if granted else self.term,
            granted=granted,
            disk=self.disk,
        )
        return [core.Send(dst=src, msg=reply)]

    def _on_prevote_reply(
        self, src: str, msg: messages.PreVoteReply, now: float
    ) -> Actions:
        if not msg.granted:
            if msg.term > self.term:
                return self._follow(msg.term, "", now)
            return []
        if not self._prevoting or msg.term != self.term + 1:
            return []
        if not self._known(src, msg.disk):
            return []
        self._votes.add(src)
        if not self._has_votes():
            return []
        return self._start_election(now, transfer=False)

    def _on_vote(self, src: str, msg: messages.Vote, now: float) -> Actions:
        if not self._known(src, msg.disk):
            return []
        if self._leader_alive(now) and not msg.transfer:
            # A live leader is not to be deposed by a member that lost it.
            return []
        out: Actions = []
        if msg.term > self.term:
            out += self._follow(msg.term, "", now)
        granted = (
            msg.term == self.term
            and self.may_vote
            and self.voted_for in ("", src)
            and self._up_to_date(msg.last_index, msg.last_term)
        )
        if granted:
            self.voted_for = src
            self._rearm(now)
            out.append(self._save_meta())
        reply = messages.VoteReply(
            term=self.term, granted=granted, disk=self.disk
        )
        out.append(core.Send(dst=src, msg=reply))
        return out

    def _on_vote_reply(
        self, src: str, msg: messages.VoteReply, now: float
    ) -> Actions:
        if msg.term > self.term:
            return self._follow(msg.term, "", now)
        if self.role != CANDIDATE or msg.term != self.term:
            return []
        if not msg.granted or not self._known(src, msg.disk):
            return []
        self._votes.add(src)
        if not self._has_votes():
            return []
        return self._lead(now)

    def _lead(self, now: float) -> Actions:
        self._replicator = replication.Replicator(
            name=self.name, log=self.log, now=now
        )
        self._replicator.reseat(self.seats)
        out = self._become(LEADER, self.name)
        entry = messages.Entry(
            idx=self.log.last_index + 1,
            term=self.term,
            kind=const.KIND_NOOP,
            data=b"",
        )
        self.log.append((entry,))
        out.append(actions.SaveEntries(first=entry.idx, entries=(entry,)))
        return out + self._advance_and_send(now)

    # Leading.

    def _tick_leader(self, now: float) -> Actions:
        assert self._replicator is not None
        if self._replicator.quorum_lost(now):
            # Check-quorum: an isolated leader stops believing in itself.
            return self._follow(self.term, "", now)
        if self._handing_over and now >= self._deadline:
            return self._follow(self.term, "", now)
        out = self._replicator.tick(now, self.term, self.commit, self.snapshot)
        return out + self._promote(now)

    def _promote(self, now: float) -> Actions:
        assert self._replicator is not None
        for seat in self.seats.seats:
            if seat.voting:
                continue
            peer = self._replicator.peers.get(seat.name)
            if peer is None:
                continue
            lag = self.log.last_index - peer.match
            if peer.match == 0 or lag > const.PROMOTE_LAG_ENTRIES:
                continue
            seats = self.seats._replace(
                seats=tuple(
                    s._replace(voting=True) if s.name == seat.name else s
                    for s in self.seats.seats
                )
            )
            return self.change_seats(seats, now)[1]
        return []

    def _on_replication_reply(
        self,
        src: str,
        msg: messages.AppendReply | messages.InstallReply,
        now: float,
    ) -> Actions:
        if msg.term > self.term:
            return self._follow(msg.term, "", now)
        if self.role != LEADER or msg.term != self.term:
            return []
        if self._replicator is None or not self._known(src, msg.disk):
            return []
        self._replicator.answered(src, msg)
        return self._advance_and_send(now)

    def _advance_and_send(self, now: float) -> Actions:
        assert self._replicator is not None
        index = self._replicator.committable(self.is_voting)
        out: Actions = []
        # Only an entry of the own term may be counted; older ones follow.
        if index > self.commit and self.log.term_at(index) == self.term:
            out += self._commit_to(index)
        out += self._replicator.send_due(
            now, self.term, self.commit, self.snapshot
        )
        if not self.seat(self.name) and self._term_committed():
            out += self._follow(self.term, "", now)
        return out

    # Following.

    def _on_leader_message(
        self, src: str, msg: messages.Append | messages.Install, now: float
    ) -> Actions:
        if msg.term < self.term:
            reply = messages.AppendReply(
                term=self.term, ok=False, match=0, round=0, disk=self.disk
            )
            return [core.Send(dst=src, msg=reply)]
        out: Actions = []
        if msg.term > self.term or self.role != FOLLOWER:
            out += self._follow(msg.term, src, now)
        elif self.leader != src:
            self.leader = src
            out.append(self._role_changed())
        self._heard_at = now
        self._rearm(now)
        if isinstance(msg, messages.Install):
            return out + self._on_install(src, msg)
        return out + self._on_append(src, msg)

    def _on_append(self, src: str, msg: messages.Append) -> Actions:
        if not self._matches(msg.prev_index, msg.prev_term):
            hint = min(msg.prev_index - 1, self.log.last_index)
            return [self._append_reply(src, ok=False, match=hint, msg=msg)]
        out = self._merge(msg.entries)
        match = msg.prev_index + len(msg.entries)
        if match >= msg.last:
            self.may_vote = True
        commit = min(msg.commit, match)
        out.append(self._append_reply(src, ok=True, match=match, msg=msg))
        if commit > self.commit:
            out += self._commit_to(commit)
        return out

    def _append_reply(
        self, src: str, *, ok: bool, match: int, msg: messages.Append
    ) -> core.Send:
        reply = messages.AppendReply(
            term=self.term,
            ok=ok,
            match=max(match, 0),
            round=msg.round,
            disk=self.disk,
        )
        return core.Send(dst=src, msg=reply)

    def _matches(self, index: int, term: int) -> bool:
        if index < self.log.base_index:
            return True
        return self.log.term_at(index) == term

    def _merge(self, entries: tuple[messages.Entry, ...]) -> Actions:
        fresh = tuple(e for e in entries if self.log.term_at(e.idx) != e.term)
        fresh = tuple(e for e in fresh if e.idx > self.log.base_index)
        if not fresh:
            return []
        # Everything from the first conflicting entry on is replaced.
        first = fresh[0].idx
        tail = tuple(e for e in entries if e.idx >= first)
        replaced = first <= self.log.last_index
        if replaced:
            self.log.truncate(first)
        self.log.append(tail)
        if replaced or any(e.kind == const.KIND_SEATS for e in tail):
            self._reload_seats()
        return [actions.SaveEntries(first=first, entries=tail)]

    def _on_install(self, src: str, msg: messages.Install) -> Actions:
        if msg.offset == 0 or msg.idx != self._incoming_index:
            self._incoming.clear()
            self._incoming_index = msg.idx
        if msg.offset == len(self._incoming):
            self._incoming += msg.data
        reply = messages.InstallReply(
            term=self.term,
            idx=msg.idx,
            held=len(self._incoming),
            round=msg.round,
            disk=self.disk,
        )
        send = core.Send(dst=src, msg=reply)
        if len(self._incoming) < msg.total or msg.idx <= self.commit:
            return [send]
        self.snapshot = messages.Snapshot(
            idx=msg.idx,
            term=msg.entry_term,
            seats=msg.seats,
            data=bytes(self._incoming),
        )
        self._incoming.clear()
        self.log.compact(msg.idx, msg.entry_term)
        self.commit = msg.idx
        self._reload_seats()
        kept = self.log.between(msg.idx + 1, self.log.last_index)
        return [
            actions.SaveSnapshot(snapshot=self.snapshot, kept=kept),
            actions.Restore(snapshot=self.snapshot),
            send,
        ]

    # Shared steps.

    def _follow(self, term: int, leader: str, now: float) -> Actions:
        out: Actions = []
        if term > self.term:
            self.term = term
            self.voted_for = ""
            out.append(self._save_meta())
        self._prevoting = False
        self._handing_over = False
        self._replicator = None
        self._rearm(now)
        return out + self._become(FOLLOWER, leader)

    def _become(self, role: str, leader: str) -> Actions:
        if (role, leader) == (self.role, self.leader):
            return []
        self.role = role
        self.leader = leader
        return [self._role_changed()]

    def _role_changed(self) -> actions.RoleChanged:
        return actions.RoleChanged(
            role=self.role, term=self.term, leader=self.leader
        )

    def _save_meta(self) -> actions.SaveMeta:
        meta = messages.Meta(term=self.term, voted_for=self.voted_for)
        return actions.SaveMeta(meta=meta)

    def _commit_to(self, index: int) -> Actions:
        entries = self.log.between(self.commit + 1, index)
        self.commit = index
        return [actions.Commit(entries=entries)]

    def _term_committed(self) -> bool:
        return self.log.term_at(self.commit) == self.term

    def _up_to_date(self, last_index: int, last_term: int) -> bool:
        mine = (self.log.last_term, self.log.last_index)
        return (last_term, last_index) >= mine

    def _known(self, name: str, disk: str) -> bool:
        seat = self.seat(name)
        return seat is not None and seat.disk == disk

    def _other_voters(self) -> list[str]:
        return [
            seat.name
            for seat in progress_lib.voters(self.seats)
            if seat.name != self.name
        ]

    def _has_votes(self) -> bool:
        names = {seat.name for seat in progress_lib.voters(self.seats)}
        needed = progress_lib.majority(len(names))
        return len(self._votes & names) >= needed

    def _leader_alive(self, now: float) -> bool:
        if self.role == LEADER:
            return self.has_lease(now)
        # A restarted voter may have promised a lease that it forgot.
        heard = max(self._heard_at, self._started_at)
        return now < heard + const.ELECTION_MIN_SECONDS

    def _rearm(self, now: float) -> None:
        self._deadline = now + self._rng.uniform(
            const.ELECTION_MIN_SECONDS, const.ELECTION_MAX_SECONDS
        )

    def _reload_seats(self) -> None:
        self.seats = self.snapshot.seats
        self.seats_index = self.snapshot.idx
        for entry in self.log.between(
            self.log.base_index + 1, self.log.last_index
        ):
            if entry.kind == const.KIND_SEATS:
                self.seats = codec.unpack(entry.data, messages.Seats)
                self.seats_index = entry.idx
        if self._replicator is not None:
            self._replicator.reseat(self.seats)

    def _seats_at(self, index: int) -> messages.Seats:
        seats = self.snapshot.seats
        for entry in self.log.between(self.log.base_index + 1, index):
            if entry.kind == const.KIND_SEATS:
                seats = codec.unpack(entry.data, messages.Seats)
        return seats


def _load_log(recovered: messages.Recovered) -> log_lib.MemoryLog:
    """Build the log, minding a crash between snapshot and log files."""
    snapshot = recovered.snapshot
    entries = recovered.entries
    for entry in entries:
        if entry.idx == snapshot.idx and entry.term != snapshot.term:
            entries = ()
            break
    if entries and entries[0].idx > snapshot.idx + 1:
        entries = ()
    return log_lib.MemoryLog(
        base_index=snapshot.idx, base_term=snapshot.term, entries=entries
    )
