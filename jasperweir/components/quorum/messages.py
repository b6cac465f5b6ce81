"""Messages and records of the replicated log."""

from typing import NamedTuple

from jasperweir.helpers import codec


class Entry(NamedTuple):
    """One record of the log."""

    idx: int
    term: int
    kind: str
    data: bytes


class Seat(NamedTuple):
    """One member of the quorum, bound to the disk it joined with."""

    name: str
    disk: str
    addr: str
    voting: bool


class Seats(NamedTuple):
    """The members of the quorum; one change at a time.

    Attributes:
        seats: All members, learners included.
        log_id: Drawn once when the log was founded, so that nobody takes
            another log's revisions for newer ones of this log.
    """

    seats: tuple[Seat, ...] = ()
    log_id: str = ""


@codec.message("quorum.prevote")
class PreVote(NamedTuple):
    """Ask whether an election would succeed, without raising the term."""

    term: int
    last_index: int
    last_term: int
    disk: str


@codec.message("quorum.prevote_reply")
class PreVoteReply(NamedTuple):
    """Answer to a PreVote."""

    term: int
    granted: bool
    disk: str


@codec.message("quorum.vote")
class Vote(NamedTuple):
    """Ask for a vote; ``transfer`` overrides the leader's lease."""

    term: int
    last_index: int
    last_term: int
    disk: str
    transfer: bool = False


@codec.message("quorum.vote_reply")
class VoteReply(NamedTuple):
    """Answer to a Vote."""

    term: int
    granted: bool
    disk: str


@codec.message("quorum.append")
class Append(NamedTuple):
    """Replicate entries; an empty one is the heartbeat.

    Attributes:
        last: Newest index of the leader, which a disk that may have lost an
            acknowledged entry must reach before it votes again.
    """

    term: int
    prev_index: int
    prev_term: int
    entries: tuple[Entry, ...]
    commit: int
    last: int
    round: int


@codec.message("quorum.append_reply")
class AppendReply(NamedTuple):
    """Answer to an Append, sent only after the entries are synced."""

    term: int
    ok: bool
    match: int
    round: int
    disk: str


@codec.message("quorum.install")
class Install(NamedTuple):
    """One chunk of a snapshot for a follower that trails the log's start."""

    term: int
    idx: int
    entry_term: int
    seats: Seats
    offset: int
    data: bytes
    total: int
    round: int


@codec.message("quorum.install_reply")
class InstallReply(NamedTuple):
    """Answer to a chunk: how many bytes of the snapshot are held."""

    term: int
    idx: int
    held: int
    round: int
    disk: str


@codec.message("quorum.timeout_now")
class TimeoutNow(NamedTuple):
    """Hand over the lead: the receiver starts an election at once."""

    term: int


@codec.message("quorum.hello")
class Hello(NamedTuple):
    """A process without a seat tells its disk identity to the voters."""

    disk: str
    addr: str


class Meta(NamedTuple):
    """Durable term and vote."""

    term: int = 0
    voted_for: str = ""


class Snapshot(NamedTuple):
    """Durable state that replaces the log up to an index."""

    idx: int = 0
    term: int = 0
    seats: Seats = Seats()
    data: bytes = b""


class Recovered(NamedTuple):
    """What a data folder held at start.

    Attributes:
        tail_uncertain: The last record failed its checksum although it is
            complete, so an acknowledged entry may be gone from this disk.
        commit_hint: Index up to which the log was known to be committed.
    """

    disk: str
    meta: Meta
    snapshot: Snapshot
    entries: tuple[Entry, ...]
    tail_uncertain: bool
    commit_hint: int = 0
