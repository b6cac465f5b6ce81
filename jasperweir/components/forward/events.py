"""Splitting of a server-sent event stream into complete events."""

from jasperweir.components.forward import const

_TERMINATORS = (b"\n\n", b"\r\n\r\n")


class EventSplitter:
    """Buffers the part of a stream after its last complete event.

    Attributes:
        last_id: Id of the last complete event, initially the id after which the
            stream resumes.
        count: Number of complete events.
    """

    def __init__(self, *, last_id: str) -> None:
        self.last_id = last_id
        self.count = 0
        self._buffer = b""

    @property
    def pending_bytes(self) -> int:
        """Number of bytes after the last complete event."""
        return len(self._buffer)

    def feed(self, data: bytes) -> bytes:
        """Add received bytes and return the events completed by them."""
        self._buffer += data
        end = max(self._buffer.rfind(mark) + len(mark) for mark in _TERMINATORS)
        if not any(mark in self._buffer for mark in _TERMINATORS):
            if len(self._buffer) <= const.MAX_EVENT_BYTES:
                return b""
            end = len(self._buffer)
        complete, self._buffer = self._buffer[:end], self._buffer[end:]
        self.count += sum(complete.count(mark) for mark in _TERMINATORS)
        self._update_last_id(complete)
        return complete

    def flush(self) -> bytes:
        """Return the remaining bytes after a regular end of the stream."""
        rest, self._buffer = self._buffer, b""
        return rest

    def _update_last_id(self, events: bytes) -> None:
        start = events.rfind(b"id:")
        while start > 0 and events[start - 1 : start] != b"\n":
            start = events.rfind(b"id:", 0, start)
        if start < 0:
            return
        line = events[start + 3 :].split(b"\n", 1)[0]
        self.last_id = line.strip().decode("latin-1")
