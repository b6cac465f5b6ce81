"""Messages and records of the replicated log."""

from typing import NamedTuple

from jasperweir.helpers import codec


class Entry(NamedTuple):
    """One entry of the replicated log.

    Attributes:
        idx: Position in the log, from 1.
        term: Term of the leader that appended it.
        kind: One of the KIND constants.
        data: Encoded operation or seats, empty for a no-op.
    """

    idx: int
    term: int
    kind: str
    data: bytes


class Seat(NamedTuple):
    """One member of the cluster, bound to the disk that it joined with.

    Attributes:
        name: Name of the process.
        disk: Identity of its data folder.
        addr: Its internal address, ``ip:port``.
        voting: False for a learner.
    """

    name: str
    disk: str
    addr: str
    voting: bool


class Seats(NamedTuple):
    """Membership of the cluster, changed by one member at a time.

    Attributes:
        seats: All members, including learners.
        log_id: Random identity of the log, set at bootstrap. It prevents a
            node from mixing the revisions of two logs.
        reduced: Whether the cluster has decided to work with fewer voters than
            wanted; see docs/design/control.md.
    """

    seats: tuple[Seat, ...] = ()
    log_id: str = ""
    reduced: bool = False


@codec.message("quorum.prevote")
class PreVote(NamedTuple):
    """Asks whether an election would succeed, without raising the term."""

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
    """Requests a vote; ``transfer`` overrides the leader's lease."""

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
    """Replicates entries; without entries it is a heartbeat.

    Attributes:
        term: Term of the leader.
        prev_index: Index of the entry before the first one sent.
        prev_term: Term of that entry.
        entries: Consecutive entries.
        commit: Commit index of the leader.
        last: Newest index of the leader. A voter whose disk may have lost an
            acknowledged entry must reach it before it votes again.
        round: Number of the message, echoed by the reply.
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
    """Answer to an Append, sent only after the entries are synced.

    Attributes:
        term: Term of the follower.
        ok: Whether the entries were accepted.
        match: Index up to which both logs agree, or may agree if not ``ok``.
        round: Number of the message that is answered.
        disk: Identity of the follower's disk.
    """

    term: int
    ok: bool
    match: int
    round: int
    disk: str


@codec.message("quorum.install")
class Install(NamedTuple):
    """One chunk of a snapshot, for a follower behind the start of the log."""

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
    """Answer to a chunk, with the number of bytes received so far."""

    term: int
    idx: int
    held: int
    round: int
    disk: str


@codec.message("quorum.timeout_now")
class TimeoutNow(NamedTuple):
    """Transfers leadership: the receiver starts an election at once."""

    term: int


@codec.message("quorum.hello")
class Hello(NamedTuple):
    """Request for a seat, sent to the voters by a process without one.

    Attributes:
        disk: Identity of the sender's disk.
        addr: Its internal address.
        blank: Whether its disk holds no log and no term.
        echo: Number of the receiver's last SeatClaimCheck, 0 without one.
    """

    disk: str
    addr: str
    blank: bool = False
    echo: int = 0


@codec.message("quorum.seat_claim_check")
class SeatClaimCheck(NamedTuple):
    """Asks a VM that claims another disk to repeat a number with its Hello."""

    nonce: int


class Meta(NamedTuple):
    """Term and vote, stored on disk."""

    term: int = 0
    voted_for: str = ""


class Snapshot(NamedTuple):
    """State that replaces the log up to an index, stored on disk."""

    idx: int = 0
    term: int = 0
    seats: Seats = Seats()
    data: bytes = b""


class Recovered(NamedTuple):
    """Content of a data folder, read at start.

    Attributes:
        disk: Identity of the data folder.
        meta: Term and vote.
        snapshot: Newest snapshot.
        entries: Log entries.
        tail_uncertain: Whether the last record is complete but fails its
            checksum, so that an acknowledged entry may be lost.
        commit_hint: Index up to which the log was known to be committed.
    """

    disk: str
    meta: Meta
    snapshot: Snapshot
    entries: tuple[Entry, ...]
    tail_uncertain: bool
    commit_hint: int = 0
