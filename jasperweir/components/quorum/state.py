"""What one voter knows and has synced, and the questions asked of it."""

from typing import Any

from jasperweir.components.quorum import actions
from jasperweir.components.quorum import const
from jasperweir.components.quorum import log as log_lib
from jasperweir.components.quorum import messages
from jasperweir.components.quorum import progress as progress_lib
from jasperweir.helpers import codec

Actions = list[Any]


class State:
    """Term, vote, log, snapshot and seats of one voter.

    Attributes:
        name: Name of the voter.
        disk: Identity of its disk.
        term: Highest term seen.
        voted_for: Who got this voter's vote in the term.
        commit: Index up to which entries are committed.
        seats: Members of the quorum, in force from their append on.
        seats_index: Index of the entry that set them.
        may_vote: False while this disk may lack an acknowledged entry.
    """

    def __init__(self, *, name: str, recovered: messages.Recovered) -> None:
        self.name = name
        self.disk = recovered.disk
        self.term = recovered.meta.term
        self.voted_for = recovered.meta.voted_for
        self.log = _load_log(recovered)
        self.snapshot = recovered.snapshot
        self.commit = recovered.snapshot.idx
        self.seats_index = 0
        self.seats = recovered.snapshot.seats
        # A disk that may have lost an acknowledged entry gets no say until
        # a leader has caught it up.
        self.may_vote = not recovered.tail_uncertain
        self.reload_seats()

    def find_seat(self, name: str) -> messages.Seat | None:
        """Return the seat held under a name."""
        for seat in self.seats.seats:
            if seat.name == name:
                return seat
        return None

    @property
    def is_voting(self) -> bool:
        """Whether this disk holds a voting seat."""
        seat = self.find_seat(self.name)
        return bool(seat and seat.voting and seat.disk == self.disk)

    def save_meta_action(self) -> actions.SaveMeta:
        """Return the action that syncs term and vote."""
        meta = messages.Meta(term=self.term, voted_for=self.voted_for)
        return actions.SaveMeta(meta=meta)

    def advance_commit(self, index: int) -> Actions:
        """Move the commit index and return the entries it passes."""
        entries = self.log.entries_between(self.commit + 1, index)
        self.commit = index
        return [actions.Commit(entries=entries)]

    def has_committed_in_term(self) -> bool:
        """Tell whether an entry of the own term is committed."""
        return self.log.term_at(self.commit) == self.term

    def is_log_up_to_date(self, last_index: int, last_term: int) -> bool:
        """Tell whether another log holds all that this one holds."""
        own_last = (self.log.last_term, self.log.last_index)
        return (last_term, last_index) >= own_last

    def holds_seat(self, name: str, disk: str) -> bool:
        """Tell whether a name holds a seat with that very disk."""
        seat = self.find_seat(name)
        return seat is not None and seat.disk == disk

    def other_voters(self) -> list[str]:
        """Return the names of the other voting members."""
        return [
            seat.name
            for seat in progress_lib.voting_seats(self.seats)
            if seat.name != self.name
        ]

    def is_majority(self, names: set[str]) -> bool:
        """Tell whether some members are a majority of the voting ones."""
        voting = {seat.name for seat in progress_lib.voting_seats(self.seats)}
        return len(names & voting) >= progress_lib.majority_size(len(voting))

    def reload_seats(self) -> None:
        """Find the newest seats in snapshot and log."""
        self.seats = self.snapshot.seats
        self.seats_index = self.snapshot.idx
        for entry in self.log.entries_between(
            self.log.base_index + 1, self.log.last_index
        ):
            if entry.kind == const.KIND_SEATS:
                self.seats = codec.unpack(entry.data, messages.Seats)
                self.seats_index = entry.idx

    def seats_at(self, index: int) -> messages.Seats:
        """Return the seats that were in force at an index."""
        seats = self.snapshot.seats
        for entry in self.log.entries_between(self.log.base_index + 1, index):
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
