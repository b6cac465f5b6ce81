"""Bounds on what a server may send that is no body; sans-I/O.

Without them bytes that are no answer fill the reader's memory, or occupy it
until its deadline. The time of a response is bounded by its request.
"""

# Most bytes in a row that belong to no body: a head with the interim responses
# and empty lines before it, the size and extension of a chunk, or a trailer.
FRAMING_BYTES = 64 * 1024
# Most lines of a head or a trailer.
HEAD_LINES = 256
# Most bytes of a body that is discarded; a new connection is cheaper.
DISCARDED_BYTES = 64 * 1024


class ResponseBounds:
    """Counts what a connection reads of one response."""

    def __init__(self) -> None:
        self._lines = 0
        self._most_lines = 0
        # Bytes since the start of the head, or since the last part of the body.
        self._framing = 0
        self._discarded = 0

    def on_bytes(self, size: int) -> None:
        """Count bytes that were read; called before they are parsed."""
        self._framing += size

    def on_line(self) -> None:
        """Count a line of a head or a trailer."""
        self._lines += 1
        self._most_lines = max(self._most_lines, self._lines)

    def on_head_end(self) -> None:
        """Record the end of the final head."""
        self._framing = 0
        self._lines = 0

    def on_body(self, size: int, *, is_discarded: bool) -> None:
        """Count a part of a body."""
        self._framing = 0
        if is_discarded:
            self._discarded += size

    def find_exceeded(self) -> str:
        """Return which bound is exceeded, empty if none is."""
        if self._most_lines > HEAD_LINES:
            return f"a head that exceeds {HEAD_LINES} lines"
        if self._framing > FRAMING_BYTES:
            return f"bytes outside the body that exceed {FRAMING_BYTES}"
        if self._discarded > DISCARDED_BYTES:
            return f"a discarded body that exceeds {DISCARDED_BYTES} bytes"
        return ""
