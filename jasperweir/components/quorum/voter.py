"""Raft state machine of one voter: elections, leases, seats and commits."""

import collections
from collections.abc import Mapping
import random
from typing import Any

from jasperweir import core
from jasperweir.components.quorum import actions
from jasperweir.components.quorum import const
from jasperweir.components.quorum import follower
from jasperweir.components.quorum import lost_disks
from jasperweir.components.quorum import messages
from jasperweir.components.quorum import progress as progress_lib
from jasperweir.components.quorum import replicator
from jasperweir.components.quorum import state as state_lib
from jasperweir.helpers import codec

FOLLOWER = "follower"
CANDIDATE = "candidate"
LEADER = "leader"

Actions = list[Any]

_ELECTION_SECONDS = (const.ELECTION_MIN_SECONDS, const.ELECTION_MAX_SECONDS)


class Voter(state_lib.State):
    """Sans-I/O consensus member after Ongaro and Ousterhout (Raft, 2014).

    The driver performs the returned actions in order and never sends a
    message that follows a Save action before that save is synced.

    Attributes:
        role: One of the role constants of this module.
        leader: Name of the known leader, or an empty string.
        seat_requests: Newest seat request by the name of its sender.
        wanted_voters: Number of live voters at which learners are no longer
            promoted; 0 for no limit. An odd number leaves a majority on one
            side of a partition into halves. With fewer voting seats entries
            are committed only once all voters that aren't silent have them.
        places: Data centre by member name, as far as known; learners of the
            data centre with the fewest live voters are promoted first.
        is_known_stale: Whether another process knows a committed entry that
            this log lacks.
    """

    _replicator: replicator.Replicator | None = None

    def __init__(
        self,
        *,
        name: str,
        recovered: messages.Recovered,
        rng: random.Random,
        now: float,
    ) -> None:
        super().__init__(name=name, recovered=recovered)
        self.role = FOLLOWER
        self.leader = ""
        self.seat_requests: dict[str, messages.Hello] = {}
        self._rng = rng
        self._votes: set[str] = set()
        self._is_prevoting = False
        self._leader_heard_at = float("-inf")
        self._started_at = now
        self._follower = follower.Follower(state=self)
        self._is_transferring = False
        self.wanted_voters = 0
        self.places: Mapping[str, str] = {}
        self.is_known_stale = False
        self._lost_disks = lost_disks.LostDisks(rng=rng)
        # Members that the current election excuses from voting.
        self._excused: set[str] = set()
        self._election_due_at = now + self._initial_election_delay_s()

    # Queries.

    def reload_seats(self) -> None:
        """Set the newest seats; a leader starts replicating to them."""
        super().reload_seats()
        if self._replicator is not None:
            self._replicator.update_seats(self.seats)

    def has_lease(self, now: float) -> bool:
        """Return whether no other leader can exist at this moment."""
        if self.role != LEADER or self._replicator is None:
            return False
        if self._is_transferring:
            return False
        acked_at = self._replicator.majority_acked_at(now)
        return now < acked_at + const.LEASE_SECONDS

    def read_index(self, now: float) -> int | None:
        """Return an index that covers all committed entries, or None.

        Only a leader with a lease that has committed an entry of its own
        term knows this index.
        """
        if not self.has_lease(now) or not self.has_committed_in_term():
            return None
        return self.commit

    @property
    def is_short(self) -> bool:
        """Whether there are fewer voting seats than wanted."""
        voting = progress_lib.voting_seats(self.seats)
        return len(voting) < self.wanted_voters

    def is_commit_synced(self, now: float) -> bool:
        """Return whether enough voters have synced all committed entries.

        A voter that was silent when they were committed may be back since.
        """
        return self._find_commit_index(now) >= self.commit

    @property
    def started_at(self) -> float:
        """Start of this process, monotonic seconds."""
        return self._started_at

    @property
    def leader_since(self) -> float:
        """Start of this voter's leadership, minus infinity if not leader."""
        if self._replicator is None:
            return float("-inf")
        return self._replicator.leader_since

    def progress_of(self, name: str) -> progress_lib.Progress | None:
        """Return a member's replication state, None if not leader."""
        if self._replicator is None:
            return None
        return self._replicator.peers.get(name)

    # Inputs.

    def bootstrap(self, addr: str) -> Actions:
        """Create a new log with this disk as its only voter.

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
        self.reload_seats()
        meta = messages.Meta(term=1, voted_for=self.name)
        self.voted_for = self.name
        return [
            actions.SaveMeta(meta=meta),
            actions.SaveEntries(first=1, entries=(entry,)),
        ]

    def restore_commit(self, index: int) -> Actions:
        """Commit the entries that were committed before a restart.

        This needs no leader, because committed entries are never replaced.
        """
        index = min(index, self.log.last_index)
        return self.advance_commit(index) if index > self.commit else []

    def tick(self, now: float) -> Actions:
        """Run timers: heartbeats, quorum checks and elections."""
        if self.role == LEADER:
            return self._tick_leader(now)
        if now < self._election_due_at or not self.is_voting:
            return []
        if not self.may_vote:
            self._reset_election_timer(now)
            return []
        return self._start_prevote(now)

    def receive(self, src: str, msg: Any, now: float) -> Actions:
        """Handle a message from another process."""
        if self.holds_seat(src, getattr(msg, "disk", "")):
            self._lost_disks.on_seat_heard(src)
        match msg:
            case messages.Hello():
                self.seat_requests[src] = msg
                return self._on_hello(src, msg, now)
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
            The index of the entry and the actions, or 0 and no actions if
            this voter is not a leader with a lease.
        """
        if not self.has_lease(now):
            return 0, []
        entry = messages.Entry(
            idx=self.log.last_index + 1, term=self.term, kind=kind, data=data
        )
        self.log.append((entry,))
        if kind == const.KIND_SEATS:
            self.reload_seats()
        out: Actions = [actions.SaveEntries(first=entry.idx, entries=(entry,))]
        out += self._advance_and_send(now)
        return entry.idx, out

    def change_seats(
        self, seats: messages.Seats, now: float
    ) -> tuple[int, Actions]:
        """Propose new seats.

        Returns:
            The index of the entry and the actions, or 0 and no actions while
            another change is uncommitted.
        """
        if self.seats_index > self.commit or not self.has_committed_in_term():
            return 0, []
        return self.propose(codec.pack(seats), now, kind=const.KIND_SEATS)

    def compact(self, index: int, data: bytes) -> Actions:
        """Replace the committed log up to ``index`` with a snapshot."""
        term = self.log.term_at(index)
        if term is None or index > self.commit:
            return []
        if index <= self.snapshot.idx:
            return []
        self.snapshot = messages.Snapshot(
            idx=index, term=term, seats=self.seats_at(index), data=data
        )
        self.log.compact(index, term)
        kept = self.log.entries_between(index + 1, self.log.last_index)
        return [actions.SaveSnapshot(snapshot=self.snapshot, kept=kept)]

    def transfer_leadership(self, now: float) -> Actions:
        """Transfer leadership to a live voter with a complete log, if any."""
        if self.role != LEADER or self._replicator is None:
            return []
        target = self._replicator.find_transfer_target(now)
        if not target:
            return []
        # The target may become leader at any moment from now on, so this
        # leader gives up its lease even if the message is delayed.
        self._is_transferring = True
        self._reset_election_timer(now)
        return [core.Send(dst=target, msg=messages.TimeoutNow(term=self.term))]

    # Recovery after the loss of a majority of the disks.

    def _on_hello(self, src: str, msg: messages.Hello, now: float) -> Actions:
        seat = self.find_seat(src)
        if seat is None or self.role == LEADER or not self.is_voting:
            return []
        self._lost_disks.retain(self.seats)
        nonce = self._lost_disks.on_hello(seat, msg, now)
        if not nonce or not self._may_recover:
            return []
        check = messages.SeatClaimCheck(nonce=nonce)
        return [core.Send(dst=src, msg=check)]

    @property
    def _may_recover(self) -> bool:
        """Whether the rules of commits in this state allow a recovery."""
        return self.seats.reduced and self.is_short and not self.is_known_stale

    def _lost_members(self, now: float) -> set[str]:
        """Return the members that need not vote, as their disks are lost."""
        if not self._may_recover:
            return set()
        return self._lost_disks.proved(self.seats, now)

    def _electors(self) -> list[str]:
        """Return the members whose votes an election asks for."""
        return self.other_members() if self._excused else self.other_voters()

    def _has_won(self, now: float) -> bool:
        """Return whether the votes suffice to lead.

        A majority does. Without one, the votes of all members whose disks
        aren't proved lost do: each acknowledged entry is on all of them, and
        learners may have been promoted without this voter's knowledge.
        """
        if self.is_majority(self._votes):
            return True
        lost = self._excused & self._lost_members(now)
        members = {seat.name for seat in self.seats.seats}
        return bool(lost) and members - lost <= self._votes

    # Elections.

    def _start_prevote(self, now: float) -> Actions:
        self._reset_election_timer(now, const.START_RETRY_SECONDS)
        self.leader = ""
        self._is_prevoting = True
        self._votes = {self.name}
        self._excused = self._lost_members(now)
        if self._has_won(now):
            return self._start_election(now, transfer=False)
        request = messages.PreVote(
            term=self.term + 1,
            last_index=self.log.last_index,
            last_term=self.log.last_term,
            disk=self.disk,
        )
        return [core.Send(dst=name, msg=request) for name in self._electors()]

    def _start_election(self, now: float, *, transfer: bool) -> Actions:
        self._reset_election_timer(now, const.START_ELECTION_SECONDS)
        self._is_prevoting = False
        self._excused = set() if transfer else self._lost_members(now)
        self.term += const.RECOVERY_TERM_STEP if self._excused else 1
        self.voted_for = self.name
        self._votes = {self.name}
        out: Actions = [self.save_meta_action()]
        out += self._set_role(CANDIDATE, "")
        if self._has_won(now):
            return out + self._become_leader(now)
        request = messages.Vote(
            term=self.term,
            last_index=self.log.last_index,
            last_term=self.log.last_term,
            disk=self.disk,
            transfer=transfer,
        )
        out += [core.Send(dst=name, msg=request) for name in self._electors()]
        return out

    def _on_prevote(
        self, src: str, msg: messages.PreVote, now: float
    ) -> Actions:
        granted = (
            self.holds_seat(src, msg.disk)
            and self.may_vote
            and msg.term > self.term
            and not self._is_leader_alive(now)
            and self.is_log_up_to_date(msg.last_index, msg.last_term)
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
                return self._become_follower(msg.term, "", now)
            return []
        if not self._is_prevoting or msg.term != self.term + 1:
            return []
        if not self.holds_seat(src, msg.disk):
            return []
        self._votes.add(src)
        if not self._has_won(now):
            return []
        return self._start_election(now, transfer=False)

    def _on_vote(self, src: str, msg: messages.Vote, now: float) -> Actions:
        if not self.holds_seat(src, msg.disk):
            return []
        if self._is_leader_alive(now) and not msg.transfer:
            # A member that lost contact must not depose a live leader.
            return []
        out: Actions = []
        if msg.term > self.term:
            out += self._become_follower(msg.term, "", now)
        granted = (
            msg.term == self.term
            and self.may_vote
            and self.voted_for in ("", src)
            and self.is_log_up_to_date(msg.last_index, msg.last_term)
        )
        if granted:
            self.voted_for = src
            self._reset_election_timer(now)
            out.append(self.save_meta_action())
        reply = messages.VoteReply(
            term=self.term, granted=granted, disk=self.disk
        )
        out.append(core.Send(dst=src, msg=reply))
        return out

    def _on_vote_reply(
        self, src: str, msg: messages.VoteReply, now: float
    ) -> Actions:
        if msg.term > self.term:
            return self._become_follower(msg.term, "", now)
        if self.role != CANDIDATE or msg.term != self.term:
            return []
        if not msg.granted or not self.holds_seat(src, msg.disk):
            return []
        self._votes.add(src)
        if not self._has_won(now):
            return []
        return self._become_leader(now)

    def _become_leader(self, now: float) -> Actions:
        # The first entry of a recovery removes the lost members.
        is_recovering = not self.is_majority(self._votes)
        lost = self._excused if is_recovering else set()
        self._replicator = replicator.Replicator(
            name=self.name, log=self.log, now=now
        )
        self._replicator.update_seats(self.seats)
        out = self._set_role(LEADER, self.name)
        kind, data = const.KIND_NOOP, b""
        if lost:
            kind = const.KIND_SEATS
            kept = tuple(s for s in self.seats.seats if s.name not in lost)
            data = codec.pack(self.seats._replace(seats=kept))
        entry = messages.Entry(
            idx=self.log.last_index + 1, term=self.term, kind=kind, data=data
        )
        self.log.append((entry,))
        if lost:
            self.reload_seats()
        out.append(actions.SaveEntries(first=entry.idx, entries=(entry,)))
        return out + self._advance_and_send(now)

    # Leader.

    def _tick_leader(self, now: float) -> Actions:
        assert self._replicator is not None
        if self._replicator.has_lost_quorum(now):
            # An isolated leader steps down.
            return self._become_follower(self.term, "", now)
        if self._is_transferring and now >= self._election_due_at:
            return self._become_follower(self.term, "", now)
        out = self._replicator.tick(now, self.term, self.commit, self.snapshot)
        return out + self._promote_learner(now)

    def _promote_learner(self, now: float) -> Actions:
        assert self._replicator is not None
        if self._has_enough_voters(now):
            return []
        for seat in self._list_learners(now):
            peer = self._replicator.peers.get(seat.name)
            if peer is None:
                continue
            lag = self.log.last_index - peer.match_index
            if peer.match_index == 0 or lag > const.PROMOTE_LAG_ENTRIES:
                continue
            if now - peer.acked_at > const.ELECTION_MIN_SECONDS:
                # Promoting an unreachable learner could cost the majority.
                continue
            if self.seats.reduced and not self._do_all_voters_hold_seats():
                continue
            return self.change_seats(
                progress_lib.promote(self.seats, seat, self.wanted_voters), now
            )[1]
        return []

    def _list_learners(self, now: float) -> list[messages.Seat]:
        """Return the learners, of data centres with few live voters first."""
        live = [n for n in self.other_voters() if not self._is_silent(n, now)]
        counts = collections.Counter(
            self.places.get(name, "") for name in [self.name, *live]
        )
        learners = [seat for seat in self.seats.seats if not seat.voting]
        return sorted(
            learners, key=lambda s: counts[self.places.get(s.name, "")]
        )

    def _do_all_voters_hold_seats(self) -> bool:
        """Return whether all voters have synced the current seats.

        In the reduced state a voter that is down must not miss that a learner
        may become a voter, since it could lead again without its vote.
        """
        assert self._replicator is not None
        matches = self._replicator.voter_match_indexes(self.is_voting)
        return all(match >= self.seats_index for match in matches.values())

    def _has_enough_voters(self, now: float) -> bool:
        """Return whether no learner needs to be promoted."""
        if not self.wanted_voters:
            return False
        others = self.other_voters()
        live = [name for name in others if not self._is_silent(name, now)]
        return 1 + len(live) >= self.wanted_voters

    def _is_silent(self, name: str, now: float) -> bool:
        peer = self.progress_of(name)
        if peer is None:
            return False
        seat, hello = self.find_seat(name), self.seat_requests.get(name)
        if seat and hello and hello.disk != seat.disk:
            # Its disk was replaced: it never answers under this seat again.
            return True
        heard_at = max(peer.acked_at, self.leader_since)
        return now - heard_at > const.REPLACE_SECONDS

    def _on_replication_reply(
        self,
        src: str,
        msg: messages.AppendReply | messages.InstallReply,
        now: float,
    ) -> Actions:
        if msg.term > self.term:
            return self._become_follower(msg.term, "", now)
        if self.role != LEADER or msg.term != self.term:
            return []
        if self._replicator is None or not self.holds_seat(src, msg.disk):
            return []
        # A delayed request of an earlier disk must not count any more.
        self.seat_requests.pop(src, None)
        self._replicator.on_reply(src, msg)
        return self._advance_and_send(now)

    def _find_commit_index(self, now: float) -> int:
        """Return the highest index that enough voters have synced."""
        if self._replicator is None:
            return 0
        return progress_lib.committed_index(
            self._replicator.voter_match_indexes(self.is_voting),
            {n for n in self.other_voters() if self._is_silent(n, now)},
            is_reduced=self.is_short,
        )

    def _advance_and_send(self, now: float) -> Actions:
        assert self._replicator is not None
        index = self._find_commit_index(now)
        out: Actions = []
        # Only entries of the current term are committed by counting; older
        # entries are committed along with them.
        if index > self.commit and self.log.term_at(index) == self.term:
            out += self.advance_commit(index)
        out += self._replicator.send_pending(
            now, self.term, self.commit, self.snapshot
        )
        if not self.find_seat(self.name) and self.has_committed_in_term():
            out += self._become_follower(self.term, "", now)
        return out

    # Follower.

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
            out += self._become_follower(msg.term, src, now)
        elif self.leader != src:
            self.leader = src
            out.append(self._role_changed())
        self._leader_heard_at = now
        self._lost_disks.retain(messages.Seats())
        self._reset_election_timer(now)
        if isinstance(msg, messages.Install):
            return out + self._follower.on_install(src, msg)
        return out + self._follower.on_append(src, msg)

    # Role changes and timers.

    def _become_follower(self, term: int, leader: str, now: float) -> Actions:
        out: Actions = []
        if term > self.term:
            self.term = term
            self.voted_for = ""
            out.append(self.save_meta_action())
        self._is_prevoting = False
        self._is_transferring = False
        self._replicator = None
        self._reset_election_timer(now)
        return out + self._set_role(FOLLOWER, leader)

    def _set_role(self, role: str, leader: str) -> Actions:
        if (role, leader) == (self.role, self.leader):
            return []
        self.role = role
        self.leader = leader
        return [self._role_changed()]

    def _role_changed(self) -> actions.RoleChanged:
        return actions.RoleChanged(
            role=self.role, term=self.term, leader=self.leader
        )

    def _is_leader_alive(self, now: float) -> bool:
        if self.role == LEADER:
            return self.has_lease(now)
        # A restarted voter may have acknowledged a lease before the restart.
        if now < self._started_at + const.RESTART_SECONDS:
            return True
        return now < self._leader_heard_at + const.ELECTION_MIN_SECONDS

    def _initial_election_delay_s(self) -> float:
        """Return the election delay after a start, in seconds.

        The candidate of this voter's last vote, most likely the previous
        leader, has the shortest delay.
        """
        voters = sorted([self.name, *self.other_voters()])
        if self.voted_for in voters:
            voters.remove(self.voted_for)
            voters.insert(0, self.voted_for)
        rank = voters.index(self.name)
        return const.RESTART_SECONDS + rank * const.STAGGER_SECONDS

    def _is_starting(self, now: float) -> bool:
        """Return whether the voter started recently and heard no leader."""
        if self._leader_heard_at > float("-inf"):
            return False
        return now - self._started_at < const.START_WINDOW_SECONDS

    def _reset_election_timer(
        self, now: float, at_start: tuple[float, float] = _ELECTION_SECONDS
    ) -> None:
        """Set the time of the next election.

        Args:
            now: Monotonic seconds.
            at_start: Range of the timeout in seconds while the voter is
                starting.
        """
        least, most = at_start if self._is_starting(now) else _ELECTION_SECONDS
        self._election_due_at = now + self._rng.uniform(least, most)
