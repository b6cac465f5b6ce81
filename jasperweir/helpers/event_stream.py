"""Splitting of a server-sent event stream into complete events.

Source: WHATWG HTML, section 9.2.6, "Interpreting an event stream".
"""

# Larger events are returned in parts.
MAX_EVENT_BYTES = 256 * 1024
MEDIA_TYPE = "text/event-stream"
# Data of the event that ends a stream of the own interface.
_TERMINATOR = b"[DONE]"

# Lines end with LF, CRLF or CR. Two line ends in a row contain one of these, an
# LF may follow the last two.
_EVENT_ENDS = (b"\n\n", b"\n\r", b"\r\r")
_LINE_ENDS = (b"\n", b"\r")


class EventSplitter:
    """Buffers the part of a stream after its last complete event.

    Attributes:
        last_id: Id of the last complete event, initially the id after which the
            stream resumes.
        count: Number of complete events.
        first_id: Id of the first complete event that has one, None before it.
    """

    def __init__(self, *, last_id: str) -> None:
        self.last_id = last_id
        self.count = 0
        self.first_id: str | None = None
        self._buffer = b""
        # Bytes of the buffer that contain no event end.
        self._searched = 0
        self._is_last_identified = True
        # Whether a part of an event larger than the buffer was returned, and
        # the id in that part.
        self._is_split = False
        self._split_id: bytes | None = None
        # Lines of the last complete event, none if it was returned in parts.
        self._last_lines: list[bytes] = []

    @property
    def pending_bytes(self) -> int:
        """Number of buffered bytes after the last complete event."""
        return len(self._buffer)

    @property
    def is_inside_event(self) -> bool:
        """Whether the stream so far ends inside an event or a line.

        Complete comments and empty lines are no part of an event.
        """
        if self.has_begun_event:
            return True
        return bool(self._buffer) and not self._buffer.endswith(_LINE_ENDS)

    @property
    def has_begun_event(self) -> bool:
        """Whether a part of an event has arrived that is not complete."""
        return self._is_split or not all(
            _is_ignored(line) for line in self._buffer.splitlines()
        )

    @property
    def has_resume_point(self) -> bool:
        """Whether ``last_id`` names the end of what was returned."""
        return self._is_last_identified and not self._is_split

    @property
    def last_data(self) -> bytes | None:
        """Data of the last complete event, None without any.

        It is None, too, for an event of more than MAX_EVENT_BYTES.
        """
        found = [
            line[len(b"data:") :].removeprefix(b" ")
            for line in self._last_lines
            if line == b"data" or line.startswith(b"data:")
        ]
        return b"\n".join(found) if found else None

    def feed(self, data: bytes) -> bytes:
        """Add received bytes and return the events completed by them.

        An event of more than MAX_EVENT_BYTES is returned in parts.
        """
        self._buffer += data
        end = self._find_end()
        if not end:
            self._searched = len(self._buffer)
            if self._searched <= MAX_EVENT_BYTES:
                return b""
            return self._split_event()
        complete = self._take(end)
        self._read_events(complete)
        return complete

    def flush(self) -> bytes:
        """Return the remaining bytes after a regular end of the stream."""
        return self._take(len(self._buffer))

    def _take(self, end: int) -> bytes:
        taken, self._buffer = self._buffer[:end], self._buffer[end:]
        self._searched = 0
        return taken

    def _find_end(self) -> int:
        """Return where the last complete event ends, 0 without one."""
        if self._buffer.endswith(b"\n\n"):
            return len(self._buffer)
        start = max(self._searched - 1, 0)
        found = max(self._buffer.rfind(mark, start) for mark in _EVENT_ENDS)
        if found < 0:
            return 0
        end = found + 2
        if self._buffer[found + 1 : end + 1] == b"\r\n":
            end += 1
        return end

    def _split_event(self) -> bytes:
        # Line ends are kept, as they may be the beginning of the event's end.
        part = self._take(len(self._buffer.rstrip(b"\r\n")))
        # The last line is incomplete, and so is the first one of a later part.
        lines = part.splitlines()[1 if self._is_split else 0 : -1]
        found = _find_id(lines)
        self._split_id = self._split_id if found is None else found
        self._is_split = True
        return part

    def _read_events(self, complete: bytes) -> None:
        if b"\r" in complete:
            complete = complete.replace(b"\r\n", b"\n").replace(b"\r", b"\n")
        for block in complete.split(b"\n\n"):
            lines = block.split(b"\n")
            found = None
            if self._is_split:
                lines, found = lines[1:], self._split_id
                self._is_split, self._split_id = False, None
                self._last_lines = []
            elif all(_is_ignored(line) for line in lines):
                continue
            else:
                self._last_lines = lines
            last = _find_id(lines)
            found = found if last is None else last
            self.count += 1
            self._is_last_identified = bool(found)
            if found is not None:
                self.last_id = found.decode("latin-1")
                if self.first_id is None:
                    self.first_id = self.last_id


class TerminatedStream:
    """Stream of events that ends with the event ``data: [DONE]``.

    Bytes may be passed on before their event is complete, so the end of the
    framing doesn't show that the stream is complete.
    """

    def __init__(self) -> None:
        self._splitter = EventSplitter(last_id="")

    @property
    def is_complete(self) -> bool:
        """Whether the last event is the terminator, and nothing follows."""
        return (
            self._splitter.last_data == _TERMINATOR
            and not self._splitter.is_inside_event
        )

    @property
    def is_between_events(self) -> bool:
        """Whether the stream so far ends with a complete event or is empty."""
        return not self._splitter.is_inside_event

    @property
    def last_data(self) -> bytes | None:
        """Data of the last complete event, None without any."""
        return self._splitter.last_data

    def feed(self, data: bytes) -> None:
        """Add received bytes."""
        self._splitter.feed(data)


def is_event_stream(content_type: str) -> bool:
    """Return whether a content type is that of an event stream."""
    return content_type.partition(";")[0].strip().lower() == MEDIA_TYPE


def _is_ignored(line: bytes) -> bool:
    """Return whether a line is a comment or empty."""
    return line.startswith((b":", *_LINE_ENDS)) or not line


def _find_id(lines: list[bytes]) -> bytes | None:
    """Return the last id in some lines of an event, None without one."""
    for line in reversed(lines):
        if line == b"id" or line.startswith(b"id:"):
            return line[len(b"id:") :].strip()
    return None
