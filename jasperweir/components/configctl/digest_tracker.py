"""Detection of nodes that need a full list, by its digest; sans-I/O."""

from jasperweir.components.configctl import const


class DigestTracker:
    """Tracks recent digests of a list that is replicated by updates.

    Each update is sent to all nodes at once, so a node that reports a recently
    replaced digest has the update in transit. The full list is sent only to
    nodes whose digest stays outdated.
    """

    def __init__(self) -> None:
        self._current = 0
        # Time at which each earlier digest was replaced.
        self._replaced_at: dict[int, float] = {}
        self._list_sent_at: dict[str, float] = {}

    def set_current(self, digest: int, now: float) -> None:
        """Set the current digest."""
        if digest == self._current:
            return
        for old, at in list(self._replaced_at.items()):
            if now - at >= const.CHANGE_DELIVERY_SECONDS:
                del self._replaced_at[old]
        if self._current:
            self._replaced_at[self._current] = now
        self._replaced_at.pop(digest, None)
        self._current = digest

    def needs_full_list(self, name: str, digest: int, now: float) -> bool:
        """Return whether to send a node the full list now.

        A positive result counts as sent.

        Args:
            name: Name of the node.
            digest: Digest that the node reported.
            now: Monotonic seconds.
        """
        if digest == self._current:
            return False
        replaced_at = self._replaced_at.get(digest, float("-inf"))
        if now - replaced_at < const.CHANGE_DELIVERY_SECONDS:
            return False
        sent_at = self._list_sent_at.get(name, float("-inf"))
        if now - sent_at < const.RESEND_LIST_SECONDS:
            return False
        self._list_sent_at[name] = now
        return True
