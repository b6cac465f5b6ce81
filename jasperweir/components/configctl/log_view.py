"""What the log of a control VM holds, committed or not."""

from typing import Any

from jasperweir import exceptions
from jasperweir.components.confirmation import messages as confirmation_messages
from jasperweir.components.quorum import const as quorum_const
from jasperweir.components.quorum import messages as quorum_messages
from jasperweir.components.quorum import progress as progress_lib
from jasperweir.components.quorum import voter as voter_lib
from jasperweir.components.registry import ops
from jasperweir.helpers import codec


def describe(
    voter: voter_lib.Voter,
    *,
    echo: int,
    version: int,
    evacuations: int,
) -> confirmation_messages.LogState:
    """Return the state of a log, for a process that asks.

    Args:
        voter: Member of the log.
        echo: Round of the question.
        version: Highest configuration version that is committed there.
        evacuations: Revision of the list of evacuated data centres that is
            committed there.
    """
    for entry in _uncommitted(voter):
        match _decode(entry):
            case ops.Replace() as op:
                version = max(version, op.version)
            case ops.Evacuate():
                evacuations = entry.idx
    return confirmation_messages.LogState(
        echo=echo,
        disk=voter.disk,
        may_vote=voter.may_vote,
        last_term=voter.log.last_term,
        last_index=voter.log.last_index,
        version=version,
        evacuations=evacuations,
        seats=tuple(progress_lib.voting_seats(voter.seats)),
    )


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
    replaced = [
        op.version
        for op in map(_decode, _uncommitted(voter))
        if isinstance(op, ops.Replace)
    ]
    return reported_version > max(replaced, default=0)


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


def _decode(entry: quorum_messages.Entry) -> Any:
    """Return the operation of a log entry, None if it has no known one."""
    if entry.kind != quorum_const.KIND_OP:
        return None
    req = codec.unpack(entry.data, ops.Request)
    try:
        return codec.unpack_tagged(req.body)
    except exceptions.FrameError:
        # An operation of a newer peer.
        return None
