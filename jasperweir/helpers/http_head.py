"""Check of the lines of a response's head; sans-I/O.

Parsers differ in what they make of a malformed head: one takes a line for the
end of the head, and the body for one without a length; another one passes it
on. So each line is checked before any parser sees it.
"""

import re

_TEXT = rb"[\t\x20-\x7e\x80-\xff]*"
# RFC 9112, section 4, and the statuses of RFC 9110, section 15.
_STATUS_LINE = re.compile(rb"HTTP/1\.[01] [1-5][0-9][0-9](?: %b)?" % _TEXT)
# RFC 9110, sections 5.1 and 5.5. A folded line (RFC 9112, section 5.2) begins
# with a blank.
_FIELD = re.compile(rb"[!#$%%&'*+\-.^_`|~0-9A-Za-z]+:%b" % _TEXT)
_FIELDS = re.compile(rb"(?:%b\n)*" % _FIELD.pattern)
_CODING = b"transfer-encoding"
_LENGTH = b"content-length"


class MalformedHeadError(Exception):
    """A line of a head is none that HTTP/1.1 allows."""


def are_fields(lines: bytes | bytearray) -> bool:
    """Return whether each of some lines, with a line feed, is a field."""
    return _FIELDS.fullmatch(lines) is not None


class HeadCheck:
    """Checks the head of one response, and the interim responses before it.

    Attributes:
        is_done: Whether the final head has ended.
    """

    def __init__(self) -> None:
        self.is_done = False
        self._rest = b""
        # Status line of the current head, empty before it.
        self._status_line = b""
        self._length: bytes | None = None
        self._coding = b""

    def feed(self, data: bytes) -> None:
        """Check bytes as they arrive; those after the head are ignored.

        Raises:
            MalformedHeadError: A complete line is malformed.
        """
        if self.is_done:
            return
        if b"\n" not in data:
            self._rest += data
            return
        *lines, self._rest = (self._rest + data).split(b"\n")
        for line in lines:
            self.check_line(line)
            if self.is_done:
                self._rest = b""
                return

    def check_line(self, line: bytes) -> None:
        """Check the next line of the head.

        Args:
            line: The line, without its line feed.

        Raises:
            MalformedHeadError: It is malformed.
        """
        line = line.removesuffix(b"\r")
        if not self._status_line:
            if line and not _STATUS_LINE.fullmatch(line):
                raise MalformedHeadError("malformed status line")
            self._status_line = line
        elif line:
            self._check_field(line)
        else:
            self._end_head()

    def _check_field(self, line: bytes) -> None:
        if not _FIELD.fullmatch(line):
            raise MalformedHeadError("malformed field")
        name, _, value = line.partition(b":")
        name, value = name.lower(), value.strip()
        if name == _LENGTH:
            if not value.isdigit() or self._length not in (None, value):
                raise MalformedHeadError("malformed length")
            self._length = value
        elif name == _CODING:
            self._coding = value.lower()

    def _end_head(self) -> None:
        # The end of any other body can't be told from that of the connection.
        if self._coding and self._coding != b"chunked":
            raise MalformedHeadError("unknown transfer coding")
        is_interim = self._status_line.startswith(b"1", len(b"HTTP/1.1 "))
        self.is_done = not is_interim
        self._status_line = b""
        self._length = None
        self._coding = b""
