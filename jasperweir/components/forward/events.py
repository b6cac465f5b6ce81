"""Split a stream of server-sent events into whole events."""

from jasperweir.components.forward import const

_ENDS = (b"\n\n", b"\r\n\r\n")


class EventSplitter:
    """Hold back the part of a stream that is not a whole event yet.

    Attributes:
        last_id: Id of the last whole event, or the one it began with.
    """

    def __init__(self, *, last_id: str) -> None:
        self.last_id = last_id
        self._held = b""

    def feed(self, data: bytes) -> bytes:
        """Return the whole events that are complete now."""
        self._held += data
        end = max(self._held.rfind(mark) + len(mark) for mark in _ENDS)
        if not any(mark in self._held for mark in _ENDS):
            if len(self._held) <= const.EVENT_MAX_BYTES:
                return b""
            end = len(self._held)
        whole, self._held = self._held[:end], self._held[end:]
        self._note_id(whole)
        return whole

    def rest(self) -> bytes:
        """Return what is left when the stream has ended in order."""
        rest, self._held = self._held, b""
        return rest

    def _note_id(self, whole: bytes) -> None:
        at = whole.rfind(b"id:")
        while at > 0 and whole[at - 1 : at] != b"\n":
            at = whole.rfind(b"id:", 0, at)
        if at < 0:
            return
        line = whole[at + 3 :].split(b"\n", 1)[0]
        self.last_id = line.strip().decode("latin-1")
