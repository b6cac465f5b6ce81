"""Schedules the lists of groups that the leader sends to entries; sans-I/O."""

from collections.abc import Iterable

from jasperweir import core
from jasperweir.components.directory import records
from jasperweir.components.groups import const
from jasperweir.components.groups import messages

Groups = tuple[messages.Group, ...]


class GroupNotifier:
    """Decides which entries get the list of groups.

    All get it when it changes and every RESEND_SECONDS; an entry that has
    started, or that was silent, gets it at once.
    """

    def __init__(self) -> None:
        self._term = 0
        self._term_began_at = float("-inf")
        self._sequence = 0
        self._resent_at = float("-inf")
        self._listed: Groups | None = None
        # Incarnation of each entry that was sent the current list.
        self._informed: dict[str, int] = {}

    def tick(
        self,
        *,
        term: int,
        groups: Groups,
        entries: Iterable[records.Node],
        now: float,
    ) -> list[core.Send]:
        """Return the lists that are due.

        Args:
            term: Term in which this control VM leads, 0 if it doesn't.
            groups: The groups that it knows.
            entries: Entries with a recent heartbeat.
            now: Monotonic seconds.
        """
        if term != self._term:
            self._term = term
            self._term_began_at = now
            self._sequence = 0
            self._listed = None
        if not term or now - self._term_began_at < const.COLLECT_SECONDS:
            return []
        if now - self._resent_at >= const.RESEND_SECONDS:
            # Messages may be lost; entries that have the list ignore it.
            self._resent_at = now
            self._informed = {}
        # A switch of the expert map alone is no reason to send the list.
        listed = tuple(group._replace(is_switching=False) for group in groups)
        if listed != self._listed:
            if not groups and self._listed is None:
                return []
            self._listed = listed
            self._sequence += 1
            self._informed = {}
        msg = messages.GroupList(
            term=term, sequence=self._sequence, groups=groups
        )
        found = {node.name: node.incarnation for node in entries}
        due = [
            name
            for name, incarnation in found.items()
            if self._informed.get(name) != incarnation
        ]
        self._informed = found
        return [core.Send(dst=name, msg=msg) for name in due]
