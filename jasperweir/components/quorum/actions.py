"""Actions that a voter returns and its driver performs in order."""

from typing import NamedTuple

from jasperweir.components.quorum import messages


class SaveMeta(NamedTuple):
    """Write the term and the vote, and sync them before any later action."""

    meta: messages.Meta


class SaveEntries(NamedTuple):
    """Truncate the log before ``first``, append the entries and sync."""

    first: int
    entries: tuple[messages.Entry, ...]


class SaveSnapshot(NamedTuple):
    """Write and sync a snapshot; keep only the entries after it."""

    snapshot: messages.Snapshot
    kept: tuple[messages.Entry, ...]


class Commit(NamedTuple):
    """Apply committed entries to the state machine."""

    entries: tuple[messages.Entry, ...]


class Restore(NamedTuple):
    """Replace the content of the state machine with a snapshot."""

    snapshot: messages.Snapshot


class RoleChanged(NamedTuple):
    """The voter became leader, follower, candidate or learner."""

    role: str
    term: int
    leader: str
