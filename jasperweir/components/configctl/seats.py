"""Which processes hold a seat in the log; the leader's decisions."""

from typing import NamedTuple

from jasperweir.components.configctl import const
from jasperweir.components.quorum import messages
from jasperweir.components.quorum import progress as progress_lib


class Applicant(NamedTuple):
    """A process with a disk that asks for a seat."""

    name: str
    disk: str
    addr: str
    asked_at: float


def next_seat_change(
    *,
    seats: messages.Seats,
    applicants: list[Applicant],
    heard_at: dict[str, float],
    wanted: int,
    now: float,
) -> messages.Seats | None:
    """Return the next single change of seats, or None.

    Seats are changed one at a time, so that each majority meets the one
    before it. A wiped disk loses its old seat before it gets a new one.

    Args:
        seats: Seats in force.
        applicants: Processes that ask for a seat.
        heard_at: When each other member last answered the leader.
        wanted: Voting members that the deployment should have.
        now: Monotonic seconds.
    """
    fresh = [
        a
        for a in applicants
        if now - a.asked_at < const.SEAT_REQUEST_TTL_SECONDS
    ]
    held = {seat.name: seat for seat in seats.seats}
    for applicant in fresh:
        seat = held.get(applicant.name)
        if seat is not None and seat.disk != applicant.disk:
            return _without_seat(seats, seat)
    for applicant in fresh:
        if applicant.name not in held:
            learner = messages.Seat(
                name=applicant.name,
                disk=applicant.disk,
                addr=applicant.addr,
                voting=False,
            )
            return seats._replace(seats=(*seats.seats, learner))
    if len(progress_lib.voting_seats(seats)) <= wanted:
        return None
    silent = [
        seat
        for seat in seats.seats
        if now - heard_at.get(seat.name, now) > const.SEAT_SILENT_SECONDS
    ]
    return _without_seat(seats, silent[0]) if silent else None


def _without_seat(seats: messages.Seats, gone: messages.Seat) -> messages.Seats:
    left = tuple(seat for seat in seats.seats if seat != gone)
    return seats._replace(seats=left)
