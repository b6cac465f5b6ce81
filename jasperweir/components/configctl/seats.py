"""Changes of seats, decided by the leader of the log."""

import collections
from collections.abc import Mapping
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
    leader: str = "",
    places: Mapping[str, str] | None = None,
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
        leader: Name of the leader, which keeps its seat.
        places: Data centre by name of a process, as far as known.
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
    silent = [
        seat
        for seat in seats.seats
        if now - heard_at.get(seat.name, now) > const.SEAT_SILENT_SECONDS
    ]
    count = len(progress_lib.voting_seats(seats))
    if count > wanted and silent:
        return _without_seat(seats, silent[0])
    if silent or not places or count < wanted:
        return None
    return _spread(seats, count, wanted, leader, places)


def _spread(
    seats: messages.Seats,
    count: int,
    wanted: int,
    leader: str,
    places: Mapping[str, str],
) -> messages.Seats | None:
    """Return a change after which no data centre holds a majority, or None.

    One voter of the data centre with a majority is replaced by a learner of
    another one, which is promoted first. Nothing changes if the other data
    centre would then hold a majority itself.
    """
    voters = progress_lib.voting_seats(seats)
    counts = collections.Counter(places.get(s.name, "") for s in voters)
    place, most = counts.most_common(1)[0]
    limit = progress_lib.majority_size(wanted)
    if most < limit or wanted < 2:
        return None
    if count > wanted:
        surplus = [
            s
            for s in voters
            if places.get(s.name, "") == place and s.name != leader
        ]
        return _with_vote(seats, surplus[-1], voting=False) if surplus else None
    for seat in seats.seats:
        other = places.get(seat.name, "")
        if not seat.voting and other and counts[other] + 1 < limit:
            return _with_vote(seats, seat, voting=True)
    return None


def _with_vote(
    seats: messages.Seats, changed: messages.Seat, *, voting: bool
) -> messages.Seats:
    return seats._replace(
        seats=tuple(
            s._replace(voting=voting) if s == changed else s
            for s in seats.seats
        )
    )


def _without_seat(
    seats: messages.Seats, removed: messages.Seat
) -> messages.Seats:
    remaining = tuple(seat for seat in seats.seats if seat != removed)
    return seats._replace(seats=remaining)
