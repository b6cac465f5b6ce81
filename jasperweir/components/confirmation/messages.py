"""Messages by which a process asks voters and entries what is newest."""

from typing import NamedTuple

from jasperweir.components.quorum import messages as quorum_messages
from jasperweir.helpers import codec


@codec.message("confirmation.log_query")
class LogQuery(NamedTuple):
    """Asks a voter for the state of its log.

    Attributes:
        round: Number of the sender's round, echoed by the answer.
    """

    round: int


@codec.message("confirmation.log_state")
class LogState(NamedTuple):
    """State of a voter's log, committed or not.

    Attributes:
        echo: Round of the question.
        disk: Identity of the voter's disk.
        may_vote: False if the disk may lack an entry that it had synced.
        last_term: Term of the newest entry.
        last_index: Index of the newest entry.
        version: Highest configuration version in the log.
        evacuations: Highest revision of the list of evacuated data centres.
        seats: Voting members, as the log sets them.
    """

    echo: int
    disk: str
    may_vote: bool
    last_term: int
    last_index: int
    version: int
    evacuations: int
    seats: tuple[quorum_messages.Seat, ...]


@codec.message("confirmation.peer_query")
class PeerQuery(NamedTuple):
    """Asks another entry what it knows of the newest version.

    Attributes:
        round: Number of the sender's round, echoed by the answer.
        incarnation: Incarnation of the sender.
        version: Version in force at the sender.
        evacuations: Revision of the list of evacuated data centres in force
            there.
    """

    round: int
    incarnation: int
    version: int
    evacuations: int


@codec.message("confirmation.peer_state")
class PeerState(NamedTuple):
    """What an entry knows of the newest version.

    Attributes:
        echo: Round of the question.
        newest: Highest version that it knows to be committed.
        newest_evacuations: Highest revision of the list of evacuated data
            centres that it knows.
        version: Version in force at the entry.
        evacuations: Revision of the list in force there.
        confirmed_age_s: Time since that version and that list were known to be
            the newest, seconds; negative if that has expired.
    """

    echo: int
    newest: int
    newest_evacuations: int
    version: int
    evacuations: int
    confirmed_age_s: float
