"""Who lacks what was told, by the digests that they state; sans-I/O."""

from jasperweir.components.configctl import const


class DigestTracker:
    """Digests of one list that others are told of, change by change.

    A change goes to all at once, so a node that states the digest of a moment
    ago has the change under way to it. The whole list, 16 KB at 197 targets,
    went to each node with each beat that crossed a change; it goes to those
    whose digest stays behind.
    """

    def __init__(self) -> None:
        self._current = 0
        # Earlier digests, with when each was replaced.
        self._replaced_at: dict[int, float] = {}
        self._list_sent_at: dict[str, float] = {}

    def set_current(self, digest: int, now: float) -> None:
        """Take in the digest in force."""
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
        """Tell whether a node is to be sent the whole list now."""
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
