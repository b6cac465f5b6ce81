"""What a leader knows of each other member of the quorum."""

import dataclasses

from jasperweir.components.quorum import messages


@dataclasses.dataclass(kw_only=True, slots=True)
class Progress:
    """Replication state of one follower or learner."""

    next_index: int
    match_index: int = 0
    acked_at: float = float("-inf")
    sent_at: float = float("-inf")
    in_flight: bool = False
    snapshot_held_bytes: int = 0
    snapshot_index: int = 0
    sent_at_by_round: dict[int, float] = dataclasses.field(default_factory=dict)

    def record_sent(self, number: int, now: float) -> None:
        """Remember when a numbered message left, for the lease."""
        self.sent_at_by_round[number] = now
        self.sent_at = now
        if len(self.sent_at_by_round) > 32:
            self.sent_at_by_round.pop(next(iter(self.sent_at_by_round)))

    def record_ack(self, number: int) -> None:
        """Extend the lease from the time the answered message was sent."""
        sent_at = self.sent_at_by_round.pop(number, None)
        if sent_at is not None:
            self.acked_at = max(self.acked_at, sent_at)


def voting_seats(seats: messages.Seats) -> list[messages.Seat]:
    """Return the members that count towards a quorum."""
    return [seat for seat in seats.seats if seat.voting]


def majority_size(count: int) -> int:
    """Return the smallest number that is more than half."""
    return count // 2 + 1


def majority_value(values: list[float]) -> float:
    """Return the largest value that a majority has reached."""
    ranked = sorted(values, reverse=True)
    return ranked[majority_size(len(ranked)) - 1]
