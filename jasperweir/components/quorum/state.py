"""State of one voter: term, vote, log, snapshot and seats."""

from typing import Any

from jasperweir.components.quorum import actions
from jasperweir.components.quorum import const
from jasperweir.components.quorum import log as log_lib
from jasperweir.components.quorum import messages
from jasperweir.components.quorum import progress as progress_lib
from jasperweir.helpers import codec

Actions = list[Any]


class State:
    """Raft state of one voter.

    Attributes:
        name: Name of the voter.
        disk: Identity of its disk.
        term: Highest term seen.
        voted_for: Candidate that received this voter's vote in the term.
        log: Entries after the snapshot.
        snapshot: Newest snapshot.
        commit: Index up to which entries are committed.
        seats: Members of the cluster, applied as soon as they are appended.
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
        # A disk that may have lost an acknowledged entry must not vote until
        # a leader has brought it up to date.
        self.may_vote = not recovered.tail_uncertain
        self.reload_seats()

    def find_seat(self, name: str) -> messages.Seat | None:
        """Return the seat of a member, or None."""
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
        """Advance the commit index and return the newly committed entries."""
        entries = self.log.entries_between(self.commit + 1, index)
        self.commit = index
        return [actions.Commit(entries=entries)]

    def has_committed_in_term(self) -> bool:
        """Return whether an entry of the current term is committed."""
        return self.log.term_at(self.commit) == self.term

    def is_log_up_to_date(self, last_index: int, last_term: int) -> bool:
        """Return whether another log is at least as complete as this one."""
        own_last = (self.log.last_term, self.log.last_index)
        return (last_term, last_index) >= own_last

    def holds_seat(self, name: str, disk: str) -> bool:
        """Return whether a process holds a seat with this disk.

        A wiped disk has a new identity, so it doesn't keep its old seat.
        """
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
        """Return whether the names include a majority of the voters."""
        voting = {seat.name for seat in progress_lib.voting_seats(self.seats)}
        return len(names & voting) >= progress_lib.majority_size(len(voting))

    def other_members(self) -> list[str]:
        """Return the names of the other members, including learners."""
        return [s.name for s in self.seats.seats if s.name != self.name]

    def reload_seats(self) -> None:
        """Set the seats from the newest record in snapshot and log."""
        self.seats = self.snapshot.seats
        self.seats_index = self.snapshot.idx
        for entry in self.log.entries_between(
            self.log.base_index + 1, self.log.last_index
        ):
            if entry.kind == const.KIND_SEATS:
                self.seats = codec.unpack(entry.data, messages.Seats)
                self.seats_index = entry.idx

    def seats_at(self, index: int) -> messages.Seats:
        """Return the seats that applied at an index."""
        seats = self.snapshot.seats
        for entry in self.log.entries_between(self.log.base_index + 1, index):
            if entry.kind == const.KIND_SEATS:
                seats = codec.unpack(entry.data, messages.Seats)
        return seats


def _load_log(recovered: messages.Recovered) -> log_lib.MemoryLog:
    """Build the log; tolerate a crash between saving snapshot and log."""
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
