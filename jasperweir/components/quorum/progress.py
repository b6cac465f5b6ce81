"""Replication progress of the other members, and majority arithmetic."""

import dataclasses

from jasperweir.components.quorum import messages


@dataclasses.dataclass(kw_only=True, slots=True)
class Progress:
    """Replication state of one follower or learner, kept by the leader.

    Attributes:
        next_index: Index of the next entry to send.
        match_index: Highest index known to be synced by the member.
        acked_at: Send time of the newest answered message.
        sent_at: Send time of the newest message.
        in_flight: Whether entries or a chunk wait for an answer.
        snapshot_held_bytes: Bytes of the snapshot that the member holds.
        snapshot_index: Index of that snapshot.
        sent_at_by_round: Send times of unanswered messages by number.
    """

    next_index: int
    match_index: int = 0
    acked_at: float = float("-inf")
    sent_at: float = float("-inf")
    in_flight: bool = False
    snapshot_held_bytes: int = 0
    snapshot_index: int = 0
    sent_at_by_round: dict[int, float] = dataclasses.field(default_factory=dict)

    def record_sent(self, number: int, now: float) -> None:
        """Record the send time of a message, for the lease."""
        self.sent_at_by_round[number] = now
        self.sent_at = now
        if len(self.sent_at_by_round) > 32:
            self.sent_at_by_round.pop(next(iter(self.sent_at_by_round)))

    def record_ack(self, number: int) -> None:
        """Extend the lease from the send time of the answered message."""
        sent_at = self.sent_at_by_round.pop(number, None)
        if sent_at is not None:
            self.acked_at = max(self.acked_at, sent_at)


def voting_seats(seats: messages.Seats) -> list[messages.Seat]:
    """Return the seats of the voting members."""
    return [seat for seat in seats.seats if seat.voting]


def promote(
    seats: messages.Seats, learner: messages.Seat, wanted: int
) -> messages.Seats:
    """Return the seats with a learner as a voter.

    The reduced state ends once there are as many voters as wanted.
    """
    changed = tuple(
        s._replace(voting=True) if s.name == learner.name else s
        for s in seats.seats
    )
    promoted = seats._replace(seats=changed)
    is_reduced = seats.reduced and len(voting_seats(promoted)) < wanted
    return promoted._replace(reduced=is_reduced)


def majority_size(count: int) -> int:
    """Return the smallest number that is more than half of ``count``."""
    return count // 2 + 1


def committed_index(
    matches: dict[str, int], silent: set[str], *, is_reduced: bool
) -> int:
    """Return the highest index that enough voters have synced.

    Args:
        matches: Highest synced index by voter.
        silent: Voters that have not answered the leader for a while.
        is_reduced: Whether there are fewer voters than wanted. Then the loss
            of disks within the tolerance may leave any single one of them, so
            that all voters that aren't silent must have synced the index.
    """
    if not matches:
        return 0
    index = int(majority_value([float(m) for m in matches.values()]))
    if not is_reduced:
        return index
    heard = [match for name, match in matches.items() if name not in silent]
    return min([index, *heard])


def majority_value(values: list[float]) -> float:
    """Return the largest value that a majority of the values reaches."""
    ranked = sorted(values, reverse=True)
    return ranked[majority_size(len(ranked)) - 1]
