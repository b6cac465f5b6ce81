"""Changes of seats, decided by the leader of the log."""

from typing import NamedTuple

from jasperweir.components.configctl import const
from jasperweir.components.quorum import messages
from jasperweir.components.quorum import progress as progress_lib


class Applicant(NamedTuple):
    """Process with a disk that requests a seat.

    Attributes:
        name: Name of the process.
        disk: Identity of its disk.
        addr: Its internal address.
        asked_at: Time of its last request, monotonic seconds.
    """

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
    """Return the seats after the next change, or None if none is needed.

    Only one seat is changed at a time, so that the majorities before and after
    the change overlap. A member with a wiped disk loses its old seat before it
    gets a new one.

    Args:
        seats: Current seats.
        applicants: Processes that request a seat.
        heard_at: Time of each other member's last reply to the leader.
        wanted: Wanted number of voting members.
        now: Monotonic seconds.
    """
    recent = [
        a
        for a in applicants
        if now - a.asked_at < const.SEAT_REQUEST_TTL_SECONDS
    ]
    held = {seat.name: seat for seat in seats.seats}
    for applicant in recent:
        seat = held.get(applicant.name)
        if seat is not None and seat.disk != applicant.disk:
            return _without_seat(seats, seat)
    for applicant in recent:
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


def _without_seat(
    seats: messages.Seats, removed: messages.Seat
) -> messages.Seats:
    remaining = tuple(seat for seat in seats.seats if seat != removed)
    return seats._replace(seats=remaining)
