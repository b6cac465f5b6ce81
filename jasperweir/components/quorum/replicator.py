"""Leader side of replication: sends entries, heartbeats and snapshots."""

from typing import Any

from jasperweir import core
from jasperweir.components.quorum import const
from jasperweir.components.quorum import log as log_lib
from jasperweir.components.quorum import messages
from jasperweir.components.quorum import progress as progress_lib


class Replicator:
    """Tracks and updates the followers during one term of leadership.

    Attributes:
        peers: Replication state by member name, without the leader itself.
        leader_since: Start of the leadership, monotonic seconds.
    """

    def __init__(
        self, *, name: str, log: log_lib.MemoryLog, now: float
    ) -> None:
        self.peers: dict[str, progress_lib.Progress] = {}
        self._name = name
        self._log = log
        self._seats = messages.Seats()
        self._round = 0
        self.leader_since = now

    def update_seats(self, seats: messages.Seats) -> None:
        """Adopt new seats, which apply as soon as they are appended."""
        self._seats = seats
        names = {s.name for s in seats.seats if s.name != self._name}
        for name in names - self.peers.keys():
            self.peers[name] = progress_lib.Progress(
                next_index=self._log.last_index + 1
            )
        for name in self.peers.keys() - names:
            del self.peers[name]

    def majority_acked_at(self, now: float) -> float:
        """Return the send time of the newest message a majority answered."""
        times = [
            now if seat.name == self._name else self.peers[seat.name].acked_at
            for seat in progress_lib.voting_seats(self._seats)
        ]
        if not times:
            return now
        return progress_lib.majority_value(times)

    def has_lost_quorum(self, now: float) -> bool:
        """Return whether a majority was silent for an election timeout."""
        acked_at = max(self.majority_acked_at(now), self.leader_since)
        return now >= acked_at + const.ELECTION_MIN_SECONDS

    def voter_match_indexes(self, self_votes: bool) -> dict[str, int]:
        """Return the highest index that each voter has synced.

        Args:
            self_votes: Whether the leader itself holds a voting seat.
        """
        matches = {}
        for seat in progress_lib.voting_seats(self._seats):
            if seat.name == self._name:
                matches[seat.name] = self._log.last_index if self_votes else 0
            else:
                matches[seat.name] = self.peers[seat.name].match_index
        return matches

    def find_transfer_target(self, now: float) -> str:
        """Return a live voter with a complete log, or an empty string."""
        candidates = [
            seat.name
            for seat in progress_lib.voting_seats(self._seats)
            if seat.name != self._name
            and self.peers[seat.name].match_index == self._log.last_index
            and now - self.peers[seat.name].acked_at
            < const.ELECTION_MIN_SECONDS
        ]
        return min(candidates, default="")

    def on_reply(
        self, src: str, msg: messages.AppendReply | messages.InstallReply
    ) -> None:
        """Update a follower's progress from its answer."""
        peer = self.peers.get(src)
        if peer is None:
            return
        peer.record_ack(msg.round)
        peer.in_flight = False
        if isinstance(msg, messages.InstallReply):
            peer.snapshot_held_bytes = msg.held
            peer.snapshot_index = msg.idx
            return
        if msg.ok:
            peer.match_index = max(peer.match_index, msg.match)
            peer.next_index = max(peer.next_index, peer.match_index + 1)
            return
        # The follower may have lost its tail, so match_index may decrease.
        peer.match_index = min(peer.match_index, msg.match)
        peer.next_index = max(min(msg.match + 1, peer.next_index - 1), 1)

    def tick(
        self,
        now: float,
        term: int,
        commit: int,
        snapshot: messages.Snapshot,
    ) -> list[Any]:
        """Send the due heartbeats and resend unanswered entries."""
        out = []
        for name, peer in self.peers.items():
            if now - peer.sent_at >= const.RESEND_SECONDS:
                peer.in_flight = False
            if now - peer.sent_at >= const.HEARTBEAT_SECONDS:
                out += self._send(name, peer, now, term, commit, snapshot)
        return out

    def send_pending(
        self,
        now: float,
        term: int,
        commit: int,
        snapshot: messages.Snapshot,
    ) -> list[Any]:
        """Send entries to each lagging follower with nothing in flight."""
        out = []
        for name, peer in self.peers.items():
            if peer.in_flight or peer.next_index > self._log.last_index:
                continue
            out += self._send(name, peer, now, term, commit, snapshot)
        return out

    def _send(
        self,
        name: str,
        peer: progress_lib.Progress,
        now: float,
        term: int,
        commit: int,
        snapshot: messages.Snapshot,
    ) -> list[Any]:
        self._round += 1
        peer.record_sent(self._round, now)
        if peer.next_index <= self._log.base_index:
            msg = self._next_snapshot_chunk(peer, term, snapshot)
            peer.in_flight = msg is not None
            if msg is not None:
                return [core.Send(dst=name, msg=msg)]
        prev = peer.next_index - 1
        entries = (
            () if peer.in_flight else self._log.next_batch(peer.next_index)
        )
        peer.in_flight = peer.in_flight or bool(entries)
        append = messages.Append(
            term=term,
            prev_index=prev,
            prev_term=self._log.term_at(prev) or 0,
            entries=entries,
            commit=commit,
            last=self._log.last_index,
            round=self._round,
        )
        return [core.Send(dst=name, msg=append)]

    def _next_snapshot_chunk(
        self,
        peer: progress_lib.Progress,
        term: int,
        snapshot: messages.Snapshot,
    ) -> messages.Install | None:
        if peer.snapshot_index != snapshot.idx:
            peer.snapshot_held_bytes = 0
        if peer.snapshot_held_bytes >= len(snapshot.data) > 0:
            # The snapshot is complete: continue with the log after it.
            peer.snapshot_held_bytes = 0
            peer.match_index = max(peer.match_index, snapshot.idx)
            peer.next_index = snapshot.idx + 1
            return None
        start = peer.snapshot_held_bytes
        end = start + const.SNAPSHOT_CHUNK_BYTES
        return messages.Install(
            term=term,
            idx=snapshot.idx,
            entry_term=snapshot.term,
            seats=snapshot.seats,
            offset=start,
            data=snapshot.data[start:end],
            total=len(snapshot.data),
            round=self._round,
        )
