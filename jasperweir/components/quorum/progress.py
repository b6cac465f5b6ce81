"""What a leader knows of each other member of the quorum."""

import dataclasses

from jasperweir.components.quorum import messages


@dataclasses.dataclass(kw_only=True, slots=True)
class Progress:
    """Replication state of one follower or learner."""

    next_index: int
    match: int = 0
    acked_at: float = float("-inf")
    sent_at: float = float("-inf")
    in_flight: bool = False
    snapshot_held: int = 0
    snapshot_index: int = 0
    rounds: dict[int, float] = dataclasses.field(default_factory=dict)

    def sent(self, number: int, now: float) -> None:
        """Remember when a numbered message left, for the lease."""
        self.rounds[number] = now
        self.sent_at = now
        if len(self.rounds) > 32:
            self.rounds.pop(next(iter(self.rounds)))

    def acked(self, number: int) -> None:
        """Extend the lease from the time the answered message was sent."""
        sent_at = self.rounds.pop(number, None)
        if sent_at is not None:
            self.acked_at = max(self.acked_at, sent_at)


def voters(seats: messages.Seats) -> list[messages.Seat]:
    """Return the members that count towards a quorum."""
    return [seat for seat in seats.seats if seat.voting]


def majority(count: int) -> int:
    """Return the smallest number that is more than half."""
    return count // 2 + 1


def quorum_value(values: list[float]) -> float:
    """Return the largest value that a majority has reached."""
    ranked = sorted(values, reverse=True)
    return ranked[majority(len(ranked)) - 1]
