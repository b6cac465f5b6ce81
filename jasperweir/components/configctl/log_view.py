"""What the log of a control VM holds, committed or not."""

from jasperweir import exceptions
from jasperweir.components.quorum import const as quorum_const
from jasperweir.components.quorum import messages as quorum_messages
from jasperweir.components.quorum import progress as progress_lib
from jasperweir.components.quorum import voter as voter_lib
from jasperweir.components.registry import ops
from jasperweir.helpers import codec


def is_stale(
    voter: voter_lib.Voter,
    *,
    committed: int,
    reported_version: int,
    reported_index: int,
) -> bool:
    """Return whether a process reports an entry that a log lacks.

    Args:
        voter: Member of the log.
        committed: Highest configuration version that is committed there.
        reported_version: Highest version that a process reported.
        reported_index: Highest index of an evacuation order that a process
            reported.
    """
    if reported_index > voter.log.last_index:
        return True
    if reported_version <= committed:
        return False
    # The log may hold it without a proof that it is committed.
    return reported_version > max(
        (_replaced_version(entry) for entry in _uncommitted(voter)), default=0
    )


def list_synced(voter: voter_lib.Voter) -> list[str]:
    """Return the voters that a leader knows to have synced its commits.

    Returns:
        Their names; empty if this voter does not lead.
    """
    if voter.role != voter_lib.LEADER:
        return []
    names = [voter.name] if voter.is_voting else []
    for seat in progress_lib.voting_seats(voter.seats):
        peer = voter.progress_of(seat.name)
        if peer is not None and peer.match_index >= voter.commit:
            names.append(seat.name)
    return names


def _uncommitted(voter: voter_lib.Voter) -> tuple[quorum_messages.Entry, ...]:
    return voter.log.entries_between(voter.commit + 1, voter.log.last_index)


def _replaced_version(entry: quorum_messages.Entry) -> int:
    """Return the version that a log entry applies, 0 if it applies none."""
    if entry.kind != quorum_const.KIND_OP:
        return 0
    req = codec.unpack(entry.data, ops.Request)
    try:
        op = codec.unpack_tagged(req.body)
    except exceptions.FrameError:
        # An operation of a newer peer.
        return 0
    return op.version if isinstance(op, ops.Replace) else 0
