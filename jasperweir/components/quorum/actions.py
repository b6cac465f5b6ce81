"""Actions that a voter asks of its driver, in order."""

from typing import NamedTuple

from jasperweir.components.quorum import messages


class SaveMeta(NamedTuple):
    """Sync term and vote before any later action."""

    meta: messages.Meta


class SaveEntries(NamedTuple):
    """Drop the log from ``first`` on, append the entries, and sync."""

    first: int
    entries: tuple[messages.Entry, ...]


class SaveSnapshot(NamedTuple):
    """Sync a snapshot and keep only the entries after it."""

    snapshot: messages.Snapshot
    kept: tuple[messages.Entry, ...]


class Commit(NamedTuple):
    """Hand committed entries to the state machine."""

    entries: tuple[messages.Entry, ...]


class Restore(NamedTuple):
    """Replace the state machine by a snapshot."""

    snapshot: messages.Snapshot


class RoleChanged(NamedTuple):
    """The voter became leader, follower, candidate or learner."""

    role: str
    term: int
    leader: str
